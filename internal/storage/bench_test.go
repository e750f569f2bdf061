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

// BenchmarkWriteContent measures one synced write of a turn's content; every hundredth write
// compacts the log and moves the content into records.
func BenchmarkWriteContent(b *testing.B) {
	const compactEvery = 100
	store, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	data := make([]byte, 20<<10)
	var records []Record
	index := uint64(0)
	for b.Loop() {
		index++
		write := GroupWrite{Group: 1, Entries: []consensus.Entry{{Term: 1, Index: index, Data: data}}}
		records = append(records, Record{Program: "p", Turn: index, Value: data})
		if index%compactEvery == 0 {
			write.Snapshot = &consensus.Snapshot{Index: index - 1, Term: 1}
			write.Records = records
			records = nil
		}
		if err := store.Write([]GroupWrite{write}); err != nil {
			b.Fatal(err)
		}
	}
}
