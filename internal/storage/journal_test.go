package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

// segments returns the paths of a directory's segments, oldest first.
func segments(directory string) []string {
	names, err := filepath.Glob(filepath.Join(directory, segmentPattern))
	So(err, ShouldBeNil)
	return names
}

// lastSegment returns the newest segment and its bytes.
func lastSegment(directory string) (string, []byte) {
	names := segments(directory)
	So(names, ShouldNotBeEmpty)
	raw, err := os.ReadFile(names[len(names)-1])
	So(err, ShouldBeNil)
	return names[len(names)-1], raw
}

func open(directory string) *Store {
	store, err := Open(directory)
	So(err, ShouldBeNil)
	return store
}

func entriesOf(store *Store, group GroupID) string {
	restored, err := store.Load(group)
	So(err, ShouldBeNil)
	text := ""
	for _, entry := range restored.Entries {
		text += string(entry.Data)
	}
	return text
}

// failingSegment writes only half of a frame and then fails like a full disk, for the given number
// of writes.
type failingSegment struct {
	segment
	failures int
}

func (r *failingSegment) WriteAt(raw []byte, offset int64) (int, error) {
	if r.failures == 0 {
		return r.segment.WriteAt(raw, offset)
	}
	r.failures--
	written, _ := r.segment.WriteAt(raw[:len(raw)/2], offset)
	return written, unix.ENOSPC
}

func TestJournal(t *testing.T) {
	Convey("a store with two writes", t, func() {
		directory := t.TempDir()
		store := open(directory)
		hard := consensus.HardState{Term: 2, Vote: 9, Commit: 1}
		So(store.Write([]GroupWrite{{Group: 1, HardState: &hard, Entries: []consensus.Entry{entry(1, 1, "a")}}}), ShouldBeNil)
		_, before := lastSegment(directory)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 1, "b")}}}), ShouldBeNil)
		name, after := lastSegment(directory)
		So(len(after), ShouldBeGreaterThan, len(before))
		Convey("reads both back, with the hard state", func() {
			So(store.Close(), ShouldBeNil)
			reopened := open(directory)
			defer reopened.Close()
			So(entriesOf(reopened, 1), ShouldEqual, "ab")
			restored, _ := reopened.Load(1)
			So(restored.HardState, ShouldResemble, hard)
			So(len(segments(directory)), ShouldEqual, 1)
		})
		Convey("loses only a torn write, at whatever byte it is torn, and accepts further writes", func() {
			So(store.Close(), ShouldBeNil)
			for length := len(before); length < len(after); length++ {
				copied := t.TempDir()
				database, err := os.ReadFile(filepath.Join(directory, fileName))
				So(err, ShouldBeNil)
				So(os.WriteFile(filepath.Join(copied, fileName), database, fileMode), ShouldBeNil)
				So(os.WriteFile(filepath.Join(copied, filepath.Base(name)), after[:length], fileMode), ShouldBeNil)
				reopened := open(copied)
				So(entriesOf(reopened, 1), ShouldEqual, "a")
				So(reopened.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 2, "c")}}}), ShouldBeNil)
				So(reopened.Close(), ShouldBeNil)
				reopenedAgain := open(copied)
				So(entriesOf(reopenedAgain, 1), ShouldEqual, "ac")
				So(reopenedAgain.Close(), ShouldBeNil)
			}
		})
		Convey("loses only a write whose bytes are corrupt", func() {
			So(store.Close(), ShouldBeNil)
			after[len(after)-1] ^= 1
			So(os.WriteFile(name, after, fileMode), ShouldBeNil)
			reopened := open(directory)
			defer reopened.Close()
			So(entriesOf(reopened, 1), ShouldEqual, "a")
		})
		Convey("falls back to the previous segment if the checkpoint of the newest is torn", func() {
			So(store.Close(), ShouldBeNil)
			newer := filepath.Join(directory, fmt.Sprintf(segmentFormat, 99))
			for _, length := range []int{0, 5, frameHeaderBytes, len(before) / 2} {
				So(os.WriteFile(newer, before[:length], fileMode), ShouldBeNil)
				reopened := open(directory)
				So(entriesOf(reopened, 1), ShouldEqual, "ab")
				So(reopened.Close(), ShouldBeNil)
			}
		})
		Convey("reads the newest segment if an older one reappears after a power loss", func() {
			So(store.Close(), ShouldBeNil)
			reopened := open(directory)
			So(reopened.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 3, "B")}}}), ShouldBeNil)
			So(reopened.Close(), ShouldBeNil)
			So(os.WriteFile(name, after, fileMode), ShouldBeNil)
			reopenedAgain := open(directory)
			defer reopenedAgain.Close()
			So(entriesOf(reopenedAgain, 1), ShouldEqual, "aB")
			So(len(segments(directory)), ShouldEqual, 1)
		})
		Convey("drops the log when a snapshot of another replica replaces it", func() {
			snapshot := consensus.Snapshot{Index: 1, Term: 5}
			So(store.Write([]GroupWrite{{Group: 1, Snapshot: &snapshot, PromoteStaged: true}}), ShouldBeNil)
			So(entriesOf(store, 1), ShouldEqual, "")
			So(store.Close(), ShouldBeNil)
			reopened := open(directory)
			defer reopened.Close()
			So(entriesOf(reopened, 1), ShouldEqual, "")
		})
		Reset(func() { _ = store.Close() })
	})
	Convey("a write that fails while the disk is full is retried and takes effect once", t, func() {
		directory := t.TempDir()
		store := open(directory)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(1, 1, "a")}}}), ShouldBeNil)
		failing := &failingSegment{segment: store.journal.segment, failures: 3}
		store.journal.segment = failing
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 1, "a longer one")}}}), ShouldBeNil)
		So(failing.failures, ShouldEqual, 0)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(3, 1, "c")}}}), ShouldBeNil)
		So(entriesOf(store, 1), ShouldEqual, "aa longer onec")
		So(store.Close(), ShouldBeNil)
		reopened := open(directory)
		defer reopened.Close()
		So(entriesOf(reopened, 1), ShouldEqual, "aa longer onec")
	})
	Convey("any other disk error is returned at once", t, func() {
		failure := errors.New("gone")
		attempts := 0
		So(retryWrite(func() error { attempts++; return failure }), ShouldEqual, failure)
		So(attempts, ShouldEqual, 1)
	})
	Convey("a growing journal starts new segments and keeps one", t, func() {
		directory := t.TempDir()
		store := open(directory)
		data := make([]byte, 256<<10)
		const writes = 100
		for index := uint64(1); index <= writes; index++ {
			write := GroupWrite{Group: 1, Entries: []consensus.Entry{{Index: index, Term: 1, Data: data}}}
			if index%10 == 0 {
				write.Snapshot = &consensus.Snapshot{Index: index - 3, Term: 1}
			}
			So(store.Write([]GroupWrite{write}), ShouldBeNil)
		}
		So(store.Close(), ShouldBeNil)
		names := segments(directory)
		So(len(names), ShouldEqual, 1)
		So(filepath.Base(names[0]), ShouldNotEqual, fmt.Sprintf(segmentFormat, 1))
		fileInfo, err := os.Stat(names[0])
		So(err, ShouldBeNil)
		So(fileInfo.Size(), ShouldBeLessThan, 2*segmentBytes)
		reopened := open(directory)
		defer reopened.Close()
		restored, err := reopened.Load(1)
		So(err, ShouldBeNil)
		So(len(restored.Entries), ShouldEqual, 3)
		So(restored.Entries[2].Index, ShouldEqual, writes)
	})
}

