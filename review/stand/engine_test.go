package stand

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	eventsPerTurn = 5
	modelBackend  = "agents"
)

// modelEngine is a stand-in for a model engine. It answers at once, and keeps which requests it ran
// and the bodies that it got.
type modelEngine struct {
	record      *record
	id, address string
	mutex       sync.Mutex
	bodies      map[string]string
	running     int
	mostRunning int
}

func newModelEngine(record *record, id string) *modelEngine {
	engine := &modelEngine{record: record, id: id, address: freeAddress(), bodies: map[string]string{}}
	server := &http.Server{Addr: engine.address, Handler: engine}
	go func() { _ = server.ListenAndServe() }()
	return engine
}

// ServeHTTP runs a turn.
func (e *modelEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.begin(id, string(body))
	defer e.finish()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Response-Seal", "seal."+e.id+"."+id)
	for number := 1; number <= eventsPerTurn; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s/%d\n\n", number, id, number)
		writer.(http.Flusher).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

func (e *modelEngine) begin(id, body string) {
	e.record.logf("%s runs %s, body of %d bytes", e.id, id, len(body))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.bodies[id] = body
	e.running++
	e.mostRunning = max(e.mostRunning, e.running)
}

func (e *modelEngine) finish() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
}

// ran returns the body with which the engine ran a request.
func (e *modelEngine) ran(id string) (string, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	body, ran := e.bodies[id]
	return body, ran
}

// output returns the data of the events of a turn, each with a line feed behind.
func output(id string) string {
	text := ""
	for number := 1; number <= eventsPerTurn; number++ {
		text += fmt.Sprintf("%s/%d\n", id, number)
	}
	return text
}
