package protocol

import (
	"errors"
	"sync"
	"time"
)

const (
	sendQueueFrames = 4096
	// oneWayQueueBytes is the queue size from which on one-way messages are dropped, and
	// sendQueueBytes the size from which on the connection is closed: a peer that reads slowly
	// must not exhaust the sender's memory.
	oneWayQueueBytes = 1 << 20
	sendQueueBytes   = 4 << 20
)

// errQueueOverflow means that the connection must be closed because its peer doesn't read.
var errQueueOverflow = errors.New("protocol: send queue overflow because the peer does not read")

// queuedFrame is a frame that is to be written at dueAt.
type queuedFrame struct {
	frame Frame
	dueAt time.Time
}

// sendQueue holds the frames to be written to a connection. An empty queue retains no memory
// for frames.
type sendQueue struct {
	// ready holds a token while frames are queued.
	ready chan struct{}

	mutex  sync.Mutex
	frames []queuedFrame
	// bodyBytes is the total size of the bodies that are queued or being written.
	bodyBytes int
}

func newSendQueue() *sendQueue { return &sendQueue{ready: make(chan struct{}, 1)} }

// put adds a frame without blocking. It returns ErrQueueFull if a one-way message was dropped,
// and errQueueOverflow if the connection must be closed.
func (q *sendQueue) put(next queuedFrame) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	size := len(next.frame.Body)
	if next.frame.Call == 0 && q.bodyBytes > 0 && q.bodyBytes+size > oneWayQueueBytes {
		return ErrQueueFull
	}
	if q.bodyBytes > sendQueueBytes || len(q.frames) >= sendQueueFrames {
		return errQueueOverflow
	}
	q.frames = append(q.frames, next)
	q.bodyBytes += size
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return nil
}

// takeAll removes and returns all queued frames, in order.
func (q *sendQueue) takeAll() []queuedFrame {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	frames := q.frames
	q.frames = nil
	return frames
}

// recordWritten subtracts bodies of the given total size that were written.
func (q *sendQueue) recordWritten(size int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bodyBytes -= size
}
