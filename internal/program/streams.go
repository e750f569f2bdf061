package program

import (
	"cmp"
	"slices"

	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	// streamRetentionMarginMs is added to the retention time of a stream, for clocks that differ
	// and for callers that count their deadline from a later moment.
	streamRetentionMarginMs = 5_000
	// endedStreamRetentionMs is how long the record of a complete stream is retained, for callers
	// that lost its last events.
	endedStreamRetentionMs = 5_000
	// streamSweepDelayMs is how long expired records may stay, so that a group with steady traffic
	// is swept once in this time and not at every interval.
	streamSweepDelayMs = 5_000
	// maxStreamsPerProgram bounds the records of one program. Beyond it, the oldest is dropped.
	maxStreamsPerProgram = 64
)

// StreamOrigin identifies the engines that may continue a stream: those of the backend and the
// software version that sent its first event.
type StreamOrigin struct {
	Backend         string `msgpack:"b"`
	SoftwareVersion string `msgpack:"v,omitempty"`
}

// StreamOpening records the origin of a stream that begins, or finds the origin of a stream that its
// caller takes up.
type StreamOpening struct {
	// Origin is the origin to record, nil for a stream that is taken up.
	Origin *StreamOrigin `msgpack:"o,omitempty"`
	// Attempt orders the records of one request. A record replaces those of earlier attempts, whose
	// engines have sent no event to the caller.
	Attempt int `msgpack:"n,omitempty"`
	// TakesUp is the request that brought the first event of a stream that is taken up. If it is
	// empty, the session identifies the stream.
	TakesUp string `msgpack:"u,omitempty"`
	// RetentionMs is how long the caller may still take the stream up.
	RetentionMs int64 `msgpack:"t,omitempty"`
}

// OpenStream is a StreamOpening on its own, without the reservation of a turn.
type OpenStream struct {
	// Program is the program of the stream or, if it belongs to none, the request that begins it.
	Program string        `msgpack:"p"`
	Request string        `msgpack:"r"`
	Session string        `msgpack:"s,omitempty"`
	Opening StreamOpening `msgpack:"o"`
}

// streamRecord is the origin of one stream.
type streamRecord struct {
	// Request is the request that began the stream.
	Request   string       `msgpack:"r"`
	Session   string       `msgpack:"s,omitempty"`
	Origin    StreamOrigin `msgpack:"o"`
	Attempt   int          `msgpack:"n,omitempty"`
	ExpiresMs int64        `msgpack:"e"`
}

// programStreams are the streams of one program, in the order in which they were recorded.
type programStreams struct {
	Program string         `msgpack:"p"`
	Records []streamRecord `msgpack:"r"`
}

// streamLedger holds the origins of the streams that callers may still take up, by program.
// Invariant: a caller receives no event before the origin of the engine that sends it is recorded
// here, so a record never leads a stream to engines that can't continue it.
type streamLedger struct {
	byProgram map[string]*programStreams
	// count is the number of records.
	count int
}

// newStreamLedger returns a ledger with the given records.
func newStreamLedger(recorded []*programStreams) streamLedger {
	ledger := streamLedger{byProgram: make(map[string]*programStreams, len(recorded))}
	for _, streams := range recorded {
		ledger.byProgram[streams.Program] = streams
		ledger.count += len(streams.Records)
	}
	return ledger
}

// open records or finds the origin of a stream, and returns it.
func (l *streamLedger) open(nowMs int64, open OpenStream) (StreamOrigin, *result.Error) {
	if open.Opening.Origin == nil {
		return l.find(nowMs, open)
	}
	return l.record(nowMs, open), nil
}

// record records the origin of a stream unless a later attempt has recorded it already, and returns
// the recorded origin.
func (l *streamLedger) record(nowMs int64, open OpenStream) StreamOrigin {
	streams, known := l.byProgram[open.Program]
	if !known {
		streams = &programStreams{Program: open.Program}
		l.byProgram[open.Program] = streams
	}
	expiresMs := nowMs + open.Opening.RetentionMs + streamRetentionMarginMs
	if existing := streams.find(open.Request); existing != nil {
		if open.Opening.Attempt > existing.Attempt {
			existing.Origin, existing.Attempt = *open.Opening.Origin, open.Opening.Attempt
		}
		existing.ExpiresMs = max(existing.ExpiresMs, expiresMs)
		return existing.Origin
	}
	if len(streams.Records) == maxStreamsPerProgram {
		streams.Records = slices.Delete(streams.Records, 0, 1)
		l.count--
	}
	l.count++
	streams.Records = append(streams.Records, streamRecord{
		Request: open.Request, Session: open.Session, Origin: *open.Opening.Origin, Attempt: open.Opening.Attempt, ExpiresMs: expiresMs,
	})
	return *open.Opening.Origin
}

