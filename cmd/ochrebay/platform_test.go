package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	standHost  = "h.example"
	eventCount = 5
	// eventTokens is how many tokens an event of the stand-in counts.
	eventTokens = 10
)

// platformFleet runs real control, ledger and gateway processes on the platform's
// interface, with a stand-in for its engines.
type platformFleet struct {
	t         *testing.T
	folder    string
	processes map[string]*exec.Cmd
	addresses map[string]string
	operators []string
	engine    *engineStand
}

// freeAddress returns a loopback address that the kernel says is free.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startPlatformFleet(t *testing.T) *platformFleet {
	f := &platformFleet{t: t, folder: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}}
	t.Cleanup(f.stop)
	var seeds []string
	for number := range 3 {
		inner := freeAddress(t)
		seeds = append(seeds, inner)
		f.addresses[fmt.Sprintf("control-%d", number)] = inner
	}
	for number := range 3 {
		name := fmt.Sprintf("control-%d", number)
		operators := freeAddress(t)
		f.operators = append(f.operators, operators)
		f.addresses["directory-"+fmt.Sprint(number)] = freeAddress(t)
		f.write(name, "control", number, f.addresses[name], seeds, fmt.Sprintf("  operators: %s\n  directory: %s\n", operators, f.addresses["directory-"+fmt.Sprint(number)]))
		name = fmt.Sprintf("ledger-%d", number)
		f.write(name, "ledger", number, freeAddress(t), seeds, "")
	}
	for number := range 2 {
		name := fmt.Sprintf("gateway-%d", number)
		f.addresses[name] = freeAddress(t)
		f.addresses["ready-"+name] = freeAddress(t)
		f.write(name, "gateway", number, freeAddress(t), seeds, fmt.Sprintf("  callers: %s\n  readiness: %s\n", f.addresses[name], f.addresses["ready-"+name]))
	}
	for _, name := range []string{"control-0", "control-1", "control-2", "ledger-0", "ledger-1", "ledger-2", "gateway-0", "gateway-1"} {
		f.start(name)
	}
	f.engine = newEngineStand(t)
	return f
}

