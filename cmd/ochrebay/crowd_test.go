package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd that exhausts the memory of a process.
	crowdSize = 80
	// legalBodyBytes is the maxBodyBytes of the routing tables of these tests.
	legalBodyBytes = 8 << 20
	// endlessBodyBytes is where a client ends a body that is meant to have no end.
	endlessBodyBytes = 64 << 20
	// missingBytes is by how much a body falls short of its end.
	missingBytes = 10
	// crowdWriteTimeout ends a write that the server neither accepts nor refuses. It is no requirement: the client
	// then stays connected, as after its last write.
	crowdWriteTimeout = 10 * time.Second
	// memorySampleInterval is the interval at which the memory of a process is measured.
	memorySampleInterval = 20 * time.Millisecond
)

// crowdBody is how the clients of a crowd send a body.
type crowdBody struct {
	name string
	// announcedBytes is the Content-Length, 0 for a body in chunks.
	announcedBytes int
	// chunkBytes is the size of the chunks, 0 for one chunk that is larger than all that is sent.
	chunkBytes int
	// sentBytes is how much of the body is sent before the client falls silent.
	sentBytes int
	// isWhole is true if the end of a body in chunks is sent as well.
	isWhole bool
	// pieceBytes is the size of one write, 0 for one as large as possible.
	pieceBytes int
	// extension is a chunk extension that each chunk has.
	extension string
}

// crowdBodies are the bodies that crowds send.
var crowdBodies = []crowdBody{
	{name: "announced and short of its end", announcedBytes: legalBodyBytes, sentBytes: legalBodyBytes - missingBytes},
	{name: "announced and short of its end, in pieces", announcedBytes: legalBodyBytes, sentBytes: legalBodyBytes - missingBytes, pieceBytes: 16 << 10},
	{name: "announced and whole", announcedBytes: legalBodyBytes, sentBytes: legalBodyBytes},
	{name: "in chunks of 1 MiB, short of its end", chunkBytes: 1 << 20, sentBytes: legalBodyBytes - missingBytes},
	{name: "in chunks of 512 bytes, short of its end", chunkBytes: 512, sentBytes: legalBodyBytes - missingBytes},
	{name: "in chunks of 1 byte, short of its end", chunkBytes: 1, sentBytes: 1 << 20},
	{name: "in chunks and whole", chunkBytes: 64 << 10, sentBytes: legalBodyBytes, isWhole: true},
	{name: "announced far over the limit", announcedBytes: 1 << 30, sentBytes: endlessBodyBytes},
	{name: "far over the limit, in chunks", chunkBytes: 1 << 20, sentBytes: endlessBodyBytes},
	{name: "one chunk without end", sentBytes: endlessBodyBytes},
	{name: "chunk extensions without end", chunkBytes: 1, sentBytes: 4 << 10, extension: ";" + strings.Repeat("x", 2000)},
}

// head returns the head of a request with the body.
func (b crowdBody) head(target string) string {
	framing := "Transfer-Encoding: chunked"
	if b.announcedBytes > 0 {
		framing = fmt.Sprintf("Content-Length: %d", b.announcedBytes)
	}
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: req-%d\r\nProgram-Id: crowd-%d\r\nSession-Id: s\r\nToken-Usage: 10,50\r\nToken-Budget: 10000\r\nContent-Type: application/json\r\n%s\r\n\r\n",
		target, testHost, requestNumber.Add(1), requestNumber.Load(), framing)
}

// bodyFiller is the content of the crowds' bodies.
var bodyFiller = bytes.Repeat([]byte("x"), 1<<20)

