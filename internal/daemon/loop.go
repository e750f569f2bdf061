// Package daemon has the parts that ochrebay's processes share: the event loop that owns a core
// (the state of a process, which has no goroutines, clocks or sockets of its own), connections to
// other processes, discovery of the control leader, and graceful shutdown.
package daemon

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/semaphore"
)

const (
	maxQueuedEvents   = 8192
	maxEventsPerFlush = 512
	// maxQueuedBytes bounds the total size of the messages queued for the loop, for example
	// while a disk is slow. Senders of further messages block.
	maxQueuedBytes = 8 << 20
)

// EventLoop is the single goroutine that owns a core. It runs posted events and ticks, and
// flushes once after each batch of events, so that one disk sync covers the whole batch.
type EventLoop struct {
	// TickInterval is the interval between calls of Tick.
	TickInterval time.Duration
	// Tick advances the core's clock.
	Tick func()
	// Flush performs the core's pending output, such as writes and messages; an error ends
	// the loop.
	Flush func() error
	// Publish is called after each flush, to publish snapshots for other goroutines.
	Publish func()

	events        chan func()
	queueCapacity *semaphore.Weighted
}

// NewEventLoop returns a loop with the given interval between ticks; Run starts it.
func NewEventLoop(tickInterval time.Duration) *EventLoop {
	return &EventLoop{TickInterval: tickInterval, events: make(chan func(), maxQueuedEvents), queueCapacity: semaphore.NewWeighted(maxQueuedBytes)}
}

// Post queues an event for the loop. It blocks while the queue is full.
func (l *EventLoop) Post(event func()) { l.events <- event }

// PostMessage queues the event of a message of the given size in bytes. It blocks while the
// queue is full by number of events or by total size.
func (l *EventLoop) PostMessage(size int, event func()) {
	weight := int64(min(size, maxQueuedBytes))
	if err := l.queueCapacity.Acquire(context.Background(), weight); err != nil {
		return // Unreachable: the context is never cancelled.
	}
	l.Post(func() {
		l.queueCapacity.Release(weight)
		event()
	})
}

// Run runs events and ticks until ctx is cancelled or a flush fails.
func (l *EventLoop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.Tick()
		case event := <-l.events:
			event()
			l.runQueuedEvents()
		}
		if err := l.Flush(); err != nil {
			return errorx.Decorate(err, "flushing the core's output")
		}
		l.Publish()
	}
}

// runQueuedEvents runs up to maxEventsPerFlush events that are already queued.
func (l *EventLoop) runQueuedEvents() {
	for range maxEventsPerFlush {
		select {
		case event := <-l.events:
			event()
		default:
			return
		}
	}
}
