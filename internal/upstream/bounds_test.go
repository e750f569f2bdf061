package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndlessResponses guards against a head, or a response to another request, that is read without end: for
// requests and for probes.
func TestEndlessResponses(t *testing.T) {
	// endlessTotalBytes ends what is read only without the bounds.
	const endlessTotalBytes = 16 << 20
	const stray = "HTTP/1.1 200 OK\r\nId: other\r\n"
	// newPool returns a pool whose engine sends endless bytes, after a response to a first request if isIdle is set.
	newPool := func(beginning, repeated string, isIdle bool, sent *atomic.Int64) *Pool {
		pool := NewPool()
		pool.DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				buffer := make([]byte, readBufferBytes)
				_, _ = far.Read(buffer)
				if isIdle {
					writeText(far, fullResponse("1", ""))
					_, _ = far.Read(buffer)
				}
				chunk := beginning
				for {
					written, err := io.WriteString(far, chunk)
					sent.Add(int64(written))
					if err != nil || sent.Load() > endlessTotalBytes {
						return
					}
					chunk = strings.Repeat(repeated, readBufferBytes/len(repeated)+1)
				}
			}()
			return near, nil
		}
		return pool
	}
	for name, kind := range map[string][2]string{
		"a status line":                          {"HTTP/1.1 200 ", "OK"},
		"no HTTP":                                {"", "x"},
		"header lines":                           {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X: y\r\n"},
		"a header line":                          {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", "y"},
		"interim responses":                      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"a response to another request":          {stray + "Content-Length: 99999999999\r\n\r\n", "x"},
		"a response to another one in chunks":    {stray + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"trailers of a response to another one":  {stray + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"the head of a response after another's": {stray + "Content-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		Convey(name, t, func() {
			const maxSentBytes = maxResponseHeads*(maxHeadBytes+maxStrayBodyBytes) + readBufferBytes
			var sent atomic.Int64
			_, err := newPool(kind[0], kind[1], false, &sent).Do(context.Background(), "engine", newRequest("1"))
			So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
			So(sent.Load(), ShouldBeLessThan, maxSentBytes)
			if strings.Contains(name, "another") {
				return
			}
			sent.Store(0)
			pool := newPool(kind[0], kind[1], true, &sent)
			exchange, err := pool.Do(context.Background(), "engine", newRequest("1"))
			So(err, ShouldBeNil)
			_, _ = io.Copy(io.Discard, exchange)
			// A pipe can't be peeked at, so that it is never kept idle by itself.
			pool.release("engine", exchange.connection)
			probe := &Request{Method: "GET", URI: "/status", Host: "h", Header: http.Header{}, IDHeader: "Id"}
			_, err = pool.exchange(context.Background(), "engine", exchange.connection, probe)
			So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
			So(sent.Load(), ShouldBeLessThan, maxSentBytes)
		})
	}
	Convey("a head as long as allowed passes", t, func() {
		field := "X: " + strings.Repeat("y", maxHeadBytes-len("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nX: \r\n\r\n"))
		engine := newFakeEngine(t, func(connection net.Conn, _ *http.Request, _ int) bool {
			writeText(connection, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n%s\r\n\r\n", field))
			return true
		})
		_, err := fetch(NewPool(), engine.address(), "1")
		So(err, ShouldBeNil)
	})
}