// write sends the body as far as the server takes it.
func (b crowdBody) write(connection net.Conn) error {
	put := func(piece []byte) error {
		_ = connection.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
		_, err := connection.Write(piece)
		return err
	}
	if b.announcedBytes == 0 && b.chunkBytes == 0 {
		if err := put([]byte("40000000\r\n")); err != nil {
			return err
		}
	}
	for sent := 0; sent < b.sentBytes; {
		length := min(len(bodyFiller), b.sentBytes-sent)
		if b.pieceBytes > 0 {
			length = min(length, b.pieceBytes)
		}
		piece := bodyFiller[:length]
		if b.chunkBytes > 0 {
			piece, length = b.chunks(b.sentBytes - sent)
		}
		if err := put(piece); err != nil {
			return err
		}
		sent += length
	}
	if b.isWhole {
		return put([]byte("0\r\n\r\n"))
	}
	return nil
}

// chunks returns framed chunks of at most the given length, and how much of the body they hold.
func (b crowdBody) chunks(left int) (framed []byte, length int) {
	const maxChunksPerWrite = 4096
	for range maxChunksPerWrite {
		size := min(b.chunkBytes, left-length, len(bodyFiller))
		if size <= 0 || len(framed) >= len(bodyFiller) {
			break
		}
		framed = fmt.Appendf(framed, "%x%s\r\n", size, b.extension)
		framed = append(append(framed, bodyFiller[:size]...), "\r\n"...)
		length += size
	}
	return framed, length
}

// crowd is a set of clients that each hold a connection until leave is called.
type crowd struct {
	members sync.WaitGroup
	left    chan struct{}
	// attempts counts the connections that clients have tried to open.
	attempts atomic.Int64
	mutex    sync.Mutex
	// connections are the connections that are open, as far as the clients know.
	connections map[net.Conn]bool
	// statuses counts the responses by status.
	statuses map[int]int
}

// newCrowd returns a crowd without clients, which leaves at the end of the test at the latest.
func newCrowd(t *testing.T) *crowd {
	c := &crowd{left: make(chan struct{}), connections: map[net.Conn]bool{}, statuses: map[int]int{}}
	t.Cleanup(c.leave)
	return c
}

// dial opens a connection of the crowd. It returns nil once the crowd has left or if the server can't be reached.
func (c *crowd) dial(address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, crowdWriteTimeout)
	if err != nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	select {
	case <-c.left:
		_ = connection.Close()
		return nil
	default:
	}
	c.connections[connection] = true
	return connection
}

// hangUp closes one connection.
func (c *crowd) hangUp(connection net.Conn) {
	_ = connection.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.connections, connection)
}

// awaitClose reads what the server sends until it closes the connection, and closes it here then.
func (c *crowd) awaitClose(connection net.Conn) {
	defer c.hangUp(connection)
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(connection, head); err != nil {
		return
	}
	status, _ := strconv.Atoi(string(head[len(head)-3:]))
	c.mutex.Lock()
	c.statuses[status]++
	c.mutex.Unlock()
	_, _ = io.Copy(io.Discard, connection)
}

// leave closes all connections and waits until all clients have ended. A second call does nothing.
func (c *crowd) leave() {
	if c.hasLeft() {
		return
	}
	c.mutex.Lock()
	close(c.left)
	for connection := range c.connections {
		_ = connection.Close()
	}
	c.mutex.Unlock()
	c.members.Wait()
}

// hasLeft reports whether leave was called.
func (c *crowd) hasLeft() bool {
	select {
	case <-c.left:
		return true
	default:
		return false
	}
}

// sendBodies lets size clients send one request each at the same time, and returns once each has sent what it is
// to send or was refused. The connections stay open.
func (c *crowd) sendBodies(address string, size int, target func(number int) string, body crowdBody) {
	var sending sync.WaitGroup
	for number := range size {
		connection := c.dial(address)
		if connection == nil {
			continue
		}
		c.members.Go(func() { c.awaitClose(connection) })
		sending.Go(func() {
			if _, err := io.WriteString(connection, body.head(target(number))); err == nil {
				_ = body.write(connection)
			}
		})
	}
	sending.Wait()
}

// statusCounts describes the responses that the crowd has got.
func (c *crowd) statusCounts() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return fmt.Sprint(c.statuses)
}