func TestCheckpointInFrames(t *testing.T) {
	const entries, entryBytes = 30, 60 << 10
	Convey("a store with logs far larger than one frame of a checkpoint", t, func() {
		directory := t.TempDir()
		store := open(directory)
		want := map[GroupID]string{}
		for group := GroupID(1); group <= 2; group++ {
			for index := uint64(1); index <= entries; index++ {
				data := strings.Repeat(fmt.Sprintf("%d.%d ", group, index), entryBytes/5)
				want[group] += data
				So(store.Write([]GroupWrite{{Group: group, Entries: []consensus.Entry{entry(index, 1, data)}}}), ShouldBeNil)
			}
		}
		So(store.Close(), ShouldBeNil)
		older, olderBytes := lastSegment(directory)
		So(open(directory).Close(), ShouldBeNil)
		newer, checkpoint := lastSegment(directory)
		So(newer, ShouldNotEqual, older)
		ends := frameEnds(checkpoint)

		Convey("writes no frame much larger than the maximum size of a checkpoint frame", func() {
			So(len(ends), ShouldBeGreaterThan, 2*entries*entryBytes/checkpointFrameBytes)
			start := 0
			for _, end := range ends {
				So(end-start, ShouldBeLessThan, checkpointFrameBytes+2*entryBytes)
				start = end
			}
		})
		Convey("falls back to the previous segment wherever the checkpoint is truncated or a frame of it is missing", func() {
			for _, end := range ends[:len(ends)-1] {
				zeroed := slices.Clone(checkpoint)
				clear(zeroed[end : end+frameHeaderBytes])
				for _, contents := range [][]byte{checkpoint[:end], checkpoint[:end+frameHeaderBytes/2], zeroed} {
					damaged := t.TempDir()
					copyDatabase(directory, damaged)
					So(os.WriteFile(filepath.Join(damaged, filepath.Base(older)), olderBytes, fileMode), ShouldBeNil)
					So(os.WriteFile(filepath.Join(damaged, filepath.Base(newer)), contents, fileMode), ShouldBeNil)
					reopened := open(damaged)
					for group := range want {
						So(entriesOf(reopened, group) == want[group], ShouldBeTrue)
					}
					So(reopened.Close(), ShouldBeNil)
				}
			}
		})
		Convey("reads a segment whose checkpoint is one frame, as written by earlier versions", func() {
			earlier := t.TempDir()
			copyDatabase(directory, earlier)
			file, err := os.Create(filepath.Join(earlier, fmt.Sprintf(segmentFormat, 7)))
			So(err, ShouldBeNil)
			_, err = (&journal{}).writeSynced(segmentFile{file}, 0, []journalRecord{
				{Group: 1, HardState: &consensus.HardState{Term: 3}, Reset: true, Entries: []consensus.Entry{entry(1, 1, "old")}},
			})
			So(err, ShouldBeNil)
			So(file.Close(), ShouldBeNil)
			reopened := open(earlier)
			So(entriesOf(reopened, 1), ShouldEqual, "old")
			So(reopened.Close(), ShouldBeNil)
		})
	})
}

// frameEnds returns the end offsets of the frames of a segment.
func frameEnds(segment []byte) []int {
	var ends []int
	for end := 0; end+frameHeaderBytes <= len(segment); {
		end += frameHeaderBytes + int(binary.BigEndian.Uint32(segment[end:]))
		ends = append(ends, end)
	}
	return ends
}

func copyDatabase(from, to string) {
	database, err := os.ReadFile(filepath.Join(from, fileName))
	So(err, ShouldBeNil)
	So(os.WriteFile(filepath.Join(to, fileName), database, fileMode), ShouldBeNil)
}
