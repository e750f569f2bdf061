package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const refusalOfOne = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"

// TestLateCopyOfARefusal guards against a late copy of the refusal of a request that is taken for the refusal of
// its second send, which the engine runs.
func TestLateCopyOfARefusal(t *testing.T) {
	Convey("a request goes out once on a connection, while other requests go on using it", t, func() {
		var connections atomic.Int64
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, number int) bool {
			id := r.Header.Get("Id")
			switch {
			case id == "1" && connections.Add(1) == 1:
				writeText(connection, refusalOfOne)
			case number == 2:
				writeText(connection, refusalOfOne+fullResponse(id, "own"))
			default:
				writeText(connection, fullResponse(id, "own"))
			}
			return true
		})
		pool := NewPool()
		var strays []string
		pool.OnStrayResponse = func(_ string, request *Request, stray *http.Response) {
			strays = append(strays, request.ID+" "+stray.Status)
		}
		body, err := fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldBeEmpty)
		body, err = fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "own")
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 2)
		So(strays, ShouldBeEmpty)
		// The copy is still to come on one of the two connections. Neither request may take it for its own,
		// and its connection is not used again.
		for _, id := range []string{"2", "3", "4"} {
			body, err = fetch(pool, engine.address(), id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "own")
		}
		So(strays, ShouldResemble, []string{"2 503 Service Unavailable", "3 503 Service Unavailable"})
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 3)
	})
}

// TestResponsesThatBelongToNoRequest guards against a response without the ID of the request that is returned
// for it, and against one that is put together from two.
func TestResponsesThatBelongToNoRequest(t *testing.T) {
	for _, stray := range []string{
		"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nId: 0\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		Convey(fmt.Sprintf("%.24q is skipped, and its connection not used again", stray), t, func() {
			engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
				writeText(connection, stray+fullResponse(r.Header.Get("Id"), "own"))
				return true
			})
			pool := NewPool()
			for number := 1; number <= 2; number++ {
				body, err := fetch(pool, engine.address(), fmt.Sprint(number))
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "own")
				So(pool.ConnectionsOpened.Load(), ShouldEqual, number)
			}
		})
	}
	for _, beginning := range []string{
		"HTTP/1.1 421 Mis", "HTTP/1.1 421 Misdirected Request\r\nServer: ", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nServer: a", "HTTP/1.1 503 Service Unavailable\r\n",
		"HTTP/1.1 408 Request Timeout\r\n\r\n",
	} {
		Convey(fmt.Sprintf("%q before a response is no response", beginning), t, func() {
			engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
				writeText(connection, beginning+fullResponse(r.Header.Get("Id"), "own"))
				return true
			})
			_, err := fetch(NewPool(), engine.address(), "1")
			So(errors.Is(err, ErrNoResponse), ShouldBeTrue)
		})
	}
}

// TestRefusalsOpenFewConnections guards against a connection dialled for each refusal: a request is not sent
// again on the connection on which it was refused, but on another one that is open.
func TestRefusalsOpenFewConnections(t *testing.T) {
	Convey("requests that are refused again and again", t, func() {
		const workers, requestsOfWorker, sendsOfRequest = 16, 50, 6
		engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, _ int) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			writeText(connection, "HTTP/1.1 503 Service Unavailable\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		pool := NewPool()
		var waiting sync.WaitGroup
		for worker := range workers {
			waiting.Go(func() {
				for number := range requestsOfWorker * sendsOfRequest {
					_, _ = fetch(pool, engine.address(), fmt.Sprintf("%d-%d", worker, number/sendsOfRequest))
				}
			})
		}
		waiting.Wait()
		So(pool.ConnectionsOpened.Load()+pool.ConnectionsReused.Load(), ShouldEqual, workers*requestsOfWorker*sendsOfRequest)
		// Beside one connection for each request under way, idle ones are needed that have not had the request,
		// and maxConnectionRequests ends each connection some time.
		ended := workers * requestsOfWorker * sendsOfRequest / maxConnectionRequests
		So(pool.ConnectionsOpened.Load(), ShouldBeLessThanOrEqualTo, workers+sendsOfRequest+ended)
	})
}

// TestProbeTakesNoResponseOfARequest guards against a probe that takes the late response to an earlier request for
// its own, and against one that is sent with an ID: an engine that doesn't know it would run it.
func TestProbeTakesNoResponseOfARequest(t *testing.T) {
	for response, isAlive := range map[string]bool{"": true, "Id: 1\r\n": false} {
		Convey(fmt.Sprintf("a response with the header %q", response), t, func() {
			var probedWithID atomic.Bool
			engine := newFakeEngine(t, func(connection net.Conn, r *http.Request, number int) bool {
				if number == 1 {
					writeText(connection, fullResponse(r.Header.Get("Id"), "own"))
					return true
				}
				probedWithID.Store(r.Header.Get("Id") != "")
				writeText(connection, "HTTP/1.1 200 OK\r\n"+response+"Content-Length: 0\r\n\r\n")
				return false
			})
			pool := NewPool()
			_, err := fetch(pool, engine.address(), "1")
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			probe := &Request{Method: "GET", URI: "/status", Host: "h", Header: http.Header{}, IDHeader: "Id"}
			So(pool.Probe(ctx, engine.address(), time.Now(), probe), ShouldEqual, isAlive)
			So(probedWithID.Load(), ShouldBeFalse)
		})
	}
}