var memoryField = regexp.MustCompile(`(VmRSS|VmHWM):\s+(\d+) kB`)

// processMemory is the memory of a process in kB: what it uses now and at most, and what its kernel has received
// for it and it has not read yet.
type processMemory struct{ resident, peak, unread int }

// readProcessMemory measures a process. addresses are the IP:port that it listens on.
func readProcessMemory(pid int, addresses []string) processMemory {
	var memory processMemory
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, match := range memoryField.FindAllSubmatch(raw, -1) {
		value, _ := strconv.Atoi(string(match[2]))
		if string(match[1]) == "VmRSS" {
			memory.resident = value
		} else {
			memory.peak = value
		}
	}
	memory.unread = unreadBytes(addresses) >> 10
	return memory
}

// unreadBytes returns how many bytes connections to the addresses have received that were not read.
func unreadBytes(addresses []string) int {
	isLocal := map[string]bool{}
	for _, address := range addresses {
		isLocal[hexAddress(address)] = true
	}
	raw, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		// State 0A is a listener, whose queue counts connections.
		if len(fields) < 5 || fields[3] == "0A" || !isLocal[fields[1]] {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		queued, _ := strconv.ParseInt(received, 16, 64)
		total += int(queued)
	}
	return total
}

// hexAddress returns an IPv4 address and port as /proc/net/tcp writes it on a little-endian machine.
func hexAddress(address string) string {
	host, portText, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	port, _ := strconv.Atoi(portText)
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
}

// memoryWatch measures processes until stop is called.
type memoryWatch struct {
	fleet  *platformFleet
	names  []string
	done   chan struct{}
	ended  sync.WaitGroup
	mutex  sync.Mutex
	peakKB map[string]int
	// descriptors is the largest number of open descriptors.
	descriptors map[string]int
}

// watch measures the named processes from now on.
func (f *platformFleet) watch(names ...string) *memoryWatch {
	w := &memoryWatch{fleet: f, names: names, done: make(chan struct{}), peakKB: map[string]int{}, descriptors: map[string]int{}}
	w.ended.Go(func() {
		for {
			w.sample()
			select {
			case <-w.done:
				return
			case <-time.After(memorySampleInterval):
			}
		}
	})
	return w
}

func (w *memoryWatch) sample() {
	for _, name := range w.names {
		process := w.fleet.process(name)
		if process == nil {
			continue
		}
		memory := readProcessMemory(process.Process.Pid, w.fleet.listenAddresses(name))
		descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", process.Process.Pid))
		w.mutex.Lock()
		w.peakKB[name] = max(w.peakKB[name], memory.peak, memory.resident+memory.unread)
		w.descriptors[name] = max(w.descriptors[name], len(descriptors))
		w.mutex.Unlock()
	}
}

// stop ends the measurement. It fails the test for each process that has used more memory than its limit, has used
// up its descriptors, or has ended.
func (w *memoryWatch) stop(situation string) {
	w.fleet.t.Helper()
	w.sample()
	close(w.done)
	w.ended.Wait()
	for _, name := range w.names {
		w.fleet.t.Logf("%s: %s used at most %d kB and %d descriptors", situation, name, w.peakKB[name], w.descriptors[name])
		if limit := w.fleet.memoryMB << 10; w.peakKB[name] >= limit {
			w.fleet.t.Errorf("%s: %s has used %d kB, its limit is %d", situation, name, w.peakKB[name], limit)
		}
		if limit := w.fleet.descriptorLimit; limit > 0 && w.descriptors[name] >= limit {
			w.fleet.t.Errorf("%s: %s has opened all of its %d descriptors", situation, name, limit)
		}
		if !w.fleet.isRunning(name) {
			w.fleet.t.Errorf("%s: %s has ended", situation, name)
		}
	}
}

