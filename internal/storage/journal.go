package storage

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"github.com/ochrebay/ochrebay/internal/consensus"
)

const (
	segmentPattern = "journal-*"
	segmentFormat  = "journal-%016d"
	// segmentBytes is how much is appended to a segment before the next one begins.
	segmentBytes = 8 << 20
	// frameHeadBytes are a frame's length (4 bytes) and checksum (8 bytes).
	frameHeadBytes = 12
	maxFrameBytes  = 1 << 30
	// imageFrameBytes is how many bytes of entries one frame of an image holds, but for
	// an entry that is larger by itself.
	imageFrameBytes = 256 << 10
)

// errTorn means that a segment ends, or goes on with bytes that were not written whole.
var errTorn = errors.New("storage: a frame of the journal is not whole")

// journal is the log of all groups in one file that is only appended to: a write costs
// one sync, where a transaction costs two and a page for each entry. A segment begins with
// an image of all that lives, so that older segments can go. The image is written in
// parts: encoded as one, it would need several times the memory of all that lives.
//
// Invariant: what append has returned for is in the newest segment that begins with a
// whole image.
type journal struct {
	folder   string
	segment  segment
	sequence uint64
	// end is where the next frame goes: behind the last one that was synced. appended
	// counts the bytes that follow the segment's image.
	end      int64
	appended int
	live     map[GroupID]*liveLog
	buffer   bytes.Buffer
}

// segment is the file of a segment.
type segment interface {
	io.WriterAt
	io.Closer
	// Sync returns once all that was written lasts.
	Sync() error
}

// segmentFile is a segment on disk. Its length lasts with its content.
type segmentFile struct{ *os.File }

