package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
)

// streamingFleet is a set of fake engines of one backend, each with a software version. The events
// of an engine name its version.
type streamingFleet struct {
	t       *testing.T
	fixture *gatewayFixture
	mutex   sync.Mutex
	// runs lists the engines that ran a request, in order.
	runs []string
	// beforeBreak, if set, is called before an engine breaks a stream off.
	beforeBreak func()
}

// versionedStreamEvents is the number of events of a complete stream of a streamingFleet.
const versionedStreamEvents = 6

// newStreamingFleet returns a gateway whose only engines are those added with addEngine.
func newStreamingFleet(t *testing.T) *streamingFleet {
	fleet := &streamingFleet{t: t, fixture: newGatewayFixture(t, func(w http.ResponseWriter, _ *http.Request) { respondNotRun(w) })}
	fleet.update(func(engines map[string]membership.ServingEngine) { delete(engines, "e") })
	return fleet
}

// update changes the engines that the gateway knows.
func (f *streamingFleet) update(change func(engines map[string]membership.ServingEngine)) {
	view := *f.fixture.gateway.view.Load().fleet
	change(view.Engines)
	f.fixture.gateway.engines.applyFleet(&view)
}

// addEngine adds an engine whose streams end with a reset connection after the given event, 0 for
// an engine whose streams are complete.
func (f *streamingFleet) addEngine(id, version string, breaksAfter int) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.mutex.Lock()
		f.runs = append(f.runs, id)
		f.mutex.Unlock()
		w.Header().Set("Ochrebay-Request", r.Header.Get("Ochrebay-Request"))
		w.Header().Set("Ochrebay-Signature", id)
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		if r.Header.Get("Last-Event-Id") != "" {
			first++
		}
		for number := first; number <= versionedStreamEvents; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", number, version, number)
			w.(http.Flusher).Flush()
			if number == breaksAfter {
				if f.beforeBreak != nil {
					f.beforeBreak()
				}
				panic(http.ErrAbortHandler)
			}
		}
	}))
	f.t.Cleanup(server.Close)
	f.update(func(engines map[string]membership.ServingEngine) {
		engines[id] = membership.ServingEngine{ID: id, Backend: "b", Zone: "near", Slots: 4, Address: server.Listener.Addr().String(), SoftwareVersion: version}
	})
}

// avoid makes engines suspect, so that all others are preferred.
func (f *streamingFleet) avoid(ids ...string) {
	registry := f.fixture.gateway.engines
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	const failuresForLongSuspicion = 8
	for _, id := range ids {
		for range failuresForLongSuspicion {
			registry.healthOf(id).RecordFailure(clock.NowMs())
		}
	}
}

// prefer ends the suspicion of an engine.
func (f *streamingFleet) prefer(id string) {
	registry := f.fixture.gateway.engines
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.healthOf(id).RecordSuccess()
}

// engineRuns returns the engines that ran a request, in order.
func (f *streamingFleet) engineRuns() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.runs...)
}

// TestStreamsResumeAtTheirSoftwareVersion guards against a broken stream that is resumed, within one
// response, at an engine of another software version than the one that sent its first event.
func TestStreamsResumeAtTheirSoftwareVersion(t *testing.T) {
	Convey("a stream that breaks off", t, func() {
		fleet := newStreamingFleet(t)
		fleet.addEngine("first", "v1", 2)
		fleet.addEngine("other-version", "v2", 0)
		Convey("is resumed at an engine of its version, even if another engine is preferred", func() {
			fleet.addEngine("same-version", "v1", 0)
			fleet.avoid("same-version", "other-version")
			fleet.beforeBreak = func() { fleet.prefer("other-version") }
			_, body, err := fleet.fixture.send("/resumable/", "r1", budgetHeaders...)
			So(err, ShouldBeNil)
			So(strings.Count(body, "data: v1/"), ShouldEqual, versionedStreamEvents)
			So(body, ShouldNotContainSubstring, "v2")
			So(fleet.engineRuns(), ShouldResemble, []string{"first", "same-version"})
		})
		Convey("ends with an error at once if no other engine runs its version", func() {
			fleet.avoid("other-version")
			_, body, err := fleet.fixture.send("/resumable/", "r1", budgetHeaders...)
			So(err, ShouldNotBeNil)
			So(body, ShouldNotContainSubstring, "v2")
			So(fleet.engineRuns(), ShouldResemble, []string{"first"})
			So(fleet.fixture.ledger.awaitSettle("r1").Settle.UsedTokens, ShouldEqual, 20)
		})
	})
	Convey("a stream that breaks off before its first event may begin at any version", t, func() {
		fleet := newStreamingFleet(t)
		fleet.addEngine("other-version", "v2", 0)
		fleet.update(func(engines map[string]membership.ServingEngine) {
			gone := engines["other-version"]
			gone.ID, gone.SoftwareVersion, gone.Address = "gone", "v1", "127.0.0.1:1"
			engines["gone"] = gone
		})
		fleet.avoid("other-version")
		_, body, err := fleet.fixture.send("/resumable/", "r1", budgetHeaders...)
		So(err, ShouldBeNil)
		So(strings.Count(body, "data: v2/"), ShouldEqual, versionedStreamEvents)
	})
}
