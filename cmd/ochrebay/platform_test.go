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
)

// TestPlatform drives the whole path over real processes.
func TestPlatform(t *testing.T) {
	f := startPlatformFleet(t)
	ready := func(name string) bool {
		answer, err := send("GET", "http://"+f.addresses["ready-"+name]+"/ochrebay/ready", "", nil)
		return err == nil && answer.status == 200
	}
	Convey("the platform's whole path", t, func() {
		Convey("configuration", func() {
			So(ready("gateway-0"), ShouldBeFalse)
			So(f.operate("POST", "/ochrebay/Config.Replace", `{"generation":1`).status, ShouldEqual, 400)
			So(f.operate("POST", "/ochrebay/Config.Replace", configuration(4)).status, ShouldEqual, 200)
			other := strings.Replace(configuration(4), "/safe/", "/other/", 1)
			So(f.operate("POST", "/ochrebay/Config.Replace", other).status, ShouldEqual, 200)
			So(f.operate("POST", "/ochrebay/Config.Replace", configuration(3)).status, ShouldEqual, 200)
			So(f.operate("GET", "/ochrebay/Config.Read", "").body, ShouldEqual, configuration(4))
			f.until("readiness", func() bool { return ready("gateway-0") && ready("gateway-1") })
			So(f.heartbeat("engine-1", "ready", 3), ShouldEqual, 200)
			So(f.heartbeat("engine-1", "draining", 2), ShouldEqual, 200)
			f.until("both gateways in the directory", func() bool {
				answer, err := send("GET", "http://"+f.addresses["directory-1"]+"/ochrebay/resolve?name=h&region=r&zone=z0", "", nil)
				return err == nil && strings.Contains(answer.body, f.addresses["gateway-0"]) && strings.Contains(answer.body, f.addresses["gateway-1"])
			})
		})
		Convey("plain requests pass unchanged", func() {
			f.until("the engine's registration at the gateways", func() bool {
				first, _ := f.turn("gateway-0", "/safe/x", "", nil)
				second, _ := f.turn("gateway-1", "/safe/x", "", nil)
				return first.status == 200 && second.status == 200
			})
			answer, id := f.turn("gateway-0", "/unsafe/a%2Fb?c=d&e", "input", nil)
			So(answer.status, ShouldEqual, 200)
			So(answer.body, ShouldEqual, "answer to POST /unsafe/a%2Fb?c=d&e input")
			So(answer.header.Get("Response-Seal"), ShouldEqual, "seal-"+id)
		})
		Convey("bad input is refused and runs nowhere", func() {
			answer, _ := f.turn("gateway-0", "/nowhere/", "", nil)
			So(answer.status, ShouldEqual, 404)
			answer, _ = f.turn("gateway-0", "/safe/", "", map[string]string{"Host": "other.example"})
			So(answer.status, ShouldEqual, 404)
			answer, id := f.turn("gateway-0", "/unsafe/", strings.Repeat("x", 100_001), nil)
			So(answer.status, ShouldEqual, 413)
			So(f.engine.ran(id), ShouldEqual, 0)
			answer, _ = f.turn("gateway-0", "/unsafe/", "", map[string]string{"Deadline-Ms": "soon"})
			So(answer.status, ShouldEqual, 400)
			answer, _ = f.turn("gateway-0", "/safe/", "", map[string]string{"X": strings.Repeat("x", 40_000)})
			So(answer.status, ShouldEqual, 431)
			raw, err := net.Dial("tcp", f.addresses["gateway-0"])
			So(err, ShouldBeNil)
			defer raw.Close()
			_, _ = io.WriteString(raw, "POST /unsafe/ HTTP/1.1\r\nHost: "+standHost+"\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nhello")
			reply := make([]byte, 12)
			_, err = io.ReadFull(raw, reply)
			So(err, ShouldBeNil)
			So(string(reply), ShouldEqual, "HTTP/1.1 400")
		})
		Convey("a line of kept turns reaches the engine whole, through any gateway", func() {
			first, one := f.settledTurn("gateway-0", "/kept/", "first", nil)
			So(first.status, ShouldEqual, 200)
			So(first.broken, ShouldBeFalse)
			second, two := f.settledTurn("gateway-1", "/kept/", "second", map[string]string{"Previous-Turn": one})
			So(second.status, ShouldEqual, 200)
			So(f.engine.body(two), ShouldEqual, "first"+output(one)+"second")
			branch, three := f.settledTurn("gateway-0", "/kept/", "branch", map[string]string{"Previous-Turn": one, "Session-Id": "sub"})
			So(branch.status, ShouldEqual, 200)
			So(f.engine.body(three), ShouldEqual, "first"+output(one)+"branch")
			foreign, four := f.settledTurn("gateway-1", "/kept/", "foreign", map[string]string{"Previous-Turn": two, "Program-Id": "another"})
			So(foreign.status, ShouldEqual, 200)
			So(f.engine.body(four), ShouldEqual, "first"+output(one)+"second"+output(two)+"foreign")
			after, five := f.settledTurn("gateway-0", "/kept/", "after", map[string]string{"Previous-Turn": four, "Program-Id": "another"})
			So(after.status, ShouldEqual, 200)
			So(f.engine.body(five), ShouldEqual, "first"+output(one)+"second"+output(two)+"foreign"+output(four)+"after")
			unknown, _ := f.settledTurn("gateway-0", "/kept/", "x", map[string]string{"Previous-Turn": "no-such-turn"})
			So(unknown.status, ShouldEqual, 404)
		})
		Convey("a budget holds through all gateways", func() {
			headers := map[string]string{"Program-Id": "spender", "Token-Budget": "120", "Token-Usage": "10,50"}
			served := 0
			for number := range 6 {
				answer, _ := f.settledTurn(fmt.Sprintf("gateway-%d", number%2), "/stream/", "x", headers)
				if answer.status == 200 {
					served++
					continue
				}
				So(answer.status, ShouldEqual, 402)
			}
			So(served, ShouldEqual, 2)
		})
		Convey("a caller that leaves stops its engine", func() {
			hold := make(chan struct{})
			f.engine.set(func(e *engineStand) { e.hold = hold })
			ctx, cancel := context.WithCancel(context.Background())
			id := fmt.Sprintf("req-%d", requestNumber.Add(1))
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = sendContext(ctx, "POST", "http://"+f.addresses["gateway-0"]+"/stream/", "x",
					map[string]string{"Host": standHost, "Request-Id": id, "Deadline-Ms": "20000"})
			}()
			f.until("the run", func() bool { return f.engine.ran(id) == 1 })
			cancel()
			<-done
			select {
			case left := <-f.engine.cancelled:
				So(left, ShouldEqual, id)
			case <-time.After(patience):
				So("the engine was not told", ShouldBeEmpty)
			}
			f.engine.set(func(e *engineStand) { e.hold = nil })
		})
		Convey("what may have run is not called not run, and what was turned away is", func() {
			f.engine.set(func(e *engineStand) { e.fault = "cut" })
			answer, id := f.turn("gateway-0", "/unsafe/", "x", nil)
			So(answer.status, ShouldEqual, 502)
			So(f.engine.ran(id), ShouldEqual, 1)
			f.engine.set(func(e *engineStand) { e.fault = "full" })
			answer, id = f.turn("gateway-0", "/unsafe/", "x", map[string]string{"Deadline-Ms": "400"})
			So(answer.status, ShouldEqual, 503)
			So(answer.header.Get("Retry-After"), ShouldNotBeBlank)
			So(f.engine.ran(id), ShouldEqual, 0)
			f.engine.set(func(e *engineStand) { e.fault = "" })
		})
		Convey("kept turns and budgets survive the kill of every ledger host in turn", func() {
			first, previous := f.settledTurn("gateway-0", "/kept/", "a", map[string]string{"Program-Id": "survivor"})
			So(first.status, ShouldEqual, 200)
			expected := "a" + output(previous)
			for number := range 3 {
				name := fmt.Sprintf("ledger-%d", number)
				f.kill(name)
				input := fmt.Sprintf("<%d>", number)
				answer, id := f.settledTurn("gateway-1", "/kept/", input, map[string]string{"Program-Id": "survivor", "Previous-Turn": previous})
				So(answer.status, ShouldEqual, 200)
				So(f.engine.body(id), ShouldEqual, expected+input)
				expected += input + output(id)
				previous = id
				f.start(name)
			}
			spent, _ := f.settledTurn("gateway-0", "/stream/", "x", map[string]string{"Program-Id": "spender", "Token-Budget": "120"})
			So(spent.status, ShouldEqual, 402)
		})
		Convey("a gateway that is stopped in mid answer ends it first and leaves the directory", func() {
			hold := make(chan struct{})
			f.engine.set(func(e *engineStand) { e.hold = hold })
			answers := make(chan response, 1)
			held := fmt.Sprintf("req-%d", requestNumber.Load()+1)
			go func() {
				answer, _ := f.turn("gateway-1", "/stream/", "x", map[string]string{"Program-Id": "stopped"})
				answers <- answer
			}()
			f.until("the run", func() bool {
				return f.engine.ran(held) == 1
			})
			So(f.processes["gateway-1"].Process.Signal(syscall.SIGTERM), ShouldBeNil)
			f.until("unreadiness", func() bool { return !ready("gateway-1") })
			f.until("leaving the directory", func() bool {
				answer, err := send("GET", "http://"+f.addresses["directory-2"]+"/ochrebay/resolve?name=h&region=r&zone=z1", "", nil)
				return err == nil && answer.status == 200 && !strings.Contains(answer.body, f.addresses["gateway-1"])
			})
			late, _ := f.turn("gateway-1", "/safe/late", "", nil)
			So(late.status, ShouldEqual, 200)
			So(late.closes, ShouldBeTrue)
			close(hold)
			answer := <-answers
			So(answer.status, ShouldEqual, 200)
			So(answer.broken, ShouldBeFalse)
			So(strings.Count(answer.body, "data:"), ShouldEqual, eventCount)
			So(f.processes["gateway-1"].Wait(), ShouldBeNil)
			delete(f.processes, "gateway-1")
			f.engine.set(func(e *engineStand) { e.hold = nil })
		})
		Convey("an engine that drains or leaves gets nothing more", func() {
			So(f.heartbeat("engine-1", "draining", 9), ShouldEqual, 200)
			f.until("refusals", func() bool {
				answer, _ := f.turn("gateway-0", "/safe/x", "", map[string]string{"Deadline-Ms": "100"})
				return answer.status == 503
			})
			So(f.operate("POST", "/ochrebay/Instances.Leave/engine-1", "").status, ShouldEqual, 200)
			So(f.heartbeat("engine-1", "ready", 20), ShouldEqual, 200)
			answer, _ := f.turn("gateway-0", "/safe/x", "", map[string]string{"Deadline-Ms": "100"})
			So(answer.status, ShouldEqual, 503)
		})
		Convey("all of it comes back after everything was killed at once", func() {
			for name := range f.processes {
				f.kill(name)
			}
			for _, name := range []string{"control-0", "control-1", "control-2", "ledger-0", "ledger-1", "ledger-2", "gateway-0"} {
				f.start(name)
			}
			So(f.operate("GET", "/ochrebay/Config.Read", "").body, ShouldEqual, configuration(4))
			f.until("readiness", func() bool { return ready("gateway-0") })
			So(f.operate("POST", "/ochrebay/Retire.Start/nobody", `{"durationS":1}`).status, ShouldEqual, 404)
			f.until("a refusal of what too few would be left for", func() bool {
				return f.operate("POST", "/ochrebay/Retire.Start/ledger-0", `{"durationS":1}`).status == 409
			})
		})
	})
}

// TestPlatformSettings holds that a faulty settings file is told in one line, with
// exit status 2.
func TestPlatformSettings(t *testing.T) {
	Convey("a gateway or ledger without what it needs does not start", t, func() {
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
