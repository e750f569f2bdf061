package storage

import (
	"testing"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// BenchmarkWrite measures one synced write of one small entry, as for a reservation.
func BenchmarkWrite(b *testing.B) {
	store, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	data := make([]byte, 200)
	index := uint64(0)
	for b.Loop() {
		index++
		write := GroupWrite{Group: 1, HardState: &consensus.HardState{Term: 1, Vote: 1, Commit: index - 1}, Entries: []consensus.Entry{{Term: 1, Index: index, Data: data}}}
		if err := store.Write([]GroupWrite{write}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWriteContent measures one synced write of a turn's content, as its entry and
// as the record of the turn before.
func BenchmarkWriteContent(b *testing.B) {
	store, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	data := make([]byte, 20<<10)
	index := uint64(0)
	for b.Loop() {
		index++
		write := GroupWrite{
			Group: 1, Entries: []consensus.Entry{{Term: 1, Index: index, Data: data}},
			Records: []Record{{Program: "p", Turn: index, Value: data}},
		}
		if err := store.Write([]GroupWrite{write}); err != nil {
			b.Fatal(err)
		}
	}
}
