package stand

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "stray": engines of a plain service send bytes that belong to no request after some of their
// answers, at the place where the next answer should come. The bytes have the form of an HTTP response
// without a Request-Id, which each answer of an engine has. A request that can't be repeated must neither
// run twice nor be answered with a refusal although it runs, and no client may get the stray bytes.

const (
	strayBackend = "notify"
	strayEngines = 3
	straySlots   = 6
	// strayShare is the share of the answers after which stray bytes are sent.
	strayShare   = 0.03
	strayTime    = 12 * time.Second
	strayPerS    = 150
	strayWorkers = 60
	strayPath    = "/note/1"
)

// strays are the bytes that belong to no request: what an HTTP server sends on a connection that it
// considers idle, or to a client that has come to the wrong server.
var strays = []string{
	"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}

// strayLog holds what all engines have seen of each request.
type strayLog struct {
	record *record
	mutex  sync.Mutex
	runs   map[string]int
	events map[string][]string
	sent   int
}

func (l *strayLog) add(id string, format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events[id] = append(l.events[id], fmt.Sprintf("%.4f ", time.Since(l.record.started).Seconds())+fmt.Sprintf(format, arguments...))
}

// strayEngine is a stand-in for an engine of a plain service with straySlots slots and a queue.
type strayEngine struct {
	id, address string
	isFaulty    atomic.Bool
	slots       chan struct{}
	log         *strayLog
}

func newStrayEngine(record *record, id string, log *strayLog) *strayEngine {
	engine := &strayEngine{id: id, address: freeAddress(), slots: make(chan struct{}, straySlots), log: log}
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		record.cannotRun("engine: %v", err)
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(connection)
		}
	}()
	return engine
}

// serve answers the requests of one connection, one at a time.
func (e *strayEngine) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	stray := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if stray != "" {
			line, _, _ := strings.Cut(stray, "\r\n")
			e.log.add(id, "%s gets it, and sends stray bytes on its connection: %s", e.id, line)
			e.log.mutex.Lock()
			e.log.sent++
			e.log.mutex.Unlock()
			if _, err := io.WriteString(connection, stray); err != nil {
				return
			}
			stray = ""
		}
		if _, err := io.WriteString(connection, e.answer(request, id, body)); err != nil {
			return
		}
		if e.isFaulty.Load() && rand.Float64() < strayShare {
			stray = strays[rand.IntN(len(strays))]
		}
	}
}

// answer runs a request.
func (e *strayEngine) answer(request *http.Request, id string, body []byte) string {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	e.slots <- struct{}{}
	e.log.add(id, "%s runs it", e.id)
	e.log.mutex.Lock()
	e.log.runs[id]++
	e.log.mutex.Unlock()
	time.Sleep(time.Duration(min(rand.ExpFloat64()*39, 300) * float64(time.Millisecond)))
	<-e.slots
	text := "done " + string(body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id, id, len(text), text)
}

func strayConfiguration() string {
	return fmt.Sprintf(`{"generation":7,"routes":[{"name":"r-note","host":%q,"pathPrefix":"/note/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"backend":%q,"maxAttempts":1}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		host, strayBackend, strayBackend)
}

func runStray(record *record, fleet *fleet, trouble bool) {
	const gateways = 2
	fleet.launch(gateways)
	fleet.configure(strayConfiguration(), gateways)
	log := &strayLog{record: record, runs: map[string]int{}, events: map[string][]string{}}
	var engines []*strayEngine
	for number := range strayEngines {
		engine := newStrayEngine(record, fmt.Sprintf("i-%d", number), log)
		engines = append(engines, engine)
		fleet.keepRegistered(strayBackend, engine.id, engine.address, fmt.Sprintf("z%d", number), straySlots)
	}
	clients := newClients(fleet)
	for status := 0; status != 200; time.Sleep(50 * time.Millisecond) {
		status = clients.send("POST", strayPath, "warm", map[string]string{"Deadline-Ms": "1200"}).status
		if time.Since(record.started) > 25*time.Second {
			record.cannotRun("no request was served")
		}
	}
	time.Sleep(contact)
	for _, engine := range engines {
		engine.isFaulty.Store(trouble)
	}
	var mutex sync.Mutex
	final, statuses := map[string]reply{}, map[int]int{}
	pool(strayWorkers, strayPerS, time.Now().Add(strayTime), func(int) bool {
		got := clients.send("POST", strayPath, strings.Repeat("n", 600), map[string]string{"Deadline-Ms": "1200"})
		mutex.Lock()
		defer mutex.Unlock()
		final[got.id] = got
		statuses[got.status]++
		return true
	})
	time.Sleep(time.Second)
	judgeStrays(record, log, final, statuses)
}

// judgeStrays counts the requests that ran twice, those that were refused although they ran, and the
// answers that no engine gave: an engine's answers have a Request-Id.
func judgeStrays(record *record, log *strayLog, final map[string]reply, statuses map[int]int) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	twice, refused := 0, 0
	for id, runs := range log.runs {
		got := final[id]
		isRefused := got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421
		if runs > 1 {
			twice++
		}
		if isRefused {
			refused++
		}
		if runs > 1 || isRefused {
			record.logf("request %s: ran %d times, the client got %d with Request-Id %q: %s", id, runs, got.status, got.header.Get("Request-Id"), strings.Join(log.events[id], "; "))
		}
	}
	record.logf("%d client attempts, by status %v; %d requests ran; stray bytes were sent %d times", len(final), statuses, len(log.runs), log.sent)
	if twice > 0 || refused > 0 {
		record.end(exitBroken, "broken: REFUSED, %d requests that can't be repeated were answered with a refusal although they ran; TWICE, %d ran more than once", refused, twice)
	}
}
