package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEventLoop(t *testing.T) {
	Convey("senders of messages block while the loop is stalled, and all messages are processed in the end", t, func() {
		loop := NewEventLoop(time.Hour)
		loop.Tick = func() {}
		loop.Publish = func() {}
		loop.Flush = func() error { return nil }
		const messages = 64
		done := make(chan struct{}, messages)
		posted := make(chan struct{}, messages)
		for range messages {
			go func() {
				loop.PostMessage(maxQueuedBytes/4, func() { done <- struct{}{} })
				posted <- struct{}{}
			}()
		}
		// The loop is not running yet: only the messages within the bound have been queued.
		for range 4 {
			<-posted
		}
		So(len(loop.events), ShouldEqual, 4)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = loop.Run(ctx) }()
		for range messages {
			<-done
		}
		loop.PostMessage(3*maxQueuedBytes, func() { done <- struct{}{} })
		<-done
	})
}
