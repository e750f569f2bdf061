package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/upstream"
)

// headFixture is a gateway with one engine, whose responses are altered before they are sent.
type headFixture struct {
	*rawFixture
	responses map[string]rawResponse
}

const (
	idField        = "Ochrebay-Request:"
	signatureField = "Ochrebay-Signature:"
	typeField      = "Content-Type:"
)

func newHeadFixture(t *testing.T) *headFixture {
	text := wholeResponse(upstream.FramedByLength, "the engine's text")
	text.contentType = "text/plain"
	stream := wholeResponse(upstream.FramedByLength, eventsOf(1, 2))
	return &headFixture{rawFixture: newRawFixture(t), responses: map[string]rawResponse{
		"/safe/": text, "/unsafe/": text, "/stream/": stream, "/resumable/": stream, "/kept/": stream,
	}}
}

// smuggled appends a response with the ID of the request to a head that has no body by its framing.
func smuggled(head string) func(whole string) string {
	return func(whole string) string { return head + "\r\n\r\n" + whole }
}

func replaced(old, replacement string) func(whole string) string {
	return func(whole string) string { return strings.Replace(whole, old, replacement, 1) }
}

// check sends a request whose response is altered, and returns how the result falls short of a broken attempt, "" if it
// does not. A sound request follows, which must be answered on another connection.
func (f *headFixture) check(path string, alter func(whole string) string) string {
	response := f.responses[path]
	response.alter = alter
	result := f.request(path, response)
	isStream := path != "/safe/" && path != "/unsafe/"
	switch {
	case result.err != nil:
		return "broken off although nothing was passed on: " + result.err.Error()
	case result.status != http.StatusBadGateway || result.isServed:
		return fmt.Sprintf("status %d with %q", result.status, result.body)
	case !strings.Contains(result.body, `"outcome":"unknown"`):
		return "a failure without an unknown outcome: " + result.body
	case !result.isEngineSuspect:
		return "not counted as a failure of the engine"
	case isStream && f.ledger.awaitSettle(result.id).Settle.Retain:
		return "its turn was retained"
	}
	return f.checkSound(path, f.responses[path])
}

// checkSound sends a request that has to be served as the engine responds, and returns how it is not, "" if it is.
func (f *headFixture) checkSound(path string, response rawResponse) string {
	opened := f.gateway.pool.ConnectionsOpened.Load()
	result := f.request(path, response)
	if !result.isServed || result.err != nil || result.body != response.body {
		return fmt.Sprintf("a sound response is answered with status %d, %q, %v", result.status, result.body, result.err)
	}
	if f.gateway.pool.ConnectionsOpened.Load() != opened+1 {
		return "the connection of a response with an invalid head is used again"
	}
	return ""
}

// TestInvalidStatusLines guards against a response with an invalid status, or of another protocol, that a caller gets as
// an answer, and against one whose body is read as the next response.
func TestInvalidStatusLines(t *testing.T) {
	for _, path := range routePaths {
		Convey("on route "+path, t, func() {
			fixture := newHeadFixture(t)
			for _, statusLine := range []string{
				"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
				"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2e2 OK", "HTTP/1.1 101 Switching Protocols",
				"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x7f",
			} {
				violation := fixture.check(path, replaced("HTTP/1.1 200 OK", statusLine))
				So(fmt.Sprintf("%q: %s", statusLine, violation), ShouldEndWith, ": ")
				violation = fixture.check(path, smuggled(statusLine))
				So(fmt.Sprintf("%q before a response: %s", statusLine, violation), ShouldEndWith, ": ")
			}
		})
	}
}

