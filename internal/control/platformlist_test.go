package control

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const usableInstance = `{"name":"e1","zone":"z","address":"10.0.0.1:1","pool":"p","leaving":true}`

func TestPlatformList(t *testing.T) {
	want := membership.Instance{Name: "e1", Zone: "z", Address: "10.0.0.1:1", Pool: "p", Leaving: true}
	Convey("unusable entries are skipped and counted, and the remaining entries are returned", t, func() {
		for _, unusableEntry := range []string{`null`, `7`, `"e"`, `[]`, `{}`, `{"name":7}`, `{"name":"e2","zone":"z","address":"a:1"}`, `{"name":"e2","zone":"z","address":"a:1","pool":"p","leaving":"no"}`} {
			instances, unusable, err := parseInstances([]byte(`{"instances":[` + unusableEntry + `,` + usableInstance + `]}`))
			So(err, ShouldBeNil)
			So(unusable, ShouldEqual, 1)
			So(instances, ShouldResemble, []membership.Instance{want})
		}
	})
	Convey("a body that is no list is an error and not an empty list", t, func() {
		for _, body := range []string{``, `[]`, `{"instances":[` + usableInstance, `{"instances":7}`} {
			_, _, err := parseInstances([]byte(body))
			So(err, ShouldNotBeNil)
		}
	})
}

// FuzzPlatformList checks that no input makes the decoder panic or return an instance that lacks a
// required field.
func FuzzPlatformList(f *testing.F) {
	f.Add([]byte(`{"instances":[` + usableInstance + `,{},null,7]}`))
	f.Add([]byte(`{"instances":[` + usableInstance))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, body []byte) {
		instances, _, err := parseInstances(body)
		for _, instance := range instances {
			if err != nil || instance.Name == "" || instance.Zone == "" || instance.Address == "" || instance.Pool == "" {
				t.Fatalf("unusable instance %+v was returned (%v)", instance, err)
			}
		}
	})
}

// TestPlatformListOfABrokenAnswer guards against an answer of the platform that has an invalid head, is a failure, or has no
// end, and that replaces the list of instances.
func TestPlatformListOfABrokenAnswer(t *testing.T) {
	const list = `{"instances":[` + usableInstance + `]}`
	fetch := func(answer func(connection net.Conn)) ([]membership.Instance, error) {
		platform, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer platform.Close()
		go func() {
			connection, err := platform.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			answer(connection)
		}()
		client := &http.Client{Transport: upstream.NewTransport(platformTimeout)}
		instances, _, err := fetchInstances(client, platform.Addr().String())
		return instances, err
	}
	Convey("a whole list is read", t, func() {
		instances, err := fetch(func(connection net.Conn) { _, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n"+list) })
		So(err, ShouldBeNil)
		So(len(instances), ShouldEqual, 1)
	})
	for _, head := range []string{
		"HTTP/1.1 500 Internal Server Error\r\n", "HTTP/1.1 404 Not Found\r\n", "HTTP/1.1 000 OK\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 200 OK\r\nX A: b\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 99\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n",
	} {
		Convey(fmt.Sprintf("%q is an error", head), t, func() {
			for _, body := range []string{list, `{"error":{}}`} {
				_, err := fetch(func(connection net.Conn) { _, _ = io.WriteString(connection, head+"\r\n"+body) })
				So(err, ShouldNotBeNil)
			}
		})
	}
	Convey("a list without end is read up to its bound", t, func() {
		sent := 0
		done := make(chan struct{})
		_, err := fetch(func(connection net.Conn) {
			defer close(done)
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n{\"instances\":[")
			chunk := []byte(strings.Repeat(usableInstance+",", 1<<10))
			for sent < 8*maxInstanceListBytes {
				written, err := connection.Write(chunk)
				sent += written
				if err != nil {
					return
				}
			}
		})
		<-done
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "more than")
		So(sent, ShouldBeLessThan, 4*maxInstanceListBytes)
	})
}
