package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// soakRuns is what the engines of a soak have run, by request.
type soakRuns struct {
	mutex  sync.Mutex
	bodies map[string]string
	counts map[string]int
	// resumed counts the runs that went on from an earlier event.
	resumed map[string]int
}

func newSoakRuns() *soakRuns {
	return &soakRuns{bodies: map[string]string{}, counts: map[string]int{}, resumed: map[string]int{}}
}

func (r *soakRuns) note(id, body string, resumes bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bodies[id] = body
	if resumes {
		r.resumed[id]++
		return
	}
	r.counts[id]++
}

func (r *soakRuns) of(id string) (body string, runs int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.bodies[id], r.counts[id]
}

// soakEngine is an engine that fails in every way the platform's pages name, now and
// then, and may change its identity at the same address.
type soakEngine struct {
	address string
	runs    *soakRuns
	mutex   sync.Mutex
	// instance is the engine's id; a restart mostly gives it a new one. born is when it
	// started, Unix milliseconds, and sequence the number of its last report.
	instance string
	born     int64
	sequence int
	random   *rand.Rand
}

func newSoakEngine(t *testing.T, runs *soakRuns, seed uint64) *soakEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := &soakEngine{
		address: listener.Addr().String(), runs: runs, instance: fmt.Sprintf("engine-%d-0", seed), born: time.Now().UnixMilli(), random: rand.New(rand.NewPCG(seed, 7)),
	}
	server := &http.Server{Handler: engine}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return engine
}

func (e *soakEngine) id() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.instance
}

// startAgain begins a new life of the engine, under an id that may be the one it had.
func (e *soakEngine) startAgain(instance string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.instance = instance
	e.born = max(time.Now().UnixMilli(), e.born+1)
	e.sequence = 0
}

// report returns the engine's id and its next report.
func (e *soakEngine) report(zone int) (id, body string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	return e.instance, fmt.Sprintf(`{"backend":"b","address":%q,"zone":"z%d","generation":"v1","slots":9,"state":"ready","seq":%d,"born":%d}`,
		e.address, zone, e.sequence, e.born)
}

// leave returns the engine's id and its word that it ends.
func (e *soakEngine) leave() (id, body string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.instance, fmt.Sprintf(`{"born":%d}`, e.born)
}

// soakFault is how an engine treats one request.
type soakFault int

const (
	soakSound soakFault = iota
	soakFull
	soakCutBefore
	soakCutWithin
	soakSlow
	soakStray
)

// draw picks a fault: most requests have none.
func (e *soakEngine) draw() soakFault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if number := e.random.IntN(100); number < 10 {
		return soakFault(1 + number%5)
	}
	return soakSound
}

func (e *soakEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := e.draw()
	if fault == soakFull {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.runs.note(id, string(body), after > 0)
	switch fault {
	case soakCutBefore:
		panic(http.ErrAbortHandler)
	case soakSlow:
		time.Sleep(100 * time.Millisecond)
	case soakStray:
		e.answerAnother(w)
		return
	}
	w.Header().Set("Response-Seal", "seal-"+id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/kept/") && !strings.HasPrefix(r.URL.Path, "/resumable/") {
		e.answerWhole(w, "answer to "+id+" "+string(body), fault)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for number := after + 1; number <= eventCount; number++ {
		if fault == soakCutWithin && number == eventCount-1 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half of an ev", number)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", number, id, number)
		w.(http.Flusher).Flush()
	}
}

// answerWhole answers with a length, or breaks off in the middle of the body.
func (e *soakEngine) answerWhole(w http.ResponseWriter, text string, fault soakFault) {
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault != soakCutWithin {
		_, _ = io.WriteString(w, text)
		return
	}
	_, _ = io.WriteString(w, text[:len(text)/2])
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// answerAnother sends an answer that belongs to another request and then nothing.
func (e *soakEngine) answerAnother(w http.ResponseWriter) {
	w.Header().Set("Request-Id", "another")
	w.Header().Set("Response-Seal", "seal-another")
	_, _ = io.WriteString(w, "answer to another")
}
