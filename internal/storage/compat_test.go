package storage

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/ochrebay/ochrebay/internal/compat"
	"github.com/ochrebay/ochrebay/internal/consensus"
)

// TestEarlierReleases checks the compatibility of the package's stored types with earlier releases.
func TestEarlierReleases(t *testing.T) {
	compat.CheckTypes(t, map[string]any{
		"journalRecords": &[]journalRecord{}, "Snapshot": &consensus.Snapshot{}, "Configuration": &consensus.Configuration{}, "Record": &Record{},
	})
}

// TestJournalOfEarlierReleases checks the compatibility of the journal in both directions: a
// process may start on a disk written by another release, also an older release after a newer
// one.
func TestJournalOfEarlierReleases(t *testing.T) {
	directory := t.TempDir()
	store, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	configuration := consensus.Configuration{Replicas: []consensus.Replica{{ID: 3, Member: "a"}, {ID: 4, Member: "b", IsLearner: true}}}
	hard := consensus.HardState{Term: 5, Vote: 3, Commit: 2}
	writes := []GroupWrite{{Group: 0, HardState: &hard, Entries: []consensus.Entry{
		{Term: 4, Index: 1, Kind: consensus.EntryBarrier},
		{Term: 5, Index: 2, Kind: consensus.EntryConfiguration, Configuration: &configuration},
		{Term: 5, Index: 3, Kind: consensus.EntryCommand, Data: []byte("command")},
	}}, {Group: 7, Entries: []consensus.Entry{{Term: 1, Index: 1, Data: []byte("other")}}}}
	if err := errors.Join(store.Write(writes[:1]), store.Write(writes[1:]), store.Close()); err != nil {
		t.Fatal(err)
	}
	names, err := filepath.Glob(filepath.Join(directory, segmentPattern))
	if err != nil || len(names) != 1 {
		t.Fatalf("found %d segments, want 1: %v", len(names), err)
	}
	written, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	for release, old := range compat.CheckBytes(t, "journal", written) {
		directory := t.TempDir()
		if err := os.WriteFile(filepath.Join(directory, filepath.Base(names[0])), old, fileMode); err != nil {
			t.Fatal(err)
		}
		store, err := Open(directory)
		if err != nil {
			t.Fatal(err)
		}
		for _, write := range writes {
			restored, err := store.Load(write.Group)
			if err != nil || !reflect.DeepEqual(restored.Entries, write.Entries) {
				t.Errorf("%s: group %d has entries %v, error %v", release, write.Group, restored.Entries, err)
			}
		}
		_ = store.Close()
	}
}
