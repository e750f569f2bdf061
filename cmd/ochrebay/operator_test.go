package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBrokenAnswersToOperators guards against an operator's command that prints, or acts on, a response with an invalid
// head or a part of a response.
func TestBrokenAnswersToOperators(t *testing.T) {
	const body = `{"programs":[]}`
	fetch := func(head, sent string) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, head+"\r\n"+sent)
			}
		}()
		content, _, err := httpRequest(http.MethodPost, "http://"+listener.Addr().String()+"/v1", []byte("in"), operatorTimeout)
		return string(content), err
	}
	Convey("a whole answer is read", t, func() {
		content, err := fetch(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body)), body)
		So(err, ShouldBeNil)
		So(content, ShouldEqual, body)
	})
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n",
	} {
		Convey(fmt.Sprintf("%q is an error", head), t, func() {
			_, err := fetch(head, body)
			So(err, ShouldNotBeNil)
		})
	}
}
