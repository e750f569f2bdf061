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
	// maxQueuedLines bounds the lines queued for writing, and maxBatchBytes the size at which a
	// batch takes no further lines.
	maxQueuedLines = 4096
	maxBatchBytes  = 32 << 10
	// sampleOneIn is the sampling rate for successful requests while the queue is at least half
	// full: the lines of one request in sampleOneIn are written. Requests are selected by id, and
	// so are the same in every process.
	sampleOneIn = 8
)

// LogSink writes log lines in the background. Callers never block: if the queue is full, a line is
// dropped and counted, and the count is logged when lines can be written again.
type LogSink struct {
	lines      chan []byte
	flush      chan chan struct{}
	dropped    atomic.Int64
	sampledOut atomic.Int64
	flushOnce  sync.Once
}

// NewLogSink returns a sink that writes to writer, which may be slow or blocked.
func NewLogSink(writer io.Writer) *LogSink {
	sink := &LogSink{lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
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

// Dropped returns the number of lines that were dropped because the queue was full.
func (s *LogSink) Dropped() int64 { return s.dropped.Load() }

// SampledOut returns the number of lines of successful requests that were left out by sampling
// and so never reached the queue.
func (s *LogSink) SampledOut() int64 { return s.sampledOut.Load() }

// Flush waits until all queued lines have been written; the writer must not be blocked.
func (s *LogSink) Flush() {
	done := make(chan struct{})
	s.flush <- done
	<-done
}

func (s *LogSink) run(writer io.Writer) {
	reportedDrops := int64(0)
	var batch []byte
	for {
		batch = batch[:0]
		var flushed chan struct{}
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		case flushed = <-s.flush:
		}
		batch = s.appendQueued(batch)
		if dropped := s.dropped.Load(); dropped != reportedDrops {
			batch = fmt.Appendf(batch, "level=warn msg=\"log lines dropped\" count=%d total=%d\n", dropped-reportedDrops, dropped)
			reportedDrops = dropped
		}
		_, _ = writer.Write(batch)
		if flushed != nil {
			for len(s.lines) > 0 {
				_, _ = writer.Write(s.appendQueued(nil))
			}
			close(flushed)
		}
	}
}

// appendQueued appends queued lines to batch until it has maxBatchBytes or the queue is empty.
func (s *LogSink) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// shouldLog reports whether the line of a successful request is to be written.
func (s *LogSink) shouldLog(request string) bool {
	if len(s.lines) < maxQueuedLines/2 || xxhash.Sum64String(request)%sampleOneIn == 0 {
		return true
	}
	s.sampledOut.Add(1)
	return false
}

// processLogSink is the sink of this process's log, nil before SetLogOutput.
var processLogSink atomic.Pointer[LogSink]

// SetLogOutput creates the sink of this process's log.
func SetLogOutput(writer io.Writer) *LogSink {
	sink := NewLogSink(writer)
	processLogSink.Store(sink)
	return sink
}

// FlushLog waits until this process's queued log lines have been written. Only the first call has
// an effect.
func FlushLog() {
	if sink := processLogSink.Load(); sink != nil {
		sink.flushOnce.Do(sink.Flush)
	}
}

// LostLogLines returns the numbers of lines of this process's log that were dropped and that were
// left out by sampling.
func LostLogLines() (dropped, sampledOut int64) {
	sink := processLogSink.Load()
	if sink == nil {
		return 0, 0
	}
	return sink.Dropped(), sink.SampledOut()
}

// InfoSampled logs an event of a successful request. Under load such lines are sampled before any
// other line is dropped, and by the request's id, so that the lines of a sampled request are
// complete.
func InfoSampled(logger log.Logger, request, message string, keyValues ...any) {
	if sink := processLogSink.Load(); sink != nil && !sink.shouldLog(request) {
		return
	}
	Info(logger, message, keyValues...)
}
