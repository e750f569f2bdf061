package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
)

const (
	// queuedLines bounds the lines that wait to be written, and batchBytes what one
	// write takes of them.
	queuedLines = 4096
	batchBytes  = 32 << 10
	// keptOneIn is the share of calm requests whose lines are written while the queue
	// is more than half full: one in so many, the same ids in every process.
	keptOneIn = 8
)

// LogSink writes lines in the background. A caller never waits: where the queue is full
// a line is dropped and counted, and the number is written once there is room.
type LogSink struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
	thinned atomic.Int64
	once    sync.Once
}

// NewLogSink returns a sink before a writer that may be slow or stuck.
func NewLogSink(writer io.Writer) *LogSink {
	sink := &LogSink{lines: make(chan []byte, queuedLines), flush: make(chan chan struct{})}
	go sink.run(writer)
	return sink
}

// Write queues one line.
func (s *LogSink) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full, and Thinned how many of calm
// requests were left out before that.
func (s *LogSink) Dropped() int64 { return s.dropped.Load() }

// SampledOut returns how many lines of calm requests were left out.
func (s *LogSink) SampledOut() int64 { return s.thinned.Load() }

// Flush waits until what is queued has been written; the writer must not be stuck.
func (s *LogSink) Flush() {
	done := make(chan struct{})
	s.flush <- done
	<-done
}

func (s *LogSink) run(writer io.Writer) {
	told := int64(0)
	var batch []byte
	for {
		batch = batch[:0]
		var waiting chan struct{}
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		case waiting = <-s.flush:
		}
		batch = s.gather(batch)
		if dropped := s.dropped.Load(); dropped != told {
			batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" count=%d total=%d\n", dropped-told, dropped)
			told = dropped
		}
		_, _ = writer.Write(batch)
		if waiting != nil {
			for len(s.lines) > 0 {
				_, _ = writer.Write(s.gather(nil))
			}
			close(waiting)
		}
	}
}

// gather appends the lines that wait already.
func (s *LogSink) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// keeps reports whether the line of a calm request is to be written.
func (s *LogSink) keeps(request string) bool {
	if len(s.lines) < queuedLines/2 || xxhash.Sum64String(request)%keptOneIn == 0 {
		return true
	}
	s.thinned.Add(1)
	return false
}

// processSink is the sink of this process's log, nil before it is made.
var processSink atomic.Pointer[LogSink]

// SetLogOutput makes the sink of this process's log.
func SetLogOutput(writer io.Writer) *LogSink {
	sink := NewLogSink(writer)
	processSink.Store(sink)
	return sink
}

// FlushLog waits until this process's log has been written.
func FlushLog() {
	if sink := processSink.Load(); sink != nil {
		sink.once.Do(sink.Flush)
	}
}

// LostLogLines returns how many lines of this process's log were dropped and thinned.
func LostLogLines() (dropped, thinned int64) {
	sink := processSink.Load()
	if sink == nil {
		return 0, 0
	}
	return sink.Dropped(), sink.SampledOut()
}

// InfoSampled logs an event of a request that went well. Under load such lines are left out
// first, by the request's id, so that what is kept of a request is whole.
func InfoSampled(logger log.Logger, request, message string, keyValues ...any) {
	if sink := processSink.Load(); sink != nil && !sink.keeps(request) {
		return
	}
	Info(logger, message, keyValues...)
}
