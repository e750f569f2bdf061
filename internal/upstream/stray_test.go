package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

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
		body, err := fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldBeEmpty)
		body, err = fetch(pool, engine.address(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "own")
		So(pool.ConnectionsOpened.Load(), ShouldEqual, 2)
		// The copy is still to come on one of the two connections. Neither request may take it for its own,
		// and its connection is not used again.
		for _, id := range []string{"2", "3", "4"} {
			body, err = fetch(pool, engine.address(), id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "own")
		}
	})
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
