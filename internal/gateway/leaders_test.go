package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLeaders checks that requests waiting for a leader share one search. Separate searches of all
// waiting requests have reached 5,000 probes per second, which kept the probed hosts from electing
// a leader.
func TestLeaders(t *testing.T) {
	Convey("concurrent requests share one search, which follows hints", t, func() {
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
		Convey("an invalidated leader is searched for again unless it was replaced in the meantime", func() {
			leaders.set(1, "new")
			leaders.invalidate(1, "spare")
			So(leaders.find(context.Background(), 1), ShouldEqual, "new")
			leaders.invalidate(1, "new")
			So(leaders.find(context.Background(), 1), ShouldEqual, "spare")
		})
	})
	Convey("if the members only name each other as the leader, none is found and the wait ends with the context", t, func() {
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
