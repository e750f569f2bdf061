package protocol

import (
	"bufio"
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// pendingBytes returns the total size of the bodies that are queued or being written.
func (q *sendQueue) pendingBytes() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.bodyBytes
}

// dialPair returns a connection and the socket of its peer.
func dialPair() (*Connection, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	connection, err := Dial(listener.Addr().String(), 0, 0)
	So(err, ShouldBeNil)
	socket, err := listener.Accept()
	So(err, ShouldBeNil)
	return connection, socket
}

// TestSlowPeer checks that a peer that does not read can't exhaust the sender's memory. A ledger
// host was killed for its memory use while a link lost packets.
func TestSlowPeer(t *testing.T) {
	Convey("one-way messages to a peer that does not read are dropped beyond a bound, and further ones are sent once it reads", t, func() {
		connection, socket := dialPair()
		defer connection.Close()
		defer socket.Close()
		body := make([]byte, 128<<10)
		dropped, sent := 0, 0
		// Socket buffers absorb some megabytes before the queue fills.
		for range 1000 {
			switch err := connection.SendRaw(KindPeer, body); {
			case err == nil:
				sent++
			case errors.Is(err, ErrQueueFull):
				dropped++
			default:
				So(err, ShouldBeNil)
			}
			So(connection.queue.pendingBytes(), ShouldBeLessThanOrEqualTo, maxOneWayQueueBytes)
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
	Convey("an idle connection uses little memory", t, func() {
		connection := newConnection(nil, 0)
		So(cap(connection.queue.frames), ShouldEqual, 0)
		So(readBufferBytes+maxRetainedBatchBytes, ShouldBeLessThanOrEqualTo, 16<<10)
	})
	Convey("a message larger than the bound is sent if the queue is empty", t, func() {
		connection, socket := dialPair()
		defer connection.Close()
		defer socket.Close()
		So(connection.SendRaw(KindPeer, make([]byte, 2*maxOneWayQueueBytes)), ShouldBeNil)
		frame, err := ReadFrame(bufio.NewReader(socket))
		So(err, ShouldBeNil)
		So(len(frame.Body), ShouldEqual, 2*maxOneWayQueueBytes)
	})
}
