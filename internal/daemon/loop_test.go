package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLoop(t *testing.T) {
	Convey("messages wait with their senders while the loop is held up, and all are carried out in the end", t, func() {
		loop := NewEventLoop(time.Hour)
		loop.Tick = func() {}
		loop.Publish = func() {}
		loop.Flush = func() error { return nil }
		const messages = 64
		done := make(chan struct{}, messages)
		posted := make(chan struct{}, messages)
		for range messages {
			go func() {
				loop.PostMessage(queuedBytes/4, func() { done <- struct{}{} })
				posted <- struct{}{}
			}()
		}
		// The loop does not run yet: what has been posted fits the bound.
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
		loop.PostMessage(3*queuedBytes, func() { done <- struct{}{} })
		<-done
	})
}
