package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

const (
	// crowdDescriptorLimit is the limit on the descriptors of each process in these tests.
	crowdDescriptorLimit = 400
	// connectionCrowdSize is the number of connections of a crowd that exhausts the descriptors of a process.
	connectionCrowdSize = 700
	// trickleInterval is the interval at which clients send a byte.
	trickleInterval = 100 * time.Millisecond
)

// occupation is what the clients of a crowd do with their connections. It returns false if the connection has ended.
type occupation struct {
	name string
	// begin does what the client does first.
	begin func(connection net.Conn, target string) bool
	// goOn is repeated every trickleInterval while the connection is open; nil for a client that is silent then.
	goOn func(connection net.Conn) bool
	// returns is true if clients connect anew once they were refused or closed.
	returns bool
}

// shortBody is a body of 1,000 bytes that ends 10 bytes early.
var shortBody = crowdBody{announcedBytes: 1000, sentBytes: 1000 - missingBytes}

func beginBody(connection net.Conn, target string) bool {
	_, err := io.WriteString(connection, shortBody.head(target))
	return err == nil && shortBody.write(connection) == nil
}

func beginTrickle(connection net.Conn, target string) bool {
	_, err := io.WriteString(connection, crowdBody{announcedBytes: legalBodyBytes}.head(target))
	return err == nil
}

func sendByte(connection net.Conn) bool {
	_, err := connection.Write([]byte("x"))
	return err == nil
}

func sendHead(connection net.Conn, target string) bool {
	_, err := fmt.Fprintf(connection, "%s HTTP/1.1\r\nHost: %s\r\nX: ", target, testHost)
	return err == nil
}

func sendWholeRequest(connection net.Conn, target string) bool {
	_, err := fmt.Fprintf(connection, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: req-%d\r\nContent-Length: 0\r\n\r\n", target, testHost, requestNumber.Add(1))
	return err == nil
}

var occupations = []occupation{
	{name: "bodies short of their end", begin: beginBody},
	{name: "bodies short of their end, again after each refusal", begin: beginBody, returns: true},
	{name: "bodies byte by byte", begin: beginTrickle, goOn: sendByte},
	{name: "bodies byte by byte, again after each refusal", begin: beginTrickle, goOn: sendByte, returns: true},
	{name: "idle after one request", begin: sendWholeRequest},
	{name: "idle after one request, again after each close", begin: sendWholeRequest, returns: true},
	{name: "heads short of their end", begin: sendHead},
	{name: "heads byte by byte, again after each refusal", begin: sendHead, goOn: sendByte, returns: true},
	{name: "silent from the start", begin: func(net.Conn, string) bool { return true }, returns: true},
}

// occupy lets size clients hold connections until the crowd leaves.
func (c *crowd) occupy(address, target string, size int, how occupation) {
	for range size {
		c.members.Go(func() {
			for !c.hasLeft() {
				connection := c.dial(address)
				c.attempts.Add(1)
				if connection != nil {
					c.hold(connection, target, how)
				}
				if !how.returns {
					return
				}
				time.Sleep(trickleInterval)
			}
		})
	}
}

// hold keeps one connection occupied until it is closed.
func (c *crowd) hold(connection net.Conn, target string, how occupation) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.awaitClose(connection)
	}()
	isOpen := how.begin(connection, target)
	for isOpen && how.goOn != nil {
		select {
		case <-closed:
			return
		case <-time.After(trickleInterval):
			isOpen = how.goOn(connection)
		}
	}
	<-closed
}

// runConnectionCrowds plays each occupation at an address of a process. Beside each crowd, an ordinary turn has to
// be served, and the address has to answer.
func runConnectionCrowds(t *testing.T, process string, target string, addresses func(f *platformFleet) []string, answers func(f *platformFleet, situation string)) {
	for _, how := range occupations {
		f := startCrowdFleet(t, crowdDescriptorLimit)
		watch := f.watch(process)
		clients := newCrowd(t)
		crowded := addresses(f)
		for _, address := range crowded {
			clients.occupy(address, target, connectionCrowdSize, how)
		}
		f.waitFor("each client to have connected once", func() bool {
			return clients.attempts.Load() >= int64(connectionCrowdSize*len(crowded))
		})
		f.expectTurn("beside the crowd", "gateway-0")
		answers(f, "beside the crowd")
		clients.leave()
		f.expectTurn("after the crowd", "gateway-0")
		answers(f, "after the crowd")
		watch.stop(how.name + " " + clients.statusCounts())
		f.killAll()
	}
}

// TestCrowdOfConnectionsAtCallers guards against a gateway that serves no ordinary caller while many callers hold
// connections.
func TestCrowdOfConnectionsAtCallers(t *testing.T) {
	runConnectionCrowds(t, "gateway-0", "POST /stream/",
		func(f *platformFleet) []string { return []string{f.addresses["gateway-0"]} },
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.addresses["ready-gateway-0"]+"/ochrebay/ready")
		})
}

// TestCrowdOfConnectionsAtReadiness guards against a gateway that serves no caller, or is taken for unready, while many
// clients hold connections to its readiness address.
func TestCrowdOfConnectionsAtReadiness(t *testing.T) {
	runConnectionCrowds(t, "gateway-0", "POST /ochrebay/ready",
		func(f *platformFleet) []string { return []string{f.addresses["ready-gateway-0"]} },
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.addresses["ready-gateway-0"]+"/ochrebay/ready")
		})
}

// TestCrowdOfConnectionsAtOperators guards against control processes that answer neither engines nor operators while
// many clients hold connections to the operators' addresses of all of them.
func TestCrowdOfConnectionsAtOperators(t *testing.T) {
	runConnectionCrowds(t, "control-0", "POST /ochrebay/Config.Replace",
		func(f *platformFleet) []string { return f.operators },
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.operators[0]+"/ochrebay/Config.Read")
		})
}

// TestCrowdOfConnectionsAtDirectory guards against control processes that answer neither look-ups nor engines while many
// clients hold connections to the directory addresses of all of them.
func TestCrowdOfConnectionsAtDirectory(t *testing.T) {
	runConnectionCrowds(t, "control-0", "POST /ochrebay/resolve",
		func(f *platformFleet) []string {
			return []string{f.addresses["directory-0"], f.addresses["directory-1"], f.addresses["directory-2"]}
		},
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.addresses["directory-0"]+"/ochrebay/resolve?name=h&region=r&zone=z0")
		})
}

// TestCrowdOfConnectionsAtMonitoring guards against a control process that answers neither engines nor its peers while
// many clients hold connections to its monitoring address.
func TestCrowdOfConnectionsAtMonitoring(t *testing.T) {
	runConnectionCrowds(t, "control-0", "GET /metrics",
		func(f *platformFleet) []string { return []string{f.addresses["http-control-0"]} },
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.addresses["http-control-0"]+"/metrics")
		})
}

// TestCrowdOfConnectionsAtPeers guards against a ledger host that answers no peer and no gateway while many clients
// hold connections to the address of the inner protocol.
func TestCrowdOfConnectionsAtPeers(t *testing.T) {
	runConnectionCrowds(t, "ledger-0", "POST /",
		func(f *platformFleet) []string { return []string{f.addresses["ledger-0"]} },
		func(f *platformFleet, situation string) {
			f.expectAnswer(situation, "http://"+f.addresses["http-ledger-0"]+"/metrics")
		})
}
