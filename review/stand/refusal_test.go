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

// The case "refusal": many users come at once, so that the engines of a plain service refuse requests,
// and some engines send an extra copy of an answer late. A request that can't be repeated must
// neither run twice nor be answered with a refusal although it has run.

const (
	plainBackend = "notify"
	plainSlots   = 6
	plainQueue   = 6
	plainEngines = 3
	// extraShare is the share of the answers of which an engine sends an extra copy late.
	extraShare = 0.05
	burstTime  = 10 * time.Second
	// plainPerS is above what the engines can do: 3 engines x 6 slots / 39 ms.
	plainPerS    = 560
	plainWorkers = 200
)

// plainEngine is a stand-in for an engine of a plain service: it runs plainSlots requests at a time,
// queues plainQueue more and refuses what goes beyond with 503 and Not-Executed.
type plainEngine struct {
	record  *record
	id      string
	address string
	garbles atomic.Bool
	// places has a token for each request that runs or is queued, and slots for each that runs.
	places chan struct{}
	slots  chan struct{}
	log    *plainLog
	extras atomic.Int64
}

// plainLog holds what all engines have seen of each request.
type plainLog struct {
	mutex  sync.Mutex
	runs   map[string]int
	events map[string][]string
}

func (l *plainLog) add(id string, ran bool, format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if ran {
		l.runs[id]++
	}
	l.events[id] = append(l.events[id], fmt.Sprintf(format, arguments...))
}

func newPlainEngine(record *record, id string, log *plainLog) *plainEngine {
	engine := &plainEngine{record: record, id: id, address: freeAddress(), places: make(chan struct{}, plainSlots+plainQueue), slots: make(chan struct{}, plainSlots), log: log}
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		record.cannotRun("engine: %v", err)
	}
	go func() {
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(connection, number)
		}
	}()
	return engine
}

// serve answers the requests of one connection, one at a time. The extra copy of an answer arrives
// late: at the place where the next answer on the connection should come.
func (e *plainEngine) serve(connection net.Conn, number int) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	extra, extraOf := "", ""
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
		at := time.Since(e.record.started).Seconds()
		e.log.add(id, false, "%.4f arrives at %s on connection %d", at, e.id, number)
		if extra != "" {
			e.extras.Add(1)
			e.log.add(id, false, "%.4f %s sends the extra copy of its answer to %s on connection %d", at, e.id, extraOf, number)
			if _, err := io.WriteString(connection, extra); err != nil {
				return
			}
			extra = ""
		}
		answer := e.answer(request, id, body, number)
		if _, err := io.WriteString(connection, answer); err != nil {
			return
		}
		if e.garbles.Load() && rand.Float64() < extraShare {
			extra, extraOf = answer, id
		}
	}
}

// answer runs a request, or refuses it if all slots are taken.
func (e *plainEngine) answer(request *http.Request, id string, body []byte, number int) string {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return e.encode(http.StatusMisdirectedRequest, id, "Not-Executed: 1\r\n", "")
	}
	select {
	case e.places <- struct{}{}:
	default:
		e.log.add(id, false, "%.4f refused by %s with 503 and Not-Executed on connection %d", time.Since(e.record.started).Seconds(), e.id, number)
		return e.encode(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", "")
	}
	e.slots <- struct{}{}
	e.record.logf("%s runs %s", e.id, id)
	e.log.add(id, true, "%.4f %s runs it", time.Since(e.record.started).Seconds(), e.id)
	time.Sleep(time.Duration(min(rand.ExpFloat64()*39, 300) * float64(time.Millisecond)))
	<-e.slots
	<-e.places
	return e.encode(http.StatusOK, id, "Response-Seal: seal."+e.id+"."+id+"\r\n", "done "+string(body))
}

func (e *plainEngine) encode(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, headers, len(body), body)
}

func plainConfiguration() string {
	return fmt.Sprintf(`{"generation":7,"routes":[{"name":"r-note","host":%q,"pathPrefix":"/note/","kind":"unsafe","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"backend":%q,"maxAttempts":1}],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		host, plainBackend, plainBackend)
}

// awaitService waits until requests are served.
func awaitService(record *record, clients *clients) {
	for status := 0; status != 200; time.Sleep(50 * time.Millisecond) {
		status = clients.send("POST", "/note/1", "warm", map[string]string{"Deadline-Ms": "1200"}).status
		if time.Since(record.started) > 25*time.Second {
			record.cannotRun("no request was served")
		}
	}
}

func runRefusal(record *record, fleet *fleet, trouble bool) {
	const gateways = 2
	fleet.launch(gateways)
	fleet.configure(plainConfiguration(), gateways)
	log := &plainLog{runs: map[string]int{}, events: map[string][]string{}}
	var engines []*plainEngine
	for number := range plainEngines {
		engine := newPlainEngine(record, fmt.Sprintf("i-%d", number), log)
		engines = append(engines, engine)
		fleet.keepRegistered(plainBackend, engine.id, engine.address, fmt.Sprintf("z%d", number), plainSlots)
	}
	clients := newClients(fleet)
	awaitService(record, clients)
	time.Sleep(contact)
	for _, engine := range engines {
		engine.garbles.Store(trouble)
	}
	var mutex sync.Mutex
	final := map[string]int{}
	statuses := map[int]int{}
	pool(plainWorkers, plainPerS, time.Now().Add(burstTime), func(int) bool {
		deadline := time.Now().Add(1200 * time.Millisecond)
		for try := 0; try < 3; try++ {
			got := clients.send("POST", "/note/1", strings.Repeat("n", 600), map[string]string{"Deadline-Ms": fmt.Sprint(time.Until(deadline).Milliseconds())})
			mutex.Lock()
			final[got.id] = got.status
			statuses[got.status]++
			mutex.Unlock()
			// Only a promise that the request was not run lets a client send it again.
			if got.status != 503 && got.status != 429 || time.Until(deadline) < 100*time.Millisecond {
				break
			}
			time.Sleep(30 * time.Millisecond)
		}
		return true
	})
	time.Sleep(time.Second)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	twice, refused, extras := 0, 0, int64(0)
	for id, runs := range log.runs {
		isRefused := final[id] == 503 || final[id] == 429 || final[id] == 408 || final[id] == 421
		if runs > 1 {
			twice++
		}
		if isRefused {
			refused++
		}
		if runs > 1 || isRefused {
			record.logf("request %s: ran %d times, the client got %d: %s", id, runs, final[id], strings.Join(log.events[id], "; "))
		}
	}
	for _, engine := range engines {
		extras += engine.extras.Load()
	}
	record.logf("%d client attempts, by status %v; %d requests ran; engines sent %d extra copies of answers", len(final), statuses, len(log.runs), extras)
	if twice > 0 || refused > 0 {
		record.end(exitBroken, "broken: TWICE, %d requests that can't be repeated ran more than once; REFUSED, %d were answered with a refusal although they ran", twice, refused)
	}
}
