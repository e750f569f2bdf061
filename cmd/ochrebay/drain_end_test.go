package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStreamsBeyondTheDrain guards against streams that outlast the drain of their gateway and end
// without a log line that tells why, as complete or retained, or with a charge that is never settled.
func TestStreamsBeyondTheDrain(t *testing.T) {
	Convey("a gateway that stops ends the streams in progress and charges them", t, func() {
		f := startPlatformFleet(t)
		f.sendToControl("POST", "/ochrebay/Config.Replace", configuration(1))
		So(f.heartbeat(f.engine.id, "ready", 1), ShouldEqual, 200)
		reply, _ := f.turnWithRetries("gateway-0", "/stream/", "x", nil)
		So(reply.status, ShouldEqual, 200)
		f.engine.update(func(engine *fakeEngine) { engine.release = make(chan struct{}) })
		var mutex sync.Mutex
		replies := map[string]response{}
		var calling sync.WaitGroup
		for _, path := range []string{"/stream/", "/kept/"} {
			calling.Go(func() {
				reply, id := f.sendTurn("gateway-0", path, "x", map[string]string{"Program-Id": "program-of" + path, "Deadline-Ms": longDeadlineMs})
				mutex.Lock()
				defer mutex.Unlock()
				replies[id] = reply
			})
		}
		f.waitFor("both streams to begin", func() bool { return f.engine.requestCount() == 3 })
		process := f.process("gateway-0")
		So(process.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		calling.Wait()
		So(process.Wait(), ShouldBeNil)
		So(len(replies), ShouldEqual, 2)
		for id, reply := range replies {
			So(reply.isTruncated, ShouldBeTrue)
			So(strings.Count(reply.body, "data:"), ShouldBeLessThanOrEqualTo, 1)
			So(f.logOf("gateway-0"), ShouldContainSubstring, "msg=failed request="+id+" ")
			f.waitFor("the settlement of "+id, func() bool {
				for _, name := range numberedNames("ledger", testFleetSize.ledgers) {
					for _, line := range strings.Split(f.logOf(name), "\n") {
						if strings.Contains(line, `msg="turn settled"`) && strings.HasSuffix(line, " request="+id) {
							return strings.Contains(line, fmt.Sprintf(" used=%d keep=false ", eventTokens))
						}
					}
				}
				return false
			})
		}
		So(strings.Count(f.logOf("gateway-0"), "the gateway is stopping"), ShouldBeGreaterThanOrEqualTo, len(replies))
	})
}

// requestCount returns the number of requests that the engine has executed.
func (e *fakeEngine) requestCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

// logOf returns the log of a process.
func (f *platformFleet) logOf(name string) string {
	raw, err := os.ReadFile(filepath.Join(f.folder, name+".log"))
	if err != nil {
		f.t.Error(err)
	}
	return string(raw)
}