// Sync syncs the content, and of the file's attributes only what reading it needs.
func (f segmentFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// liveLog is a group's hard state and the entries after its snapshot.
type liveLog struct {
	hard    consensus.HardState
	entries []consensus.Entry
}

// journalRecord is what one write adds to a group.
type journalRecord struct {
	Group     GroupID              `msgpack:"g"`
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	// Reset drops all entries before Entries are added: a snapshot has replaced them.
	Reset bool `msgpack:"r,omitempty"`
	// Entries overwrite the log from their first index on.
	Entries []consensus.Entry `msgpack:"e,omitempty"`
	// Partial says that the record is of an image and that more of it follows.
	Partial bool `msgpack:"p,omitempty"`
}

// openJournal reads the newest whole segment and begins a new one, so that nothing is
// ever appended behind a torn frame.
func openJournal(folder string) (*journal, error) {
	j := &journal{folder: folder, live: map[GroupID]*liveLog{}}
	names, err := filepath.Glob(filepath.Join(folder, segmentPattern))
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	for _, name := range slices.Backward(names) {
		var sequence uint64
		if _, err := fmt.Sscanf(filepath.Base(name), segmentFormat, &sequence); err != nil {
			return nil, errorx.IllegalFormat.New("%s is no segment of a journal", name)
		}
		j.sequence = max(j.sequence, sequence)
		whole, err := j.read(name)
		if err != nil {
			return nil, errorx.Decorate(err, "reading %s", name)
		}
		if whole {
			break
		}
	}
	return j, whileRefused(j.rotate)
}

// read takes a segment in; false where not even its image is whole, and then nothing of
// it counts.
func (j *journal) read(name string) (bool, error) {
	file, err := os.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	for whole := false; ; {
		records, err := readFrame(reader)
		if errors.Is(err, errTorn) {
			if !whole {
				j.live = map[GroupID]*liveLog{}
			}
			return whole, nil
		}
		if err != nil {
			return false, err
		}
		whole = whole || len(records) == 0 || !records[0].Partial
		for position := range records {
			j.apply(&records[position])
		}
	}
}

// readFrame reads one frame; errTorn means that the segment ends here.
func readFrame(reader io.Reader) ([]journalRecord, error) {
	var head [frameHeadBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return nil, tornOr(err)
	}
	length := binary.BigEndian.Uint32(head[:4])
	if length > maxFrameBytes {
		return nil, errTorn
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, tornOr(err)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(head[4:]) {
		return nil, errTorn
	}
	var records []journalRecord
	err := msgpack.Unmarshal(body, &records)
	return records, err
}

func tornOr(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}

func (j *journal) of(group GroupID) *liveLog {
	known, ok := j.live[group]
	if !ok {
		known = &liveLog{}
		j.live[group] = known
	}
	return known
}

func (j *journal) apply(record *journalRecord) {
	log := j.of(record.Group)
	if record.HardState != nil {
		log.hard = *record.HardState
	}
	if record.Reset {
		log.entries = nil
	}
	if len(record.Entries) == 0 {
		return
	}
	// Invariant: no entry of an older term stays behind the ones written.
	first := record.Entries[0].Index
	keep := len(log.entries)
	for keep > 0 && log.entries[keep-1].Index >= first {
		keep--
	}
	log.entries = append(log.entries[:keep], record.Entries...)
}

// compact forgets a group's entries up to an index, which its snapshot covers.
func (j *journal) compact(group GroupID, index uint64) {
	log := j.of(group)
	covered := 0
	for covered < len(log.entries) && log.entries[covered].Index <= index {
		covered++
	}
	log.entries = slices.Clone(log.entries[covered:])
}

// append adds records and returns after the sync.
func (j *journal) append(records []journalRecord) error {
	if len(records) == 0 {
		return nil
	}
	written, err := j.writeSynced(j.segment, j.end, records)
	if err != nil {
		return err
	}
	j.end += int64(written)
	for position := range records {
		j.apply(&records[position])
	}
	if j.appended += written; j.appended > segmentBytes {
		// Where no new segment can be had now, the present one goes on.
		if err := j.rotate(); err != nil {
			j.appended = segmentBytes / 2
		}
	}
	return nil
}

// writeSynced writes a frame at an offset and returns after the sync. A frame that was not
// written whole is overwritten by the next one at that place.
func (j *journal) writeSynced(into segment, offset int64, records []journalRecord) (int, error) {
	written, err := j.writeFrame(into, offset, records)
	if err != nil {
		return 0, err
	}
	return written, into.Sync()
}

// writeFrame writes a frame at an offset, which lasts once the segment is synced.
func (j *journal) writeFrame(into segment, offset int64, records []journalRecord) (int, error) {
	var head [frameHeadBytes]byte
	j.buffer.Reset()
	j.buffer.Write(head[:])
	if err := msgpack.NewEncoder(&j.buffer).Encode(records); err != nil {
		return 0, err
	}
	frame := j.buffer.Bytes()
	body := frame[frameHeadBytes:]
	binary.BigEndian.PutUint32(frame[:4], uint32(len(body)))
	binary.BigEndian.PutUint64(frame[4:], xxhash.Sum64(body))
	return into.WriteAt(frame, offset)
}

// writeImage writes all that lives from the beginning of a segment on, and returns its
// length after the sync. Its last frame is empty: only with that one the image is whole.
func (j *journal) writeImage(into segment) (int64, error) {
	end := int64(0)
	for _, group := range slices.Sorted(maps.Keys(j.live)) {
		for _, part := range imageOf(group, j.live[group]) {
			written, err := j.writeFrame(into, end, []journalRecord{part})
			if err != nil {
				return 0, err
			}
			end += int64(written)
		}
	}
	written, err := j.writeSynced(into, end, []journalRecord{})
	return end + int64(written), err
}

// imageOf returns a group's part of an image, in records of bounded size.
func imageOf(group GroupID, log *liveLog) []journalRecord {
	parts := []journalRecord{{Group: group, HardState: &log.hard, Reset: true, Partial: true}}
	begin, size := 0, 0
	for position := range log.entries {
		if size += len(log.entries[position].Data); size < imageFrameBytes && position < len(log.entries)-1 {
			continue
		}
		parts = append(parts, journalRecord{Group: group, Partial: true, Entries: log.entries[begin : position+1]})
		begin, size = position+1, 0
	}
	return parts
}

// rotate begins a new segment with an image of what lives, and removes the older ones
// once it lasts.
func (j *journal) rotate() error {
	older, err := filepath.Glob(filepath.Join(j.folder, segmentPattern))
	if err != nil {
		return err
	}
	j.sequence++
	name := filepath.Join(j.folder, fmt.Sprintf(segmentFormat, j.sequence))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	end, err := j.writeImage(segmentFile{file})
	if err == nil {
		err = syncFolder(j.folder)
	}
	if err != nil {
		// Invariant: a segment that is not whole never takes the place of an older one.
		_ = file.Close()
		_ = os.Remove(name)
		return err
	}
	if j.segment != nil {
		_ = j.segment.Close()
	}
	j.segment = segmentFile{file}
	j.end = end
	j.appended = 0
	for _, old := range older {
		if err := os.Remove(old); err != nil {
			return err
		}
	}
	return nil
}

func (j *journal) close() error { return j.segment.Close() }

// syncFolder makes the names in a folder last.
func syncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}
