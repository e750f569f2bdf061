package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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
	limits    string
	// binary picks what a process runs at its next start, nil for what this folder builds.
	binary func(name string) string
}

// given are the addresses that freeAddress has returned. The kernel may name a port again
// that a process of the fleet has not bound yet, or has not bound again after its kill.
var given sync.Map

// ownLoopback is a loopback address of this test process's own, so that no other process
// on the machine takes its ports meanwhile.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 2+pid&0xff%250)
}

// freeAddress returns an address that the kernel says is free, each only once.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", ownLoopback()+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// startPlatformFleet starts a fleet; limits are further lines of its processes' limits.
func startPlatformFleet(t *testing.T, limits ...string) *platformFleet {
	return startMixedFleet(t, nil, limits...)
}

// startMixedFleet starts a fleet whose processes run what binary says at each start.
func startMixedFleet(t *testing.T, binary func(name string) string, limits ...string) *platformFleet {
	f := &platformFleet{t: t, binary: binary, limits: strings.Join(limits, ""), folder: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}}
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
	f.engine = newEngineStand(t, "engine-1")
	return f
}

func (f *platformFleet) write(name, role string, zone int, inner string, seeds []string, listen string) {
	quoted, _ := json.Marshal(seeds)
	f.addresses["http-"+name] = freeAddress(f.t)
	text := fmt.Sprintf("role: %s\nname: %s\nzone: z%d\nregion: r\ninterface: platform\nlisten:\n  address: %s\n  http: %s\n%slimits:\n  memory_mb: 256\n  grace_s: 8\n%s"+
		"data:\n  path: %s\ncluster:\n  seeds: %s\n  bootstrap: true\n  tolerated_machines: 1\n  ledger_groups: 3\n",
		role, name, zone, inner, f.addresses["http-"+name], listen, f.limits, filepath.Join(f.folder, "data", name), quoted)
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
	binary := testBinary
	if f.binary != nil {
		binary = f.binary(name)
	}
	command := exec.Command(binary, role)
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

// requestNumber is that of the latest request.
var requestNumber atomic.Int64

// turn asks a gateway for a turn of a program and returns its request's id too.
func (f *platformFleet) turn(gateway, path, input string, headers map[string]string) (response, string) {
	f.t.Helper()
	id := fmt.Sprintf("req-%d", requestNumber.Add(1))
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
	id      string
	address string
	mutex   sync.Mutex
	// bodies are the request bodies by request id; runs counts them.
	bodies map[string]string
	runs   map[string]int
	// headers are those of the requests by request id.
	headers map[string]http.Header
	// hold stops streams after their first event until it is closed.
	hold chan struct{}
	// pause is how long the engine takes for each event.
	pause time.Duration
	// cancelled receives the ids of requests whose connection was closed.
	cancelled chan string
	// fault is how the engine fails requests of /unsafe/.
	fault string
}

func newEngineStand(t *testing.T, id string) *engineStand {
	stand := &engineStand{id: id, bodies: map[string]string{}, runs: map[string]int{}, headers: map[string]http.Header{}, cancelled: make(chan string, 16)}
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
	fault, hold, pause := e.fault, e.hold, e.pause
	if r.Header.Get("Expect-Instance") != e.id {
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
	e.headers[id] = r.Header.Clone()
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
		time.Sleep(pause)
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

func (e *engineStand) header(id string) http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.headers[id]
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
	return f.operate("POST", "/ochrebay/Instances.Heartbeat/"+id, registration(f.engine.address, state, sequence)).status
}

// registration is the body of an engine's heartbeat.
func registration(address, state string, sequence int) string {
	return fmt.Sprintf(`{"backend":"b","address":%q,"zone":"z0","generation":"v1","slots":9,"state":%q,"seq":%d}`, address, state, sequence)
}
