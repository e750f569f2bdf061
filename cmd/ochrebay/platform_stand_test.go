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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	testHost   = "h.example"
	eventCount = 5
	// eventTokens is the number of tokens per event of the fake engine.
	eventTokens = 10
)

// platformFleet runs real control, ledger and gateway processes with the platform's interface
// and a fake engine.
type platformFleet struct {
	t      *testing.T
	folder string
	// mutex guards processes, which a test may start and stop concurrently.
	mutex     sync.Mutex
	processes map[string]*exec.Cmd
	addresses map[string]string
	operators []string
	engine    *fakeEngine
	limits    string
	// binary returns the binary that a process runs at its next start; nil for testBinary always.
	binary func(name string) string
	// memoryMB is the memory limit of each process, MiB.
	memoryMB int
	// descriptorLimit is the limit on the descriptors of each process, 0 for that of the test.
	descriptorLimit int
}

// assignedAddresses are the addresses that freeAddress has returned. Without them, the kernel might
// choose the port of a process that has not bound it yet, or that was killed and has not bound it
// again.
var assignedAddresses sync.Map

// processLoopback returns a loopback address derived from the ID of this test process, so that
// other processes on the machine don't bind the chosen ports in the meantime.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 2+pid&0xff%250)
}

// freeAddress returns an unused address chosen by the kernel. It returns no address twice.
func freeAddress(t *testing.T) string {
	for {
		listener, err := net.Listen("tcp", processLoopback()+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, isAssigned := assignedAddresses.LoadOrStore(address, true); !isAssigned {
			return address
		}
	}
}

// startPlatformFleet starts a fleet; limits are additional lines in the limits section of the
// settings files.
func startPlatformFleet(t *testing.T, limits ...string) *platformFleet {
	return startFleetWithBinaries(t, nil, limits...)
}

// fleetSize is the number of processes of each role.
type fleetSize struct{ controls, ledgers, gateways int }

// names returns the names of all processes.
func (s fleetSize) names() []string {
	return slices.Concat(numberedNames("control", s.controls), numberedNames("ledger", s.ledgers), numberedNames("gateway", s.gateways))
}

// numberedNames returns the names of the processes of a role.
func numberedNames(role string, count int) []string {
	var names []string
	for number := range count {
		names = append(names, fmt.Sprintf("%s-%d", role, number))
	}
	return names
}

// testFleetSize is the size of the fleets of most tests.
var testFleetSize = fleetSize{controls: 3, ledgers: 3, gateways: 2}

// startFleetWithBinaries starts a fleet in which binary returns the binary for each start of a
// process.
func startFleetWithBinaries(t *testing.T, binary func(name string) string, limits ...string) *platformFleet {
	return startSizedFleet(t, testFleetSize, binary, limits...)
}

// startSizedFleet starts a fleet of the given size.
func startSizedFleet(t *testing.T, size fleetSize, binary func(name string) string, limits ...string) *platformFleet {
	f := newPlatformFleet(t, size, limits...)
	f.binary = binary
	for _, name := range size.names() {
		f.start(name)
	}
	return f
}

// defaultMemoryMB is the memory limit of the processes of most tests, MiB.
const defaultMemoryMB = 256

// newPlatformFleet writes the settings of a fleet, without starting its processes, and starts its engine.
func newPlatformFleet(t *testing.T, size fleetSize, limits ...string) *platformFleet {
	return newFleetWithMemory(t, size, defaultMemoryMB, limits...)
}

// newFleetWithMemory is newPlatformFleet for processes with a memory limit of memoryMB MiB.
func newFleetWithMemory(t *testing.T, size fleetSize, memoryMB int, limits ...string) *platformFleet {
	f := &platformFleet{t: t, memoryMB: memoryMB, limits: strings.Join(limits, ""), folder: t.TempDir(), processes: map[string]*exec.Cmd{}, addresses: map[string]string{}}
	t.Cleanup(f.killAll)
	var seeds []string
	for number := range size.controls {
		inner := freeAddress(t)
		seeds = append(seeds, inner)
		f.addresses[fmt.Sprintf("control-%d", number)] = inner
	}
	for number := range size.controls {
		name := fmt.Sprintf("control-%d", number)
		operators := freeAddress(t)
		f.operators = append(f.operators, operators)
		f.addresses["directory-"+fmt.Sprint(number)] = freeAddress(t)
		f.writeSettings(name, "control", number, f.addresses[name], seeds, fmt.Sprintf("  operators: %s\n  directory: %s\n", operators, f.addresses["directory-"+fmt.Sprint(number)]))
	}
	for number := range size.ledgers {
		name := fmt.Sprintf("ledger-%d", number)
		f.addresses[name] = freeAddress(t)
		f.writeSettings(name, "ledger", number, f.addresses[name], seeds, "")
	}
	for number := range size.gateways {
		name := fmt.Sprintf("gateway-%d", number)
		f.addresses[name] = freeAddress(t)
		f.addresses["ready-"+name] = freeAddress(t)
		f.writeSettings(name, "gateway", number, freeAddress(t), seeds, fmt.Sprintf("  callers: %s\n  readiness: %s\n", f.addresses[name], f.addresses["ready-"+name]))
	}
	f.engine = newFakeEngine(t, "engine-1")
	return f
}

func (f *platformFleet) writeSettings(name, role string, zone int, inner string, seeds []string, listen string) {
	seedList, _ := json.Marshal(seeds)
	f.addresses["http-"+name] = freeAddress(f.t)
	text := fmt.Sprintf("role: %s\nname: %s\nzone: z%d\nregion: r\ninterface: platform\nlisten:\n  address: %s\n  http: %s\n%slimits:\n  memory_mb: %d\n  grace_s: 8\n%s"+
		"data:\n  path: %s\ncluster:\n  seeds: %s\n  bootstrap: true\n  tolerated_machines: 1\n  ledger_groups: 3\n",
		role, name, zone, inner, f.addresses["http-"+name], listen, f.memoryMB, f.limits, filepath.Join(f.folder, "data", name), seedList)
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
	if f.descriptorLimit > 0 {
		// The runtime raises the soft limit to the hard one; the shell lowers both.
		command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$1"`, f.descriptorLimit), binary, role)
	}
	command.Env = append(os.Environ(), "OCHREBAY_CONFIG="+filepath.Join(f.folder, name+".yaml"))
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.processes[name] = command
}

// process returns a running process.
func (f *platformFleet) process(name string) *exec.Cmd {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.processes[name]
}

// kill kills a process and waits until it has exited.
func (f *platformFleet) kill(name string) {
	process := f.process(name)
	_ = process.Process.Kill()
	_ = process.Wait()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.processes, name)
}

