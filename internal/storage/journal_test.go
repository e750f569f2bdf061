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

// segments returns the paths of a folder's segments, oldest first.
func segments(folder string) []string {
	names, err := filepath.Glob(filepath.Join(folder, segmentPattern))
	So(err, ShouldBeNil)
	return names
}

// lastSegment returns the newest segment and its bytes.
func lastSegment(folder string) (string, []byte) {
	names := segments(folder)
	So(names, ShouldNotBeEmpty)
	raw, err := os.ReadFile(names[len(names)-1])
	So(err, ShouldBeNil)
	return names[len(names)-1], raw
}

func open(folder string) *Store {
	store, err := Open(folder)
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

// refusingSegment writes a part of a frame and refuses the rest, as a full disk does.
type refusingSegment struct {
	segment
	refusals int
}

func (r *refusingSegment) WriteAt(raw []byte, offset int64) (int, error) {
	if r.refusals == 0 {
		return r.segment.WriteAt(raw, offset)
	}
	r.refusals--
	written, _ := r.segment.WriteAt(raw[:len(raw)/2], offset)
	return written, unix.ENOSPC
}

func TestJournal(t *testing.T) {
	Convey("a store with two writes", t, func() {
		folder := t.TempDir()
		store := open(folder)
		hard := consensus.HardState{Term: 2, Vote: 9, Commit: 1}
		So(store.Write([]GroupWrite{{Group: 1, HardState: &hard, Entries: []consensus.Entry{entry(1, 1, "a")}}}), ShouldBeNil)
		_, before := lastSegment(folder)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 1, "b")}}}), ShouldBeNil)
		name, after := lastSegment(folder)
		So(len(after), ShouldBeGreaterThan, len(before))
		Convey("reads both back, with the hard state", func() {
			So(store.Close(), ShouldBeNil)
			again := open(folder)
			defer again.Close()
			So(entriesOf(again, 1), ShouldEqual, "ab")
			restored, _ := again.Load(1)
			So(restored.HardState, ShouldResemble, hard)
			So(len(segments(folder)), ShouldEqual, 1)
		})
		Convey("loses only a write that was torn, wherever it is torn, and goes on behind it", func() {
			So(store.Close(), ShouldBeNil)
			for length := len(before); length < len(after); length++ {
				copied := t.TempDir()
				database, err := os.ReadFile(filepath.Join(folder, fileName))
				So(err, ShouldBeNil)
				So(os.WriteFile(filepath.Join(copied, fileName), database, fileMode), ShouldBeNil)
				So(os.WriteFile(filepath.Join(copied, filepath.Base(name)), after[:length], fileMode), ShouldBeNil)
				torn := open(copied)
				So(entriesOf(torn, 1), ShouldEqual, "a")
				So(torn.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 2, "c")}}}), ShouldBeNil)
				So(torn.Close(), ShouldBeNil)
				whole := open(copied)
				So(entriesOf(whole, 1), ShouldEqual, "ac")
				So(whole.Close(), ShouldBeNil)
			}
		})
		Convey("loses only a write whose bytes are wrong", func() {
			So(store.Close(), ShouldBeNil)
			after[len(after)-1] ^= 1
			So(os.WriteFile(name, after, fileMode), ShouldBeNil)
			again := open(folder)
			defer again.Close()
			So(entriesOf(again, 1), ShouldEqual, "a")
		})
		Convey("goes back to the segment before where the image of the newest is torn", func() {
			So(store.Close(), ShouldBeNil)
			newer := filepath.Join(folder, fmt.Sprintf(segmentFormat, 99))
			for _, length := range []int{0, 5, frameHeadBytes, len(before) / 2} {
				So(os.WriteFile(newer, before[:length], fileMode), ShouldBeNil)
				again := open(folder)
				So(entriesOf(again, 1), ShouldEqual, "ab")
				So(again.Close(), ShouldBeNil)
			}
		})
		Convey("takes the newest segment where an older one is back after a loss of power", func() {
			So(store.Close(), ShouldBeNil)
			again := open(folder)
			So(again.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 3, "B")}}}), ShouldBeNil)
			So(again.Close(), ShouldBeNil)
			So(os.WriteFile(name, after, fileMode), ShouldBeNil)
			third := open(folder)
			defer third.Close()
			So(entriesOf(third, 1), ShouldEqual, "aB")
			So(len(segments(folder)), ShouldEqual, 1)
		})
		Convey("drops the log that a snapshot of another replica replaces", func() {
			snapshot := consensus.Snapshot{Index: 1, Term: 5}
			So(store.Write([]GroupWrite{{Group: 1, Snapshot: &snapshot, PromoteStaged: true}}), ShouldBeNil)
			So(entriesOf(store, 1), ShouldEqual, "")
			So(store.Close(), ShouldBeNil)
			again := open(folder)
			defer again.Close()
			So(entriesOf(again, 1), ShouldEqual, "")
		})
		Reset(func() { _ = store.Close() })
	})
	Convey("a write that the disk refuses for a while is repeated, and is there once", t, func() {
		folder := t.TempDir()
		store := open(folder)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(1, 1, "a")}}}), ShouldBeNil)
		refusing := &refusingSegment{segment: store.journal.segment, refusals: 3}
		store.journal.segment = refusing
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(2, 1, "a longer one")}}}), ShouldBeNil)
		So(refusing.refusals, ShouldEqual, 0)
		So(store.Write([]GroupWrite{{Group: 1, Entries: []consensus.Entry{entry(3, 1, "c")}}}), ShouldBeNil)
		So(entriesOf(store, 1), ShouldEqual, "aa longer onec")
		So(store.Close(), ShouldBeNil)
		again := open(folder)
		defer again.Close()
		So(entriesOf(again, 1), ShouldEqual, "aa longer onec")
	})
	Convey("another failure of the disk is told at once", t, func() {
		failure := errors.New("gone")
		tries := 0
		So(whileRefused(func() error { tries++; return failure }), ShouldEqual, failure)
		So(tries, ShouldEqual, 1)
	})
	Convey("a journal that grows begins new segments and keeps one", t, func() {
		folder := t.TempDir()
		store := open(folder)
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
		names := segments(folder)
		So(len(names), ShouldEqual, 1)
		So(filepath.Base(names[0]), ShouldNotEqual, fmt.Sprintf(segmentFormat, 1))
		information, err := os.Stat(names[0])
		So(err, ShouldBeNil)
		So(information.Size(), ShouldBeLessThan, 2*segmentBytes)
		again := open(folder)
		defer again.Close()
		restored, err := again.Load(1)
		So(err, ShouldBeNil)
		So(len(restored.Entries), ShouldEqual, 3)
		So(restored.Entries[2].Index, ShouldEqual, writes)
	})
}