// TestInvalidFieldLines guards against a response whose head has an invalid name of a field, and that a caller gets as an
// answer, without that line or with a body that is not the engine's.
func TestInvalidFieldLines(t *testing.T) {
	for _, path := range routePaths {
		Convey("on route "+path, t, func() {
			fixture := newHeadFixture(t)
			for _, line := range []string{
				"X A: b", "X-A : b", "X-A\t: b", "X\tA: b", " X-A", "X\x00A: b", "X\x01A: b", "X\x7fA: b", "X\rA: b", "X\xffA: b", "X(A): b", "\"X\": b", ": b", "X", "X-A: \x00", "X-A: \r",
				"Content-Length : 3", "Content Length: 3", "Content-Length\t: 3", "Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Ochrebay-Request : 1",
			} {
				violation := fixture.check(path, replaced("\r\n"+typeField, "\r\n"+line+"\r\n"+typeField))
				So(fmt.Sprintf("%q: %s", line, violation), ShouldEndWith, ": ")
			}
			for old, replacement := range map[string]string{
				idField: "Ochrebay-Request :", signatureField: "Ochrebay-Signature :", typeField: "Content Type:", "Content-Length:": "Content-Length :",
				"HTTP/1.1 200 OK\r\n": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
			} {
				violation := fixture.check(path, replaced(old, replacement))
				So(fmt.Sprintf("%q in place of %q: %s", replacement, old, violation), ShouldEndWith, ": ")
			}
			for _, head := range []string{"HTTP/1.1 103 Early Hints\r\nContent-Length: 3", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked"} {
				violation := fixture.check(path, smuggled(head))
				So(fmt.Sprintf("%q before a response: %s", head, violation), ShouldEndWith, ": ")
			}
		})
	}
}

// TestUnusualHeadsPass guards against a check of heads that rejects what RFC 9112 allows, or lets a recipient read.
func TestUnusualHeadsPass(t *testing.T) {
	for _, path := range routePaths {
		Convey("on route "+path, t, func() {
			fixture := newHeadFixture(t)
			longValue := strings.Repeat("v", 24<<10)
			for _, change := range [][2]string{
				{"HTTP/1.1 200 OK", "HTTP/1.1 200"}, {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"}, {"HTTP/1.1 ", "HTTP/1.2 "},
				{" OK\r\n", " \xc3\x84 \xff\tok\r\n"}, {idField + " ", idField + "\r\n\t"}, {typeField, "X-Folded: a\r\n b\r\n\tc\r\n" + typeField},
				{typeField, "X-Long: " + longValue + "\r\n!#$%&'*+-.^_`|~:\r\n" + typeField}, {signatureField, "X-High: \xff\xfe\r\n" + signatureField},
				{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"},
			} {
				old, replacement := change[0], change[1]
				response := fixture.responses[path]
				response.alter = replaced(old, replacement)
				result := fixture.request(path, response)
				So(fmt.Sprintf("%q in place of %q: %d %q %t", replacement, old, result.status, result.body, result.isServed), ShouldEndWith, fmt.Sprintf(": 200 %q true", response.body))
			}
		})
	}
}

// TestInvalidHeadsProperty guards against a byte at any place of a head that no head may contain there, and with which a
// caller gets an answer.
func TestInvalidHeadsProperty(t *testing.T) {
	fixture := newHeadFixture(t)
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom(routePaths).Draw(rt, "path")
		isInName := rapid.Bool().Draw(rt, "in a name")
		wrong := rapid.SampledFrom([]string{"\x00", "\x01", "\x08", "\x0b", "\x1f", "\x7f", "\r."}).Draw(rt, "byte")
		if isInName {
			wrong = rapid.SampledFrom([]string{wrong, " ", "\t", "/", "(", "@", "\x80", "\xff"}).Draw(rt, "byte of a name")
		}
		place := rapid.IntRange(0, 1<<10).Draw(rt, "place")
		field := rapid.SampledFrom([]string{idField, signatureField, typeField, "Content-Length:"}).Draw(rt, "field")
		alter := func(whole string) string {
			at := place % (strings.Index(whole, "\r\n\r\n") + 1)
			if isInName {
				// A blank before the name would make the line a folded one.
				at = strings.Index(whole, field) + 1 + place%(len(field)-1)
			}
			return whole[:at] + wrong + whole[at:]
		}
		if violation := fixture.check(path, alter); violation != "" {
			rt.Fatal(violation)
		}
	})
}
