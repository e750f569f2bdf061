package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/result"
)

// TestPlatform tests the platform's interface end to end with real processes.
func TestPlatform(t *testing.T) {
	f := startPlatformFleet(t)
	ready := func(name string) bool {
		reply, err := send("GET", "http://"+f.addresses["ready-"+name]+"/ochrebay/ready", "", nil)
		return err == nil && reply.status == 200
	}
	Convey("the platform's interface works end to end", t, func() {
		Convey("a configuration is accepted, read back unchanged and makes gateways ready", func() {
			So(ready("gateway-0"), ShouldBeFalse)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", `{"generation":1`).status, ShouldEqual, 400)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", configuration(4)).status, ShouldEqual, 200)
			other := strings.Replace(configuration(4), "/safe/", "/other/", 1)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", other).status, ShouldEqual, 200)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", configuration(3)).status, ShouldEqual, 200)
			So(f.sendToControl("GET", "/ochrebay/Config.Read", "").body, ShouldEqual, configuration(4))
			f.waitFor("the gateways to become ready", func() bool { return ready("gateway-0") && ready("gateway-1") })
			So(f.heartbeat("engine-1", "ready", 3), ShouldEqual, 200)
			So(f.heartbeat("engine-1", "draining", 2), ShouldEqual, 200)
			f.waitFor("both gateways in the directory", func() bool {
				reply, err := send("GET", "http://"+f.addresses["directory-1"]+"/ochrebay/resolve?name=h&region=r&zone=z0", "", nil)
				return err == nil && strings.Contains(reply.body, f.addresses["gateway-0"]) && strings.Contains(reply.body, f.addresses["gateway-1"])
			})
		})
		Convey("requests and responses are forwarded unchanged", func() {
			f.waitFor("the gateways to learn of the engine", func() bool {
				first, _ := f.sendTurn("gateway-0", "/safe/x", "", nil)
				second, _ := f.sendTurn("gateway-1", "/safe/x", "", nil)
				return first.status == 200 && second.status == 200
			})
			reply, id := f.sendTurn("gateway-0", "/unsafe/a%2Fb?c=d&e", "input", nil)
			So(reply.status, ShouldEqual, 200)
			So(reply.body, ShouldEqual, "answer to POST /unsafe/a%2Fb?c=d&e input")
			So(reply.header.Get("Response-Seal"), ShouldEqual, "seal-"+id)
		})
		Convey("invalid requests are rejected and not executed", func() {
			reply, _ := f.sendTurn("gateway-0", "/nowhere/", "", nil)
			So(reply.status, ShouldEqual, 404)
			reply, _ = f.sendTurn("gateway-0", "/safe/", "", map[string]string{"Host": "other.example"})
			So(reply.status, ShouldEqual, 404)
			reply, id := f.sendTurn("gateway-0", "/unsafe/", strings.Repeat("x", 100_001), nil)
			So(reply.status, ShouldEqual, 413)
			So(f.engine.runCount(id), ShouldEqual, 0)
			reply, _ = f.sendTurn("gateway-0", "/unsafe/", "", map[string]string{"Deadline-Ms": "soon"})
			So(reply.status, ShouldEqual, 400)
			reply, _ = f.sendTurn("gateway-0", "/safe/", "", map[string]string{"X": strings.Repeat("x", 40_000)})
			So(reply.status, ShouldEqual, 431)
			raw, err := net.Dial("tcp", f.addresses["gateway-0"])
			So(err, ShouldBeNil)
			defer raw.Close()
			_, _ = io.WriteString(raw, "POST /unsafe/ HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello")
			statusLine := make([]byte, 12)
			_, err = io.ReadFull(raw, statusLine)
			So(err, ShouldBeNil)
			So(string(statusLine), ShouldEqual, "HTTP/1.1 400")
		})
		Convey("the complete history of retained turns is sent to the engine, through any gateway", func() {
			first, firstID := f.turnWithRetries("gateway-0", "/kept/", "first", nil)
			So(first.status, ShouldEqual, 200)
			So(first.isTruncated, ShouldBeFalse)
			second, secondID := f.turnWithRetries("gateway-1", "/kept/", "second", map[string]string{"Previous-Turn": firstID})
			So(second.status, ShouldEqual, 200)
			So(f.engine.body(secondID), ShouldEqual, "first"+streamOutput(firstID)+"second")
			branch, branchID := f.turnWithRetries("gateway-0", "/kept/", "branch", map[string]string{"Previous-Turn": firstID, "Session-Id": "sub"})
			So(branch.status, ShouldEqual, 200)
			So(f.engine.body(branchID), ShouldEqual, "first"+streamOutput(firstID)+"branch")
			foreign, foreignID := f.turnWithRetries("gateway-1", "/kept/", "foreign", map[string]string{"Previous-Turn": secondID, "Program-Id": "another"})
			So(foreign.status, ShouldEqual, 200)
			So(f.engine.body(foreignID), ShouldEqual, "first"+streamOutput(firstID)+"second"+streamOutput(secondID)+"foreign")
			after, afterID := f.turnWithRetries("gateway-0", "/kept/", "after", map[string]string{"Previous-Turn": foreignID, "Program-Id": "another"})
			So(after.status, ShouldEqual, 200)
			So(f.engine.body(afterID), ShouldEqual, "first"+streamOutput(firstID)+"second"+streamOutput(secondID)+"foreign"+streamOutput(foreignID)+"after")
			unknown, _ := f.turnWithRetries("gateway-0", "/kept/", "x", map[string]string{"Previous-Turn": "no-such-turn"})
			So(unknown.status, ShouldEqual, 404)
		})
		Convey("a token budget is enforced across all gateways", func() {
			headers := map[string]string{"Program-Id": "spender", "Token-Budget": "120", "Token-Usage": "10,50"}
			served := 0
			for number := range 6 {
				reply, _ := f.turnWithRetries(fmt.Sprintf("gateway-%d", number%2), "/stream/", "x", headers)
				if reply.status == 200 {
					served++
					continue
				}
				So(reply.status, ShouldEqual, 402)
			}
			So(served, ShouldEqual, 2)
		})
		Convey("a caller that disconnects cancels the request at the engine", func() {
			release := make(chan struct{})
			f.engine.update(func(e *fakeEngine) { e.release = release })
			ctx, cancel := context.WithCancel(context.Background())
			id := fmt.Sprintf("req-%d", requestNumber.Add(1))
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = sendContext(ctx, "POST", "http://"+f.addresses["gateway-0"]+"/stream/", "x",
					map[string]string{"Host": testHost, "Request-Id": id, "Deadline-Ms": "20000"})
			}()
			f.waitFor("the engine to run the request", func() bool { return f.engine.runCount(id) == 1 })
			cancel()
			<-done
			select {
			case cancelledID := <-f.engine.cancelled:
				So(cancelledID, ShouldEqual, id)
			case <-time.After(waitTimeout):
				So("the request was not cancelled at the engine", ShouldBeEmpty)
			}
			f.engine.update(func(e *fakeEngine) { e.release = nil })
		})
		Convey("a request that may have run is reported as 502, and one that the engine rejected as 503", func() {
			f.engine.update(func(e *fakeEngine) { e.fault = "cut" })
			reply, id := f.sendTurn("gateway-0", "/unsafe/", "x", nil)
			So(reply.status, ShouldEqual, 502)
			So(f.engine.runCount(id), ShouldEqual, 1)
			f.engine.update(func(e *fakeEngine) { e.fault = "full" })
			reply, id = f.sendTurn("gateway-0", "/unsafe/", "x", map[string]string{"Deadline-Ms": "400"})
			So(reply.status, ShouldEqual, 503)
			So(reply.header.Get("Retry-After"), ShouldNotBeBlank)
			So(f.engine.runCount(id), ShouldEqual, 0)
			f.engine.update(func(e *fakeEngine) { e.fault = "" })
		})
		Convey("retained turns and budgets survive killing each ledger host one after the other", func() {
			first, previous := f.turnWithRetries("gateway-0", "/kept/", "a", map[string]string{"Program-Id": "survivor"})
			So(first.status, ShouldEqual, 200)
			expected := "a" + streamOutput(previous)
			for number := range 3 {
				name := fmt.Sprintf("ledger-%d", number)
				f.kill(name)
				input := fmt.Sprintf("<%d>", number)
				reply, id := f.turnWithRetries("gateway-1", "/kept/", input, map[string]string{"Program-Id": "survivor", "Previous-Turn": previous})
				So(reply.status, ShouldEqual, 200)
				So(f.engine.body(id), ShouldEqual, expected+input)
				expected += input + streamOutput(id)
				previous = id
				f.start(name)
			}
			spent, _ := f.turnWithRetries("gateway-0", "/stream/", "x", map[string]string{"Program-Id": "spender", "Token-Budget": "120"})
			So(spent.status, ShouldEqual, 402)
		})
		Convey("a stopped gateway leaves the directory and completes its open responses before it exits", func() {
			release := make(chan struct{})
			f.engine.update(func(e *fakeEngine) { e.release = release })
			replies := make(chan response, 1)
			blockedID := fmt.Sprintf("req-%d", requestNumber.Load()+1)
			go func() {
				reply, _ := f.sendTurn("gateway-1", "/stream/", "x", map[string]string{"Program-Id": "stopped"})
				replies <- reply
			}()
			f.waitFor("the engine to run the request", func() bool {
				return f.engine.runCount(blockedID) == 1
			})
			So(f.processes["gateway-1"].Process.Signal(syscall.SIGTERM), ShouldBeNil)
			f.waitFor("the gateway to become unready", func() bool { return !ready("gateway-1") })
			f.waitFor("the gateway to leave the directory", func() bool {
				reply, err := send("GET", "http://"+f.addresses["directory-2"]+"/ochrebay/resolve?name=h&region=r&zone=z1", "", nil)
				return err == nil && reply.status == 200 && !strings.Contains(reply.body, f.addresses["gateway-1"])
			})
			// A request that will have ended before the gateway stops is served, and no other one is sent on.
			lateReply, _ := f.sendTurn("gateway-1", "/safe/late", "", map[string]string{"Deadline-Ms": "2000"})
			So(lateReply.status, ShouldEqual, 200)
			So(lateReply.closesConnection, ShouldBeTrue)
			longReply, longID := f.sendTurn("gateway-1", "/safe/late", "", map[string]string{"Deadline-Ms": "20000"})
			So(longReply.status, ShouldEqual, 503)
			So(longReply.body, ShouldContainSubstring, fmt.Sprintf(`"code":%d`, result.Draining))
			So(longReply.closesConnection, ShouldBeTrue)
			So(f.engine.runCount(longID), ShouldEqual, 0)
			close(release)
			reply := <-replies
			So(reply.status, ShouldEqual, 200)
			So(reply.isTruncated, ShouldBeFalse)
			So(strings.Count(reply.body, "data:"), ShouldEqual, eventCount)
			So(f.processes["gateway-1"].Wait(), ShouldBeNil)
			delete(f.processes, "gateway-1")
			f.engine.update(func(e *fakeEngine) { e.release = nil })
		})
		Convey("an engine that drains or has left gets no more requests", func() {
			So(f.heartbeat("engine-1", "draining", 9), ShouldEqual, 200)
			f.waitFor("requests to be rejected", func() bool {
				reply, _ := f.sendTurn("gateway-0", "/safe/x", "", map[string]string{"Deadline-Ms": "100"})
				return reply.status == 503
			})
			So(f.sendToControl("POST", "/ochrebay/Instances.Leave/engine-1", "").status, ShouldEqual, 200)
			So(f.heartbeat("engine-1", "ready", 20), ShouldEqual, 200)
			reply, _ := f.sendTurn("gateway-0", "/safe/x", "", map[string]string{"Deadline-Ms": "100"})
			So(reply.status, ShouldEqual, 503)
		})
		Convey("the configuration and the service recover after all processes were killed at the same time", func() {
			for name := range f.processes {
				f.kill(name)
			}
			for _, name := range []string{"control-0", "control-1", "control-2", "ledger-0", "ledger-1", "ledger-2", "gateway-0"} {
				f.start(name)
			}
			So(f.sendToControl("GET", "/ochrebay/Config.Read", "").body, ShouldEqual, configuration(4))
			f.waitFor("the gateways to become ready", func() bool { return ready("gateway-0") })
			So(f.sendToControl("POST", "/ochrebay/Retire.Start/nobody", `{"durationS":1}`).status, ShouldEqual, 404)
			f.waitFor("the rejection of a retirement that would leave too few ledger hosts", func() bool {
				return f.sendToControl("POST", "/ochrebay/Retire.Start/ledger-0", `{"durationS":1}`).status == 409
			})
		})
	})
}

