// Package daemon is the shell that ochrebay's processes share: the one goroutine
// that owns a core, the links to other processes, the search for control's leader,
// and a stop that drains first.
package daemon

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/semaphore"
)

const (
	queuedEvents   = 8192
	eventsPerFlush = 512
	// queuedBytes bounds the size of the messages that wait for the loop, as while a
	// disk is slow: what is beyond stays with its senders.
	queuedBytes = 8 << 20
)

// EventLoop is the one goroutine that owns a core: it carries out what is posted to it,
// ticks, and flushes after each batch of events, so that one sync serves them all.
type EventLoop struct {
	// TickInterval is the time between ticks.
	TickInterval time.Duration
	// Tick advances the core's clock.
	Tick func()
	// Flush carries out what the core has ready; an error ends the loop.
	Flush func() error
	// Publish is called after each flush, for snapshots that others read.
	Publish func()

	events chan func()
	room   *semaphore.Weighted
}

// NewEventLoop returns a loop that is not running yet.
func NewEventLoop(every time.Duration) *EventLoop {
	return &EventLoop{TickInterval: every, events: make(chan func(), queuedEvents), room: semaphore.NewWeighted(queuedBytes)}
}

// Post hands an event to the loop; it blocks while the queue is full.
func (l *EventLoop) Post(event func()) { l.events <- event }

// PostMessage hands a message of the given size to the loop; it blocks while the queue
// is full, by number or by size.
func (l *EventLoop) PostMessage(size int, event func()) {
	weight := int64(min(size, queuedBytes))
	if err := l.room.Acquire(context.Background(), weight); err != nil {
		return // The context never ends.
	}
	l.Post(func() {
		l.room.Release(weight)
		event()
	})
}

// Run carries out events until ctx ends or a flush fails.
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
			l.takeWaiting()
		}
		if err := l.Flush(); err != nil {
			return errorx.Decorate(err, "carrying out what the core has ready")
		}
		l.Publish()
	}
}

// takeWaiting takes the events that have gathered meanwhile.
func (l *EventLoop) takeWaiting() {
	for range eventsPerFlush {
		select {
		case event := <-l.events:
			event()
		default:
			return
		}
	}
}
