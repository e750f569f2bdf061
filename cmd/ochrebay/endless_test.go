package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// endlessResponseBytes is where an engine ends a response that is meant to have no end.
	endlessResponseBytes = 64 << 20
	endlessWriteBytes    = 256 << 10
	// gatewayMemoryKB is the memory limit of the fleet's gateways, beyond which the platform kills them.
	gatewayMemoryKB = 256 << 10
)

// endlessKinds are ways in which an engine sends bytes without end, by name: the beginning of a response, in which
// ID stands for that of the request, and what is repeated after it.
var endlessKinds = map[string][2]string{
	"no HTTP":                              {"", "x"},
	"a status line":                        {"HTTP/1.1 200 ", "OK"},
	"a header line":                        {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX: ", "x"},
	"header lines":                         {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n", "X: y\r\n"},
	"a continued header line":              {"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX: y\r\n", " z\r\n"},
	"the head of an interim response":      {"HTTP/1.1 100 Continue\r\n", "X: y\r\n"},
	"a response to another request":        {"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"an event":                             {streamHead + "data: ", "x"},
	"an event of many lines":               {streamHead, "data: x\n"},
	"an event after whole ones":            {streamHead + "id: 1\ndata: y\n\n", "data: x\n"},
	"the output of a turn, event by event": {streamHead, "data: " + longData + "\n\n"},
}

const streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"

var longData = strings.Repeat("x", 32<<10)

// endlessEngine answers every request in one way until its connection is closed.
type endlessEngine struct {
	kind     atomic.Pointer[[2]string]
	requests atomic.Int64
}

func (e *endlessEngine) serve(connection net.Conn) {
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	e.requests.Add(1)
	kind := e.kind.Load()
	chunk := []byte(strings.ReplaceAll(kind[0], "ID", request.Header.Get("Request-Id")))
	repeated := []byte(strings.Repeat(kind[1], endlessWriteBytes/len(kind[1])+1))
	for sent := 0; sent < endlessResponseBytes; sent += len(chunk) {
		if _, err := connection.Write(chunk); err != nil {
			return
		}
		chunk = repeated
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemoryKB returns the largest resident size that a process has had.
func peakMemoryKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	match := peakMemory.FindSubmatch(raw)
	if match == nil {
		return 0
	}
	peak, _ := strconv.Atoi(string(match[1]))
	return peak
}

// callAndDiscard sends a turn and discards the response as it comes.
func (f *platformFleet) callAndDiscard(gateway, path, program string) {
	request, err := http.NewRequest("POST", "http://"+f.addresses[gateway]+path, strings.NewReader("x"))
	if err != nil {
		f.t.Error(err)
		return
	}
	request.Host = testHost
	for name, value := range map[string]string{
		"Request-Id": fmt.Sprintf("req-%d", requestNumber.Add(1)), "Deadline-Ms": "3000", "Program-Id": program, "Session-Id": "s", "Token-Usage": "10,50", "Token-Budget": "10000",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}

// TestEndlessResponses guards against a gateway that reads bytes without end from an engine, on many calls at the
// same time, until it has more memory than its machine and is killed.
func TestEndlessResponses(t *testing.T) {
	const callsAtOnce = 60
	f := startPlatformFleet(t)
	listener, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	engine := &endlessEngine{}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(connection)
		}
	}()
	Convey("a gateway stays within its memory and goes on serving", t, func() {
		f.sendToControl("POST", "/ochrebay/Config.Replace", configuration(1))
		sequence := 0
		for name, kind := range endlessKinds {
			engine.kind.Store(&kind)
			engine.requests.Store(0)
			sequence++
			// Each kind comes from another engine, because the gateway avoids one that has failed.
			id := fmt.Sprint("endless-", sequence)
			f.waitFor("the engine to be registered", func() bool {
				reply, err := send("POST", "http://"+f.operators[0]+"/ochrebay/Instances.Heartbeat/"+id, heartbeatBody(listener.Addr().String(), "ready", sequence), nil)
				return err == nil && reply.status == 200
			})
			f.waitFor("a call to reach the engine", func() bool {
				f.callAndDiscard("gateway-0", "/stream/", name)
				return engine.requests.Load() > 0
			})
			var calling sync.WaitGroup
			for number := range callsAtOnce {
				calling.Go(func() {
					path := []string{"/stream/", "/kept/", "/safe/"}[number%3]
					f.callAndDiscard("gateway-0", path, fmt.Sprint(name, number))
				})
			}
			calling.Wait()
			peak := peakMemoryKB(f.process("gateway-0").Process.Pid)
			So(peak, ShouldBeGreaterThan, 0)
			if peak >= gatewayMemoryKB {
				t.Errorf("%s: the gateway has used %d kB", name, peak)
			}
		}
		tries := 0
		f.waitFor("the gateway to serve with a sound engine", func() bool {
			tries++
			f.heartbeat(f.engine.id, "ready", sequence+tries)
			// Each try is another request: until the gateway has the sound engine in its fleet, tries go to the engine
			// at fault, and the crash limit rejects one request after three of them.
			reply, _ := f.sendTurn("gateway-0", "/stream/", fmt.Sprint("x", tries), nil)
			return reply.status == 200
		})
	})
}