// find returns the origin of a stream that its caller takes up, and retains it for as long as the
// caller may take it up again. Without the name of the stream it returns the origin of the session's
// streams if all of them have the same one.
func (l *streamLedger) find(nowMs int64, open OpenStream) (StreamOrigin, *result.Error) {
	streams := l.byProgram[open.Program]
	if streams == nil {
		return StreamOrigin{}, result.New(result.StreamUnknown, "no stream of program %s is on record", open.Program)
	}
	expiresMs := nowMs + open.Opening.RetentionMs + streamRetentionMarginMs
	if open.Opening.TakesUp != "" {
		record := streams.find(open.Opening.TakesUp)
		if record == nil {
			return StreamOrigin{}, result.New(result.StreamUnknown, "stream %s is not on record", open.Opening.TakesUp)
		}
		record.ExpiresMs = max(record.ExpiresMs, expiresMs)
		return record.Origin, nil
	}
	return streams.findBySession(open.Session, expiresMs)
}

// find returns the record of a request, nil if there is none.
func (s *programStreams) find(request string) *streamRecord {
	index := slices.IndexFunc(s.Records, func(record streamRecord) bool { return record.Request == request })
	if index < 0 {
		return nil
	}
	return &s.Records[index]
}

// findBySession returns the common origin of a session's streams and retains them until expiresMs.
func (s *programStreams) findBySession(session string, expiresMs int64) (StreamOrigin, *result.Error) {
	if len(s.Records) == maxStreamsPerProgram {
		return StreamOrigin{}, result.New(result.StreamUnknown, "the caller does not name the stream, and the program has begun too many to tell")
	}
	var matches []*streamRecord
	for index := range s.Records {
		if s.Records[index].Session == session {
			matches = append(matches, &s.Records[index])
		}
	}
	if len(matches) == 0 {
		return StreamOrigin{}, result.New(result.StreamUnknown, "no stream of session %s is on record", session)
	}
	for _, record := range matches {
		if record.Origin != matches[0].Origin {
			return StreamOrigin{}, result.New(result.StreamUnknown, "the caller does not name the stream, and session %s has begun streams at software versions %s and %s",
				session, matches[0].Origin.SoftwareVersion, record.Origin.SoftwareVersion)
		}
		record.ExpiresMs = max(record.ExpiresMs, expiresMs)
	}
	return matches[0].Origin, nil
}

// end shortens the retention of a stream whose caller was sent its last event.
func (l *streamLedger) end(nowMs int64, program, request string) {
	streams := l.byProgram[program]
	if streams == nil {
		return
	}
	if record := streams.find(request); record != nil {
		record.ExpiresMs = min(record.ExpiresMs, nowMs+endedStreamRetentionMs)
	}
}

// isSweepDue reports whether records have expired for longer than streamSweepDelayMs.
func (l *streamLedger) isSweepDue(nowMs int64) bool {
	for _, streams := range l.byProgram {
		if slices.ContainsFunc(streams.Records, func(record streamRecord) bool { return record.ExpiresMs+streamSweepDelayMs < nowMs }) {
			return true
		}
	}
	return false
}

// sweep deletes the expired records.
func (l *streamLedger) sweep(nowMs int64) {
	for program, streams := range l.byProgram {
		before := len(streams.Records)
		streams.Records = slices.DeleteFunc(streams.Records, func(record streamRecord) bool { return record.ExpiresMs < nowMs })
		l.count -= before - len(streams.Records)
		if len(streams.Records) == 0 {
			delete(l.byProgram, program)
		}
	}
}

// sorted returns the streams of all programs in ascending order of program.
func (l *streamLedger) sorted() []*programStreams {
	var sorted []*programStreams
	for _, streams := range l.byProgram {
		sorted = append(sorted, streams)
	}
	slices.SortFunc(sorted, func(a, b *programStreams) int { return cmp.Compare(a.Program, b.Program) })
	return sorted
}