func (f *platformFleet) write(name, role string, zone int, inner string, seeds []string, listen string) {
	quoted, _ := json.Marshal(seeds)
	text := fmt.Sprintf("role: %s\nname: %s\nzone: z%d\nregion: r\ninterface: platform\nlisten:\n  address: %s\n  http: %s\n%slimits:\n  memory_mb: 256\n  grace_s: 8\n"+
		"data:\n  path: %s\ncluster:\n  seeds: %s\n  bootstrap: true\n  tolerated_machines: 1\n  ledger_groups: 3\n",
		role, name, zone, inner, freeAddress(f.t), listen, filepath.Join(f.folder, "data", name), quoted)
	if err := os.WriteFile(filepath.Join(f.folder, name+".yaml"), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *platformFleet) start(name string) {
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	role, _, _ := strings.Cut(name, "-")
	command := exec.Command(testBinary, role)
	command.Env = append(os.Environ(), "OCHREBAY_CONFIG="+filepath.Join(f.folder, name+".yaml"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = command
}

// kill ends a process at once and waits until it is gone.
func (f *platformFleet) kill(name string) {
	_ = f.processes[name].Process.Kill()
	_ = f.processes[name].Wait()
	delete(f.processes, name)
}

func (f *platformFleet) stop() {
	for name := range f.processes {
		f.kill(name)
	}
	if !f.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.folder, "*.log"))
	for _, file := range logs {
		raw, _ := os.ReadFile(file)
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		f.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// until polls generously until a condition holds.
func (f *platformFleet) until(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("%s did not happen", what)
}

// response is an answer read to its end.
type response struct {
	status int
	header http.Header
	body   string
	// broken says that the answer ended before it was whole.
	broken bool
	// closes says that the server asked for a new connection next time.
	closes bool
}

func send(method, url, body string, headers map[string]string) (response, error) {
	return sendContext(context.Background(), method, url, body, headers)
}

func sendContext(ctx context.Context, method, url, body string, headers map[string]string) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if host := headers["Host"]; host != "" {
		request.Host = host
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	answer, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, string(raw), err != nil, answer.Close}, nil
}

// operate sends an order to any control process until it is taken or refused.
func (f *platformFleet) operate(method, path, body string) response {
	f.t.Helper()
	var last response
	f.until(method+" "+path, func() bool {
		for _, address := range f.operators {
			answer, err := send(method, "http://"+address+path, body, nil)
			if err == nil && answer.status < 500 {
				last = answer
				return true
			}
		}
		return false
	})
	return last
}

var requestNumber int

// turn asks a gateway for a turn of a program and returns its request's id too.
func (f *platformFleet) turn(gateway, path, input string, headers map[string]string) (response, string) {
	f.t.Helper()
	requestNumber++
	id := fmt.Sprintf("req-%d", requestNumber)
	all := map[string]string{
		"Host": standHost, "Request-Id": id, "Deadline-Ms": "20000", "Program-Id": "prog", "Session-Id": "s", "Token-Usage": "10,50", "Token-Budget": "10000",
	}
	for name, value := range headers {
		all[name] = value
	}
	answer, err := send("POST", "http://"+f.addresses[gateway]+path, input, all)
	if err != nil {
		return response{broken: true}, id
	}
	return answer, id
}

// settledTurn repeats a turn until it gets another answer than 503, as clients do.
func (f *platformFleet) settledTurn(gateway, path, input string, headers map[string]string) (answer response, id string) {
	f.t.Helper()
	f.until("an answer to a turn", func() bool {
		answer, id = f.turn(gateway, path, input, headers)
		return answer.status != 503 && !(answer.broken && answer.status == 0)
	})
	return answer, id
}

func configuration(generation int) string {
	route := func(name, prefix, kind, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":30000,"backend":"b","maxAttempts":1%s}`, name, standHost, prefix, kind, more)
	}
	return fmt.Sprintf(`{"generation":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"b","healthPath":"/health","maxConns":99,"engine":{"slots":9,"stride":%d}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"extra":{"kept":true}}`,
		generation, route("kept", "/kept/", "stream", `,"retain":true,"retentionS":60`), route("stream", "/stream/", "stream", ""),
		route("safe", "/safe/", "safe", ""), route("unsafe", "/unsafe/", "unsafe", ""), eventTokens)
}

// engineStand is an engine of the platform, written for these tests.
type engineStand struct {
	address string
	mutex   sync.Mutex
	// bodies are the request bodies by request id; runs counts them.
	bodies map[string]string
	runs   map[string]int
	// hold stops streams after their first event until it is closed.
	hold chan struct{}
	// cancelled receives the ids of requests whose connection was closed.
	cancelled chan string
	// fault is how the engine fails requests of /unsafe/.
	fault string
}

func newEngineStand(t *testing.T) *engineStand {
	stand := &engineStand{bodies: map[string]string{}, runs: map[string]int{}, cancelled: make(chan string, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stand.address = listener.Addr().String()
	server := &http.Server{Handler: stand}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return stand
}

func (e *engineStand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", id)
	e.mutex.Lock()
	fault, hold := e.fault, e.hold
	if r.Header.Get("Expect-Instance") != "engine-1" {
		e.mutex.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if fault == "full" && strings.HasPrefix(r.URL.Path, "/unsafe/") {
		e.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.bodies[id] = string(body)
	e.runs[id]++
	e.mutex.Unlock()
	if fault == "cut" && strings.HasPrefix(r.URL.Path, "/unsafe/") {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/kept/") {
		_, _ = io.WriteString(w, "answer to "+r.Method+" "+r.RequestURI+" "+string(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := 1; number <= eventCount; number++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", number, id, number)
		w.(http.Flusher).Flush()
		if hold == nil {
			continue
		}
		select {
		case <-hold:
		case <-r.Context().Done():
			e.cancelled <- id
			return
		}
	}
}

// set changes how the stand-in behaves.
func (e *engineStand) set(change func(*engineStand)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(e)
}

func (e *engineStand) body(id string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.bodies[id]
}

func (e *engineStand) ran(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

func output(id string) string {
	var text strings.Builder
	for number := 1; number <= eventCount; number++ {
		fmt.Fprintf(&text, "%s/%d\n", id, number)
	}
	return text.String()
}

func (f *platformFleet) heartbeat(id, state string, sequence int) int {
	body := fmt.Sprintf(`{"backend":"b","address":%q,"zone":"z0","generation":"v1","slots":9,"state":%q,"seq":%d}`, f.engine.address, state, sequence)
	return f.operate("POST", "/ochrebay/Instances.Heartbeat/"+id, body).status
}

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
			requestNumber++
			id := fmt.Sprintf("req-%d", requestNumber)
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
			go func() {
				answer, _ := f.turn("gateway-1", "/stream/", "x", map[string]string{"Program-Id": "stopped"})
				answers <- answer
			}()
			before := requestNumber
			f.until("the run", func() bool {
				return f.engine.ran(fmt.Sprintf("req-%d", requestNumber)) == 1 && requestNumber >= before
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
