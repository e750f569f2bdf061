package storage

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

func entry(index, term uint64, data string) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: []byte(data)}
}

func TestStore(t *testing.T) {
	Convey("written data is read back after reopening", t, func() {
		directory := t.TempDir()
		store, err := Open(directory)
		So(err, ShouldBeNil)
		replicaID := store.Replica()
		So(replicaID, ShouldNotEqual, consensus.None)
		hard := consensus.HardState{Term: 3, Vote: 7, Commit: 2}
		So(store.Write([]GroupWrite{
			{Group: 1, HardState: &hard, Entries: []consensus.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}},
			{Group: 2, Entries: []consensus.Entry{entry(1, 1, "other")}, Records: []Record{
				{Program: "p", Turn: 1, Value: []byte("one")}, {Program: "p", Turn: 2, Value: []byte("two")},
				{Program: "p2", Turn: 1, Value: []byte("not p")},
			}},
		}), ShouldBeNil)
		Convey("a conflicting suffix is replaced completely", func() {
			So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 2, "B")}}}), ShouldBeNil)
			restored, err := store.Load(1)
			So(err, ShouldBeNil)
			So(len(restored.Entries), ShouldEqual, 2)
			So(string(restored.Entries[1].Data), ShouldEqual, "B")
			So(restored.HardState, ShouldResemble, hard)
		})
		Convey("a snapshot replaces the entries that it covers", func() {
			snapshot := consensus.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
			So(store.Write([]GroupWrite{{Group: 1, Snapshot: &snapshot}}), ShouldBeNil)
			restored, err := store.Load(1)
			So(err, ShouldBeNil)
			So(string(restored.Snapshot.Data), ShouldEqual, "state")
			So(len(restored.Entries), ShouldEqual, 1)
		})
		Convey("records are returned in turn order for one program only", func() {
			records, err := store.Records(2, "p", 0)
			So(err, ShouldBeNil)
			So(len(records), ShouldEqual, 2)
			So(string(records[1].Value), ShouldEqual, "two")
			later, err := store.Records(2, "p", 1)
			So(err, ShouldBeNil)
			So(len(later), ShouldEqual, 1)
			all, more, err := store.RecordsAfter(2, RecordKey{}, 1000)
			So(err, ShouldBeNil)
			So(more, ShouldBeFalse)
			So(len(all), ShouldEqual, 3)
		})
		Convey("records are returned in pages of at least one record", func() {
			var names []string
			after, more := RecordKey{}, true
			for more {
				var page []Record
				var err error
				page, more, err = store.RecordsAfter(2, after, 1)
				So(err, ShouldBeNil)
				So(len(page), ShouldEqual, 1)
				after = page[0].Key()
				names = append(names, string(page[0].Value))
			}
			So(names, ShouldResemble, []string{"one", "two", "not p"})
		})
		Convey("staged records take effect together and replace the previous records", func() {
			staged := []Record{{Program: "q", Turn: 1, Value: []byte("new")}}
			So(store.Write([]GroupWrite{{Group: 2, ResetStaged: true, Staged: staged}}), ShouldBeNil)
			records, err := store.Records(2, "q", 0)
			So(err, ShouldBeNil)
			So(records, ShouldBeEmpty)
			So(store.Write([]GroupWrite{{Group: 2, PromoteStaged: true, Records: []Record{{Program: "r", Turn: 1, Value: []byte("later")}}}}), ShouldBeNil)
			So(store.Close(), ShouldBeNil)
			store, err = Open(directory)
			So(err, ShouldBeNil)
			all, _, err := store.RecordsAfter(2, RecordKey{}, 1000)
			So(err, ShouldBeNil)
			So(len(all), ShouldEqual, 2)
			So(string(all[0].Value), ShouldEqual, "new")
			So(string(all[1].Value), ShouldEqual, "later")
			Convey("and a second promotion replaces them again", func() {
				So(store.Write([]GroupWrite{{Group: 2, ResetStaged: true, PromoteStaged: true}}), ShouldBeNil)
				all, _, err := store.RecordsAfter(2, RecordKey{}, 1000)
				So(err, ShouldBeNil)
				So(all, ShouldBeEmpty)
			})
		})
		Convey("a second process is rejected, and the replica id persists", func() {
			_, err := Open(directory)
			So(err, ShouldEqual, ErrInUse)
			So(store.Close(), ShouldBeNil)
			reopened, err := Open(directory)
			So(err, ShouldBeNil)
			So(reopened.Replica(), ShouldEqual, replicaID)
			store = reopened
		})
		Reset(func() { _ = store.Close() })
	})
}
