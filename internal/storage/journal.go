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
	// segmentBytes is the number of bytes appended to a segment before the next one is started.
	segmentBytes = 8 << 20
	// frameHeaderBytes is the size of a frame's length (4 bytes) and checksum (8 bytes).
	frameHeaderBytes = 12
	// recordOverheadBytes is the usual size of a frame without its entries, and entries are encoded with at most one
	// part in entryOverheadDivisor more.
	recordOverheadBytes  = 512
	entryOverheadDivisor = 64
	// maxRetainedBufferBytes is the largest buffer that is kept for the next frame.
	maxRetainedBufferBytes = 1 << 20
	maxFrameBytes          = 1 << 30
	// checkpointFrameBytes is the maximum size of the entries in one frame of a checkpoint,
	// except for a single entry that is larger.
	checkpointFrameBytes = 256 << 10
)

// errTornFrame means that a segment ends, or continues with a frame that was written only in
// part.
var errTornFrame = errors.New("storage: incomplete frame in journal")

// journal is the append-only log of all groups: a write costs one sync, whereas a bbolt transaction
// costs two syncs and a page for each entry. Each segment starts with a checkpoint of all live
// logs, so that older segments can be deleted. The checkpoint is written in several frames: encoded
// as one frame, it would need several times the memory of the live logs.
//
// Invariant: all records for which append has returned without error are in the newest segment
// that starts with a complete checkpoint.
type journal struct {
	directory string
	segment   segment
	sequence  uint64
	// nextOffset is the offset of the next frame, after the last synced one. appendedBytes counts
	// the bytes after the segment's checkpoint; a failed rotation lowers it to delay the next
	// attempt.
	nextOffset    int64
	appendedBytes int
	logs          map[GroupID]*groupLog
	buffer        bytes.Buffer
}

// segment is the file of a journal segment.
type segment interface {
	io.WriterAt
	io.Closer
	// Sync returns when all bytes written are durable.
	Sync() error
}

// segmentFile is a segment on disk. Syncing its content also syncs its length.
type segmentFile struct{ *os.File }