// TestPlatformSettings checks that an invalid settings file yields one error line and exit
// status 2.
func TestPlatformSettings(t *testing.T) {
	Convey("a gateway or ledger host without a required setting does not start", t, func() {
		for text, expected := range map[string]string{
			"role: gateway\nname: g\nzone: z\ncluster: {seeds: ['127.0.0.1:1']}\n":                                         "listen.callers",
			"role: gateway\nname: g\nzone: z\nlisten: {callers: '127.0.0.1:0'}\n":                                          "cluster.seeds",
			"role: ledger\nname: l\nzone: z\ncluster: {seeds: ['127.0.0.1:1']}\n":                                          "data.path",
			"role: ledger\nname: l\nzone: z\ncluster: {seeds: ['host:1']}\ndata: {path: /x}\n":                             "seeds[0]",
			"role: gateway\nname: g\nzone: z\nlisten: {callers: '127.0.0.1:0'}\ncluster: {seeds: ['127.0.0.1:1']}\nx: 1\n": "x",
		} {
			file := filepath.Join(t.TempDir(), "bad.yaml")
			So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
			role, _, _ := strings.Cut(strings.TrimPrefix(text, "role: "), "\n")
			command := exec.Command(testBinary, role, "--config.file", file)
			var printed bytes.Buffer
			command.Stdout, command.Stderr = &printed, &printed
			So(command.Run(), ShouldNotBeNil)
			So(command.ProcessState.ExitCode(), ShouldEqual, 2)
			So(printed.String(), ShouldContainSubstring, file)
			So(printed.String(), ShouldContainSubstring, expected)
			So(strconv.Itoa(strings.Count(strings.TrimSpace(printed.String()), "\n")), ShouldEqual, "0")
		}
	})
}
