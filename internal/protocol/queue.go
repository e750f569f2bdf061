package protocol

import (
	"errors"
	"sync"
	"time"
)

const (
	maxSendQueueFrames = 4096
	// maxOneWayQueueBytes is the queue size beyond which one-way messages are dropped. Beyond
	// MaxSendQueueBytes, or at maxSendQueueFrames frames, the connection is closed: a peer that
	// reads slowly must not exhaust the sender's memory.
	maxOneWayQueueBytes = 1 << 20
	MaxSendQueueBytes   = 4 << 20
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
	if next.frame.Call == 0 && q.bodyBytes > 0 && q.bodyBytes+size > maxOneWayQueueBytes {
		return ErrQueueFull
	}
	if q.bodyBytes > MaxSendQueueBytes || len(q.frames) >= maxSendQueueFrames {
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