// Sync syncs the content and only those attributes of the file that are needed to read it.
func (f segmentFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// groupLog is a group's hard state and the entries after its snapshot.
type groupLog struct {
	hard    consensus.HardState
	entries []consensus.Entry
}

// journalRecord is the part of one write that belongs to one group.
type journalRecord struct {
	Group     GroupID              `msgpack:"g"`
	HardState *consensus.HardState `msgpack:"h,omitempty"`
	// Reset drops all entries before Entries are added, since a snapshot has replaced them.
	Reset bool `msgpack:"r,omitempty"`
	// Entries overwrite the log from their first index on.
	Entries []consensus.Entry `msgpack:"e,omitempty"`
	// Partial means that the record belongs to a checkpoint that continues after it.
	Partial bool `msgpack:"p,omitempty"`
}

// openJournal reads the newest segment with a complete checkpoint and starts a new segment, so
// that no frame is ever appended after a torn one.
func openJournal(directory string) (*journal, error) {
	j := &journal{directory: directory, logs: map[GroupID]*groupLog{}}
	names, err := filepath.Glob(filepath.Join(directory, segmentPattern))
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	for _, name := range slices.Backward(names) {
		var sequence uint64
		if _, err := fmt.Sscanf(filepath.Base(name), segmentFormat, &sequence); err != nil {
			return nil, errorx.IllegalFormat.New("%s is not a journal segment", name)
		}
		j.sequence = max(j.sequence, sequence)
		complete, err := j.read(name)
		if err != nil {
			return nil, errorx.Decorate(err, "reading %s", name)
		}
		if complete {
			break
		}
	}
	return j, retryWrite(j.rotate)
}

// read loads a segment. It returns false if the segment's checkpoint is incomplete; then nothing
// of the segment is loaded.
func (j *journal) read(name string) (bool, error) {
	file, err := os.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	reader := bufio.NewReader(file)
	for complete := false; ; {
		records, err := readFrame(reader)
		if errors.Is(err, errTornFrame) {
			if !complete {
				j.logs = map[GroupID]*groupLog{}
			}
			return complete, nil
		}
		if err != nil {
			return false, err
		}
		// A checkpoint ends with an empty frame; earlier releases wrote it as one frame whose
		// records are not Partial.
		complete = complete || len(records) == 0 || !records[0].Partial
		for position := range records {
			j.apply(&records[position])
		}
	}
}

// readFrame reads one frame; errTornFrame means that the segment ends here.
func readFrame(reader io.Reader) ([]journalRecord, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, asTornFrame(err)
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length > maxFrameBytes {
		return nil, errTornFrame
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, asTornFrame(err)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(header[4:]) {
		return nil, errTornFrame
	}
	var records []journalRecord
	err := msgpack.Unmarshal(body, &records)
	return records, err
}

// asTornFrame returns errTornFrame for an unexpected end of file, and other errors unchanged.
func asTornFrame(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTornFrame
	}
	return err
}

func (j *journal) logOf(group GroupID) *groupLog {
	log, ok := j.logs[group]
	if !ok {
		log = &groupLog{}
		j.logs[group] = log
	}
	return log
}

func (j *journal) apply(record *journalRecord) {
	log := j.logOf(record.Group)
	if record.HardState != nil {
		log.hard = *record.HardState
	}
	if record.Reset {
		log.entries = nil
	}
	if len(record.Entries) == 0 {
		return
	}
	// The new entries replace all entries from their first index on, so that no entry of an
	// older term remains after them.
	first := record.Entries[0].Index
	keep := len(log.entries)
	for keep > 0 && log.entries[keep-1].Index >= first {
		keep--
	}
	log.entries = append(log.entries[:keep], record.Entries...)
}

// compact drops a group's entries up to an index that its snapshot covers.
func (j *journal) compact(group GroupID, index uint64) {
	log := j.logOf(group)
	covered := 0
	for covered < len(log.entries) && log.entries[covered].Index <= index {
		covered++
	}
	log.entries = slices.Clone(log.entries[covered:])
}

// append appends records and returns after the sync.
func (j *journal) append(records []journalRecord) error {
	if len(records) == 0 {
		return nil
	}
	written, err := j.writeSynced(j.segment, j.nextOffset, records)
	if err != nil {
		return err
	}
	j.nextOffset += int64(written)
	for position := range records {
		j.apply(&records[position])
	}
	if j.appendedBytes += written; j.appendedBytes > segmentBytes {
		// If no new segment can be created now, the current one stays in use, and the next attempt
		// follows after another segmentBytes/2 bytes.
		if err := j.rotate(); err != nil {
			j.appendedBytes = segmentBytes / 2
		}
	}
	return nil
}

// writeSynced writes a frame at an offset and returns after the sync. A frame that was written
// only in part is overwritten by the next one at the same offset.
func (j *journal) writeSynced(target segment, offset int64, records []journalRecord) (int, error) {
	written, err := j.writeFrame(target, offset, records)
	if err != nil {
		return 0, err
	}
	return written, target.Sync()
}

// writeFrame writes a frame at an offset; it is durable when the segment has been synced.
func (j *journal) writeFrame(target segment, offset int64, records []journalRecord) (int, error) {
	var header [frameHeaderBytes]byte
	j.buffer.Reset()
	content := contentBytes(records)
	j.buffer.Grow(content + content/entryOverheadDivisor + recordOverheadBytes)
	j.buffer.Write(header[:])
	if err := msgpack.NewEncoder(&j.buffer).Encode(records); err != nil {
		return 0, err
	}
	frame := j.buffer.Bytes()
	body := frame[frameHeaderBytes:]
	binary.BigEndian.PutUint32(frame[:4], uint32(len(body)))
	binary.BigEndian.PutUint64(frame[4:], xxhash.Sum64(body))
	written, err := target.WriteAt(frame, offset)
	if j.buffer.Cap() > maxRetainedBufferBytes {
		j.buffer = bytes.Buffer{}
	}
	return written, err
}

// contentBytes returns the size of the entries of records.
func contentBytes(records []journalRecord) int {
	total := 0
	for position := range records {
		for _, entry := range records[position].Entries {
			total += len(entry.Data)
		}
	}
	return total
}

// writeCheckpoint writes all live logs at the start of a segment, and returns the length of the
// checkpoint after the sync. Its last frame is empty; without that frame the checkpoint is
// incomplete.
func (j *journal) writeCheckpoint(target segment) (int64, error) {
	end := int64(0)
	for _, group := range slices.Sorted(maps.Keys(j.logs)) {
		for _, part := range checkpointRecords(group, j.logs[group]) {
			written, err := j.writeFrame(target, end, []journalRecord{part})
			if err != nil {
				return 0, err
			}
			end += int64(written)
		}
	}
	written, err := j.writeSynced(target, end, []journalRecord{})
	return end + int64(written), err
}

// checkpointRecords returns a group's part of a checkpoint, in records of bounded size.
func checkpointRecords(group GroupID, log *groupLog) []journalRecord {
	parts := []journalRecord{{Group: group, HardState: &log.hard, Reset: true, Partial: true}}
	start, size := 0, 0
	for position := range log.entries {
		if size += len(log.entries[position].Data); size < checkpointFrameBytes && position < len(log.entries)-1 {
			continue
		}
		parts = append(parts, journalRecord{Group: group, Partial: true, Entries: log.entries[start : position+1]})
		start, size = position+1, 0
	}
	return parts
}

// rotate starts a new segment with a checkpoint of the live logs, and deletes the older segments
// when it is durable.
func (j *journal) rotate() error {
	olderNames, err := filepath.Glob(filepath.Join(j.directory, segmentPattern))
	if err != nil {
		return err
	}
	j.sequence++
	name := filepath.Join(j.directory, fmt.Sprintf(segmentFormat, j.sequence))
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	end, err := j.writeCheckpoint(segmentFile{file})
	if err == nil {
		err = syncDirectory(j.directory)
	}
	if err != nil {
		// Invariant: an incomplete segment never replaces an older one.
		_ = file.Close()
		_ = os.Remove(name)
		return err
	}
	if j.segment != nil {
		_ = j.segment.Close()
	}
	j.segment = segmentFile{file}
	j.nextOffset = end
	j.appendedBytes = 0
	for _, old := range olderNames {
		if err := os.Remove(old); err != nil {
			return err
		}
	}
	return nil
}

func (j *journal) close() error { return j.segment.Close() }

// syncDirectory makes the entries of a directory durable.
func syncDirectory(directory string) error {
	file, err := os.Open(directory)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}
