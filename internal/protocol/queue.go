package protocol

import (
	"errors"
	"sync"
	"time"
)

const (
	sendQueueFrames = 4096
	// oneWayQueueBytes is how much may wait to be written before one-way messages are
	// dropped, and sendQueueBytes before the connection is ended: a peer that reads
	// slowly must not fill the sender's memory.
	oneWayQueueBytes = 1 << 20
	sendQueueBytes   = 4 << 20
)

// errQueueOverflow means that the connection must be ended: its peer doesn't read.
var errQueueOverflow = errors.New("protocol: the peer does not read")

type queued struct {
	frame Frame
	due   time.Time
}

// sendQueue holds the frames that wait to be written to a connection. An empty one holds
// no memory.
type sendQueue struct {
	// ready has a token while frames wait.
	ready chan struct{}

	mutex  sync.Mutex
	frames []queued
	// bytes is the size of the bodies that wait or are being written.
	bytes int
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

// put adds a frame and never blocks; it returns ErrQueueFull where a one-way message is
// dropped, and errQueueOverflow.
func (q *sendQueue) put(next queued) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	size := len(next.frame.Body)
	if next.frame.Call == 0 && q.bytes > 0 && q.bytes+size > oneWayQueueBytes {
		return ErrQueueFull
	}
	if q.bytes > sendQueueBytes || len(q.frames) >= sendQueueFrames {
		return errQueueOverflow
	}
	q.frames = append(q.frames, next)
	q.bytes += size
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return nil
}

// take returns all frames that wait, in order.
func (q *sendQueue) take() []queued {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

// written says that bodies of a size were written.
func (q *sendQueue) written(size int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bytes -= size
}