// listenAddresses returns the addresses that a process listens on.
func (f *platformFleet) listenAddresses(name string) []string {
	var addresses []string
	_, number, _ := strings.Cut(name, "-")
	keys := []string{name, "http-" + name, "ready-" + name}
	if strings.HasPrefix(name, "control-") {
		position, _ := strconv.Atoi(number)
		addresses = append(addresses, f.operators[position])
		keys = append(keys, "directory-"+number)
	}
	for _, key := range keys {
		if address := f.addresses[key]; address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isRunning reports whether a process that was started has not ended by itself.
func (f *platformFleet) isRunning(name string) bool {
	process := f.process(name)
	if process == nil {
		return false
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	_, state, _ := strings.Cut(string(raw), ") ")
	return err == nil && state != "" && state[0] != 'Z'
}

// legalConfiguration returns a configuration whose callers may send bodies of legalBodyBytes.
func legalConfiguration(generation int) string {
	return strings.Replace(configuration(generation), `"maxBodyBytes":100000`, fmt.Sprintf(`"maxBodyBytes":%d`, legalBodyBytes), 1)
}

// startCrowdFleet starts a fleet whose callers may send bodies of legalBodyBytes, with an engine that serves.
// descriptorLimit is the limit on the descriptors of each process, 0 for that of the test.
func startCrowdFleet(t *testing.T, descriptorLimit int) *platformFleet {
	return startSizedCrowdFleet(t, testFleetSize, descriptorLimit)
}

// startSizedCrowdFleet is startCrowdFleet for a fleet of the given size.
func startSizedCrowdFleet(t *testing.T, size fleetSize, descriptorLimit int) *platformFleet {
	f := newPlatformFleet(t, size)
	f.descriptorLimit = descriptorLimit
	f.startForCrowds(size)
	return f
}

// startForCrowds starts the processes of a fleet and waits until callers may send bodies of legalBodyBytes to all
// gateways and an engine serves them.
func (f *platformFleet) startForCrowds(size fleetSize) {
	for _, name := range size.names() {
		f.start(name)
	}
	f.engine.update(func(e *fakeEngine) { e.discardsBodies = true })
	f.sendToControl("POST", "/ochrebay/Config.Replace", legalConfiguration(1))
	sequence := 0
	for _, gateway := range numberedNames("gateway", size.gateways) {
		f.waitFor("a turn at "+gateway, func() bool {
			sequence++
			f.heartbeat(f.engine.id, "ready", sequence)
			reply, _ := f.sendTurn(gateway, "/stream/", "x", nil)
			return reply.status == http.StatusOK
		})
	}
	f.keepAlive(sequence)
}

// keepAlive sends heartbeats of the engine to any control process that answers until the test ends.
func (f *platformFleet) keepAlive(sequence int) {
	const interval = 500 * time.Millisecond
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			sequence++
			body := heartbeatBody(f.engine.address, "ready", sequence)
			for _, address := range f.operators {
				reply, err := send("POST", "http://"+address+"/ochrebay/Instances.Heartbeat/"+f.engine.id, body, nil)
				if err == nil && reply.status == http.StatusOK {
					break
				}
			}
		}
	})
	f.t.Cleanup(func() {
		close(done)
		ended.Wait()
	})
}

// expectTurn waits until an ordinary turn is served at a gateway.
func (f *platformFleet) expectTurn(situation, gateway string) {
	f.t.Helper()
	f.waitFor("a turn at "+gateway+" "+situation, func() bool {
		reply, _ := f.sendTurn(gateway, "/stream/", "x", map[string]string{"Program-Id": fmt.Sprint("ordinary-", requestNumber.Load())})
		return reply.status == http.StatusOK && !reply.isTruncated
	})
}

// expectAnswer waits until a request without a body is answered with 200.
func (f *platformFleet) expectAnswer(situation, url string) {
	f.t.Helper()
	f.waitFor(url+" "+situation, func() bool {
		reply, err := send("GET", url, "", nil)
		return err == nil && reply.status == http.StatusOK
	})
}
