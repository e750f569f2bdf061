package protocol

import (
	"bufio"
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// waiting is the size of the bodies that wait or are being written.
func (q *sendQueue) waiting() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.bytes
}

// connected returns a connection and the socket of its peer.
func connected() (*Connection, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	connection, err := Dial(listener.Addr().String(), 0, 0)
	So(err, ShouldBeNil)
	socket, err := listener.Accept()
	So(err, ShouldBeNil)
	return connection, socket
}

// TestSlowPeer holds that a peer which does not read can't fill the sender's memory: a
// ledger host of the court's site was killed over its memory while a link lost packets.
func TestSlowPeer(t *testing.T) {
	Convey("one-way messages to a peer that does not read are dropped beyond a bound, and flow again once it reads", t, func() {
		connection, socket := connected()
		defer connection.Close()
		defer socket.Close()
		body := make([]byte, 128<<10)
		dropped, sent := 0, 0
		// Socket buffers take some megabytes before the queue fills.
		for range 1000 {
			switch err := connection.SendRaw(KindPeer, body); {
			case err == nil:
				sent++
			case errors.Is(err, ErrQueueFull):
				dropped++
			default:
				So(err, ShouldBeNil)
			}
			So(connection.queue.waiting(), ShouldBeLessThanOrEqualTo, oneWayQueueBytes)
		}
		So(dropped, ShouldBeGreaterThan, 0)
		reader := bufio.NewReader(socket)
		for range sent {
			frame, err := ReadFrame(reader)
			So(err, ShouldBeNil)
			So(len(frame.Body), ShouldEqual, len(body))
		}
		So(connection.SendRaw(KindPeer, []byte("again")), ShouldBeNil)
		frame, err := ReadFrame(reader)
		So(err, ShouldBeNil)
		So(string(frame.Body), ShouldEqual, "again")
	})
	Convey("an idle connection holds little memory", t, func() {
		connection := newConnection(nil, 0)
		So(cap(connection.queue.frames), ShouldEqual, 0)
		So(readBufferBytes+keptBatchBytes, ShouldBeLessThanOrEqualTo, 16<<10)
	})
	Convey("a message above the bound goes out where nothing waits", t, func() {
		connection, socket := connected()
		defer connection.Close()
		defer socket.Close()
		So(connection.SendRaw(KindPeer, make([]byte, 2*oneWayQueueBytes)), ShouldBeNil)
		frame, err := ReadFrame(bufio.NewReader(socket))
		So(err, ShouldBeNil)
		So(len(frame.Body), ShouldEqual, 2*oneWayQueueBytes)
	})
}
