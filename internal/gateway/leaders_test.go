package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLeaders holds that requests which wait for a leader share one search. On the grown
// court's trouble-1 every waiting request asked by itself, 5,000 times a second, and the
// hosts that were asked could not elect anybody.
func TestLeaders(t *testing.T) {
	Convey("many requests wait for one search, which follows hints", t, func() {
		var probes atomic.Int64
		release := make(chan struct{})
		leaders := newLeaderCache(func(uint32) []string { return []string{"a", "b", "c"} }, func(_ context.Context, member string, _ uint32) (bool, string) {
			<-release
			probes.Add(1)
			return member == "spare", "spare"
		})
		var callers sync.WaitGroup
		found := make(chan string, 100)
		for range 100 {
			callers.Go(func() { found <- leaders.find(context.Background(), 1) })
		}
		close(release)
		callers.Wait()
		for range 100 {
			So(<-found, ShouldEqual, "spare")
		}
		So(probes.Load(), ShouldEqual, 2)
		So(leaders.find(context.Background(), 1), ShouldEqual, "spare")
		Convey("a leader that is lost is searched for again, but not one that was replaced meanwhile", func() {
			leaders.set(1, "new")
			leaders.invalidate(1, "spare")
			So(leaders.find(context.Background(), 1), ShouldEqual, "new")
			leaders.invalidate(1, "new")
			So(leaders.find(context.Background(), 1), ShouldEqual, "spare")
		})
	})
	Convey("members that take each other for the leader are each asked once a round, until the waiting ends", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		var probes atomic.Int64
		leaders := newLeaderCache(func(uint32) []string { return []string{"a", "b"} }, func(_ context.Context, member string, _ uint32) (bool, string) {
			if probes.Add(1) == 4 {
				cancel()
			}
			return false, map[string]string{"a": "b", "b": "a"}[member]
		})
		So(leaders.find(ctx, 1), ShouldBeBlank)
	})
}