func (f *platformFleet) killAll() {
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

// waitFor polls until the condition holds, and fails the test after waitTimeout.
func (f *platformFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

// response is an HTTP response with its body.
type response struct {
	status int
	header http.Header
	body   string
	// isTruncated reports that the connection failed, or ended before the response was complete.
	isTruncated bool
	// closesConnection reports that the server asked the client to close the connection.
	closesConnection bool
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
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	httpResponse, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	raw, err := io.ReadAll(httpResponse.Body)
	return response{httpResponse.StatusCode, httpResponse.Header, string(raw), err != nil, httpResponse.Close}, nil
}

// sendToControl sends an operator's request to any control process until one answers with a status
// below 500.
func (f *platformFleet) sendToControl(method, path, body string) response {
	f.t.Helper()
	var last response
	f.waitFor(method+" "+path, func() bool {
		for _, address := range f.operators {
			reply, err := send(method, "http://"+address+path, body, nil)
			if err == nil && reply.status < 500 {
				last = reply
				return true
			}
		}
		return false
	})
	return last
}

// requestNumber is the number of the latest request.
var requestNumber atomic.Int64

// sendTurn sends one turn of a program to a gateway, and returns the response and the request ID.
func (f *platformFleet) sendTurn(gateway, path, input string, headers map[string]string) (response, string) {
	f.t.Helper()
	id := fmt.Sprintf("req-%d", requestNumber.Add(1))
	allHeaders := map[string]string{
		"Host": testHost, "Request-Id": id, "Deadline-Ms": "20000", "Program-Id": "prog", "Session-Id": "s", "Token-Usage": "10,50", "Token-Budget": "10000",
	}
	for name, value := range headers {
		allHeaders[name] = value
	}
	reply, err := send("POST", "http://"+f.addresses[gateway]+path, input, allHeaders)
	if err != nil {
		return response{isTruncated: true}, id
	}
	return reply, id
}

// turnWithRetries repeats a turn under new request IDs while it gets no response or a 503, as
// callers do.
func (f *platformFleet) turnWithRetries(gateway, path, input string, headers map[string]string) (reply response, id string) {
	f.t.Helper()
	f.waitFor("a response to a turn", func() bool {
		reply, id = f.sendTurn(gateway, path, input, headers)
		return reply.status != 503 && !(reply.isTruncated && reply.status == 0)
	})
	return reply, id
}

func configuration(generation int) string {
	route := func(name, prefix, kind, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":30000,"backend":"b","maxAttempts":1%s}`, name, testHost, prefix, kind, more)
	}
	return fmt.Sprintf(`{"generation":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"b","healthPath":"/health","maxConns":99,"engine":{"slots":9,"stride":%d}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"extra":{"kept":true}}`,
		generation, route("kept", "/kept/", "stream", `,"retain":true,"retentionS":60`), route("stream", "/stream/", "stream", ""),
		route("safe", "/safe/", "safe", ""), route("unsafe", "/unsafe/", "unsafe", ""), eventTokens)
}

// fakeEngine emulates an engine of the platform.
type fakeEngine struct {
	id      string
	address string
	mutex   sync.Mutex
	// bodies holds the latest body and runs the number of executions by request ID.
	bodies map[string]string
	runs   map[string]int
	// headers holds the latest headers by request ID.
	headers map[string]http.Header
	// release blocks streams after each event until it is closed; nil to not block.
	release chan struct{}
	// pause is the delay after each event.
	pause time.Duration
	// cancelled receives the IDs of blocked requests whose connection was closed.
	cancelled chan string
	// fault is how requests to /unsafe/ fail: "cut" drops the connection after the execution
	// began, "full" rejects the request before it.
	fault string
	// discardsBodies makes the engine forget the bodies of requests, and leave them out of its answers.
	discardsBodies bool
}

func newFakeEngine(t *testing.T, id string) *fakeEngine {
	engine := &fakeEngine{id: id, bodies: map[string]string{}, runs: map[string]int{}, headers: map[string]http.Header{}, cancelled: make(chan string, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine.address = listener.Addr().String()
	server := &http.Server{Handler: engine}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return engine
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.mutex.Lock()
	discardsBodies := e.discardsBodies
	e.mutex.Unlock()
	var body []byte
	if discardsBodies {
		_, _ = io.Copy(io.Discard, r.Body)
	} else {
		body, _ = io.ReadAll(r.Body)
	}
	w.Header().Set("Request-Id", id)
	e.mutex.Lock()
	fault, release, pause := e.fault, e.release, e.pause
	if r.Header.Get("Expect-Instance") != e.id {
		e.mutex.Unlock()
		w.Header().Set("Not-Executed", "1")
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
		if release == nil {
			continue
		}
		select {
		case <-release:
		case <-r.Context().Done():
			e.cancelled <- id
			return
		}
	}
}

// update changes the behavior of the engine.
func (e *fakeEngine) update(change func(*fakeEngine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(e)
}

func (e *fakeEngine) body(id string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.bodies[id]
}

func (e *fakeEngine) header(id string) http.Header {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.headers[id]
}

func (e *fakeEngine) runCount(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

func streamOutput(id string) string {
	var text strings.Builder
	for number := 1; number <= eventCount; number++ {
		fmt.Fprintf(&text, "%s/%d\n", id, number)
	}
	return text.String()
}

func (f *platformFleet) heartbeat(id, state string, sequence int) int {
	return f.sendToControl("POST", "/ochrebay/Instances.Heartbeat/"+id, heartbeatBody(f.engine.address, state, sequence)).status
}

// heartbeatBody returns the body of an engine's heartbeat.
func heartbeatBody(address, state string, sequence int) string {
	return fmt.Sprintf(`{"backend":"b","address":%q,"zone":"z0","generation":"v1","slots":9,"state":%q,"seq":%d}`, address, state, sequence)
}
