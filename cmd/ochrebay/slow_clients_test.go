package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowRequest is a request inside the limits that arrives slowly.
type slowRequest struct {
	target string
	body   string
	// isChunked is true for a body in chunks of pieceBytes.
	isChunked bool
	// pieceBytes is sent at once, and pause passes between two pieces.
	pieceBytes int
	pause      time.Duration
}

// send sends the request and returns the status of the response, 0 if there is none.
func (r slowRequest) send(address string) (status int, response string) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err.Error()
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(waitTimeout))
	framing := fmt.Sprintf("Content-Length: %d", len(r.body))
	if r.isChunked {
		framing = "Transfer-Encoding: chunked"
	}
	number := requestNumber.Add(1)
	_, _ = fmt.Fprintf(connection, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: req-%d\r\nProgram-Id: slow-%d\r\nSession-Id: s\r\nToken-Usage: 10,50\r\nToken-Budget: 10000\r\nDeadline-Ms: 28000\r\n%s\r\n\r\n",
		r.target, testHost, number, number, framing)
	for rest := r.body; rest != ""; {
		piece := rest[:min(r.pieceBytes, len(rest))]
		rest = rest[len(piece):]
		if r.isChunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(connection, piece); err != nil {
			break
		}
		if rest != "" {
			time.Sleep(r.pause)
		}
	}
	if r.isChunked {
		_, _ = io.WriteString(connection, "0\r\n\r\n")
	}
	reply, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer reply.Body.Close()
	raw, err := io.ReadAll(reply.Body)
	if err != nil {
		return 0, err.Error()
	}
	return reply.StatusCode, string(raw)
}

// TestSlowClientsInsideTheLimits guards against a bound on bodies that refuses or cuts off clients inside the limits in
// calm: large bodies on a slow link, long pauses between pieces, large configurations that arrive in parts.
func TestSlowClientsInsideTheLimits(t *testing.T) {
	f := startCrowdFleet(t, 0)
	large := strings.Repeat("x", legalBodyBytes)
	atGateway := []slowRequest{
		{target: "POST /kept/", body: large, pieceBytes: 64 << 10, pause: 30 * time.Millisecond},
		{target: "POST /unsafe/", body: large, pieceBytes: 64 << 10, pause: 30 * time.Millisecond, isChunked: true},
		{target: "POST /stream/", body: strings.Repeat("x", 1000), pieceBytes: 500, pause: 6 * time.Second},
		{target: "POST /safe/", body: strings.Repeat("x", 1000), pieceBytes: 500, pause: 6 * time.Second, isChunked: true},
		{target: "POST /unsafe/", body: strings.Repeat("x", 300), pieceBytes: 1, pause: 10 * time.Millisecond},
		{target: "POST /kept/", body: strings.Repeat("x", 1<<20), pieceBytes: 256 << 10, pause: 2 * time.Second},
	}
	configuration := strings.Replace(legalConfiguration(2), `"kept":true`, `"kept":"`+strings.Repeat("x", 1<<20)+`"`, 1)
	heartbeat := heartbeatBody(f.engine.address, "ready", 1)
	atControl := []slowRequest{
		{target: "POST /ochrebay/Config.Replace", body: configuration, pieceBytes: len(configuration)/2 + 1, pause: 5 * time.Second},
		{target: "POST /ochrebay/Instances.Heartbeat/" + f.engine.id, body: heartbeat, pieceBytes: len(heartbeat)/2 + 1, pause: 3 * time.Second},
	}
	var sending sync.WaitGroup
	for address, requests := range map[string][]slowRequest{f.addresses["gateway-0"]: atGateway, f.operators[0]: atControl} {
		for _, request := range requests {
			sending.Go(func() {
				if status, response := request.send(address); status != http.StatusOK {
					t.Errorf("%s, %d bytes in pieces of %d every %s: %d %s", request.target, len(request.body), request.pieceBytes, request.pause, status, response)
				}
			})
		}
	}
	sending.Wait()
}
