package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/result"
)

// streamCaller opens streams one after the other and takes them up when they break off. It keeps its
// connections until the gateway closes them or is gone.
type streamCaller struct {
	soak      *streamSoak
	random    *rand.Rand
	transport *http.Transport
	// gateways are those to which requests are sent.
	gateways []string
}

// streamProgress is what a caller has received of one stream.
type streamProgress struct {
	program string
	// first is the request that brought the first event, and version the software version of it.
	first, version string
	lastEvent      int
	startedAt      time.Time
}

// streamEnd is how one request of a stream ended.
type streamEnd int

const (
	// endBroken means that the stream may be taken up.
	endBroken streamEnd = iota
	// endComplete means that the last event has arrived.
	endComplete
	// endRejected means that the stream can't go on.
	endRejected
)

// runStream runs one stream to its end, its rejection or its deadline.
func (c *streamCaller) runStream() {
	progress := &streamProgress{program: fmt.Sprintf("program-%d", c.soak.requests.Add(1)), startedAt: time.Now()}
	for range maxRequestsPerStream {
		if time.Since(progress.startedAt) >= streamDeadline {
			return
		}
		switch c.request(progress) {
		case endComplete:
			c.soak.complete.Add(1)
			return
		case endRejected:
			return
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
	}
}

// request sends one request of a stream to a random gateway. At random it gives the answer up after
// some events, or does not name the stream.
func (c *streamCaller) request(progress *streamProgress) streamEnd {
	id := fmt.Sprintf("stream-%d", c.soak.requests.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	gateway := c.gateways[c.random.IntN(len(c.gateways))]
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.soak.fleet.addresses[gateway]+"/resumable/", strings.NewReader(progress.program))
	if err != nil {
		c.soak.fleet.t.Error(err)
		return endRejected
	}
	for name, value := range headersOf(id, progress.program) {
		request.Header.Set(name, value)
	}
	request.Host = testHost
	request.Header.Set("Deadline-Ms", strconv.FormatInt(max((streamDeadline-time.Since(progress.startedAt)).Milliseconds(), 1), 10))
	isNamed := c.random.IntN(10) > 0
	if progress.lastEvent > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(progress.lastEvent))
		if isNamed {
			request.Header.Set("Resumes", progress.first)
		}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return endBroken
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return c.handleRejection(response, gateway, progress, id, isNamed)
	}
	if progress.lastEvent > 0 {
		c.soak.takenUp.Add(1)
	}
	givesUpAfter := streamEvents + 1
	if c.random.IntN(2) == 0 {
		givesUpAfter = progress.lastEvent + 1 + c.random.IntN(streamEvents/2)
	}
	return c.receive(response.Body, progress, id, givesUpAfter)
}

// handleRejection checks an error response. A stream whose first event has arrived is on record.
func (c *streamCaller) handleRejection(response *http.Response, gateway string, progress *streamProgress, id string, isNamed bool) streamEnd {
	var body result.Body
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return endBroken
	}
	switch body.Error.Code {
	case result.StreamUnknown:
		c.soak.unknown.Add(1)
		if isNamed && *soakOtherBinary == "" && time.Since(progress.startedAt) < streamDeadline {
			c.soak.addViolation("%s: stream %s of %s is not on record after event %d: %s", id, progress.first, progress.program, progress.lastEvent, body.Error.Message)
		}
		return endRejected
	case result.StreamUnavailable:
		c.soak.unavailable.Add(1)
		if c.soak.knownEngines(progress.version) >= minKnownEngines {
			c.soak.unavailableWrongly.Add(1)
			c.soak.fleet.t.Logf("%s: %s rejected stream %s of %s, which two engines serve: %s", id, gateway, progress.first, progress.version, body.Error.Message)
		}
		return endRejected
	case result.InvalidHeader, result.MalformedRequest:
		c.soak.addViolation("%s: rejected: %s", id, body.Error.Message)
		return endRejected
	}
	return endBroken
}

// receive reads events and checks that each follows the last one and has the version of the first.
func (c *streamCaller) receive(body io.Reader, progress *streamProgress, id string, givesUpAfter int) streamEnd {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err == io.EOF && progress.lastEvent != streamEvents {
				c.soak.addViolation("%s: the stream ended as complete after event %d", id, progress.lastEvent)
			}
			if err == io.EOF {
				return endComplete
			}
			return endBroken
		}
		data, isData := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !isData {
			continue
		}
		version, rest, _ := strings.Cut(data, "/")
		if progress.lastEvent == 0 {
			progress.first, progress.version = id, version
		}
		if expected := fmt.Sprintf("%s/%d", progress.program, progress.lastEvent+1); rest != expected {
			c.soak.addViolation("%s: event %q, expected %q", id, rest, expected)
		}
		if version != progress.version {
			c.soak.addViolation("%s: event %d of stream %s is of version %s, the first one was of %s", id, progress.lastEvent+1, progress.first, version, progress.version)
		}
		progress.lastEvent++
		if progress.lastEvent >= givesUpAfter {
			return endBroken
		}
	}
}

// takesUpAt begins a stream at any gateway, gives it up and takes it up at the given one. It returns
// whether the stream was of the version and came to its end there.
func (c *streamCaller) takesUpAt(gateway, version string) bool {
	progress := &streamProgress{program: fmt.Sprintf("program-%d", c.soak.requests.Add(1)), startedAt: time.Now()}
	if c.request(progress) != endBroken || progress.version != version {
		return false
	}
	c.gateways = []string{gateway}
	for range maxRequestsPerStream {
		if c.request(progress) == endComplete {
			return true
		}
		time.Sleep(pauseBetweenTries)
	}
	return false
}