func TestImageInParts(t *testing.T) {
	const entries, entryBytes = 30, 60 << 10
	Convey("a store with logs far larger than one part of an image", t, func() {
		folder := t.TempDir()
		store := open(folder)
		want := map[GroupID]string{}
		for group := GroupID(1); group <= 2; group++ {
			for index := uint64(1); index <= entries; index++ {
				data := strings.Repeat(fmt.Sprintf("%d.%d ", group, index), entryBytes/5)
				want[group] += data
				So(store.Write([]GroupWrite{{Group: group, Entries: []consensus.Entry{entry(index, 1, data)}}}), ShouldBeNil)
			}
		}
		So(store.Close(), ShouldBeNil)
		older, olderBytes := lastSegment(folder)
		So(open(folder).Close(), ShouldBeNil)
		newer, image := lastSegment(folder)
		So(newer, ShouldNotEqual, older)
		ends := frameEnds(image)

		Convey("writes no frame that is much larger than a part", func() {
			So(len(ends), ShouldBeGreaterThan, 2*entries*entryBytes/imageFrameBytes)
			begin := 0
			for _, end := range ends {
				So(end-begin, ShouldBeLessThan, imageFrameBytes+2*entryBytes)
				begin = end
			}
		})
		Convey("goes back to the segment before wherever the image ends too early, or a part of it is missing", func() {
			for _, end := range ends[:len(ends)-1] {
				hole := slices.Clone(image)
				clear(hole[end : end+frameHeadBytes])
				for _, spoiled := range [][]byte{image[:end], image[:end+frameHeadBytes/2], hole} {
					damaged := t.TempDir()
					copyDatabase(folder, damaged)
					So(os.WriteFile(filepath.Join(damaged, filepath.Base(older)), olderBytes, fileMode), ShouldBeNil)
					So(os.WriteFile(filepath.Join(damaged, filepath.Base(newer)), spoiled, fileMode), ShouldBeNil)
					again := open(damaged)
					for group := range want {
						So(entriesOf(again, group) == want[group], ShouldBeTrue)
					}
					So(again.Close(), ShouldBeNil)
				}
			}
		})
		Convey("reads a segment whose image is one frame, as earlier versions wrote it", func() {
			earlier := t.TempDir()
			copyDatabase(folder, earlier)
			file, err := os.Create(filepath.Join(earlier, fmt.Sprintf(segmentFormat, 7)))
			So(err, ShouldBeNil)
			_, err = (&journal{}).writeSynced(segmentFile{file}, 0, []journalRecord{
				{Group: 1, HardState: &consensus.HardState{Term: 3}, Reset: true, Entries: []consensus.Entry{entry(1, 1, "old")}},
			})
			So(err, ShouldBeNil)
			So(file.Close(), ShouldBeNil)
			again := open(earlier)
			So(entriesOf(again, 1), ShouldEqual, "old")
			So(again.Close(), ShouldBeNil)
		})
	})
}

// frameEnds returns where the frames of a segment end.
func frameEnds(segment []byte) []int {
	var ends []int
	for end := 0; end+frameHeadBytes <= len(segment); {
		end += frameHeadBytes + int(binary.BigEndian.Uint32(segment[end:]))
		ends = append(ends, end)
	}
	return ends
}

func copyDatabase(from, to string) {
	database, err := os.ReadFile(filepath.Join(from, fileName))
	So(err, ShouldBeNil)
	So(os.WriteFile(filepath.Join(to, fileName), database, fileMode), ShouldBeNil)
}
