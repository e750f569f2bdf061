package responsehead

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCheck guards against bytes that are taken for the head of a response although they are none, and against heads
// that RFC 9112 allows, or lets a recipient read, and that are rejected.
func TestCheck(t *testing.T) {
	for head, isValid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                                    true,
		"HTTP/1.1 200\r\n\r\n":                                                       true,
		"HTTP/1.1 200 \r\n\r\n":                                                      true,
		"HTTP/1.1  200 OK\r\n\r\n":                                                   true,
		"HTTP/1.0 404 Not Found\r\nServer: a\r\n\r\n":                                true,
		"HTTP/1.2 200 OK\r\n\r\n":                                                    true,
		"HTTP/1.1 599 \xe4\tb\r\n\r\n":                                               true,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n":                             true,
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n":                         true,
		"HTTP/1.1 200 OK\nA: b\n\n":                                                  true,
		"HTTP/1.1 200 OK\r\nA:\r\n!#$%&'*+-.^_`|~09azAZ:\tb\xff\t\r\n\r\n":           true,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\n  \r\nE: f\r\n\r\n":                 true,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n": true,
		"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n":                               true,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n":                             true,
		"HTTP/1.1 000 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 099 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 600 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 999 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 +20 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 20 OK\r\n\r\n":                                                     false,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                   false,
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                    false,
		"HTTP/1.1 \xb2\xb2\xb2 OK\r\n\r\n":                                           false,
		"HTTP/1.1 OK\r\n\r\n":                                                        false,
		"HTTP/1.1\r\n\r\n":                                                           false,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                   false,
		"HTTP/0.9 200 OK\r\n\r\n":                                                    false,
		"HTTP/2.0 200 OK\r\n\r\n":                                                    false,
		"HTTP/9.9 200 OK\r\n\r\n":                                                    false,
		"HTTP/1.10 200 OK\r\n\r\n":                                                   false,
		"HTTP/1. 200 OK\r\n\r\n":                                                     false,
		"http/1.1 200 OK\r\n\r\n":                                                    false,
		" HTTP/1.1 200 OK\r\n\r\n":                                                   false,
		"\r\n\r\n":                                                                   false,
		"HTTP/1.1 200 O\x00K\r\n\r\n":                                                false,
		"HTTP/1.1 200 O\rK\r\n\r\n":                                                  false,
		"HTTP/1.1 200 O\x7fK\r\n\r\n":                                                false,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 1<<14) + "\r\n\r\n":           true,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n c\r\n", 1<<10) + "A: b\n\n": true,
	} {
		Convey(fmt.Sprintf("%.80q of %d bytes", head, len(head)), t, func() {
			err := Check([]byte(head))
			So(err == nil, ShouldEqual, isValid)
			So(err == nil || errors.Is(err, ErrInvalid), ShouldBeTrue)
		})
	}
}

// FuzzCheck guards against a head that makes Check fail otherwise than with ErrInvalid.
func FuzzCheck(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if err := Check(head); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatal(err)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nOchrebay-Request: 0123456789abcdef\r\nOchrebay-Signature: engine-17\r\nDate: Mon, 07 Dec 2026 00:00:00 GMT\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		_ = Check(head)
	}
}
