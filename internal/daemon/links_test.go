package daemon

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// testTimeout bounds every wait of these tests, so that a failing test ends.
const testTimeout = 60 * time.Second

func TestLinks(t *testing.T) {
	Convey("a peer that starts to listen only after the first message was sent is reached", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		links := NewLinks(func(string) string { return address }, func(string) time.Duration { return 0 })
		defer links.Close()
		links.Send("peer", protocol.KindPeer, protocol.PeerBatch{From: "before the peer listens"})
		received := make(chan string, 1024)
		server, err := protocol.Listen(address, func(_ *protocol.Connection, frame protocol.Frame) {
			var batch protocol.PeerBatch
			if protocol.Decode(frame.Body, &batch) == nil {
				received <- batch.From
			}
		})
		So(err, ShouldBeNil)
		defer server.Close()
		deadline := time.After(testTimeout)
		for number := 0; ; number++ {
			links.Send("peer", protocol.KindPeer, protocol.PeerBatch{From: "again"})
			select {
			case from := <-received:
				So(from, ShouldNotBeBlank)
				return
			case <-deadline:
				So("no message received", ShouldBeEmpty)
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	Convey("a regular message arrives although the peer has stopped reading bulk messages", t, func() {
		received := make(chan string, 16)
		stalled := make(chan struct{})
		server, err := protocol.Listen("127.0.0.1:0", func(_ *protocol.Connection, frame protocol.Frame) {
			var batch protocol.PeerBatch
			if protocol.Decode(frame.Body, &batch) != nil {
				return
			}
			received <- batch.From
			if batch.From == "bulk" {
				<-stalled
			}
		})
		So(err, ShouldBeNil)
		defer server.Close()
		defer close(stalled)
		links := NewLinks(func(string) string { return server.Address() }, func(string) time.Duration { return 0 })
		defer links.Close()
		receive := func() string {
			select {
			case from := <-received:
				return from
			case <-time.After(testTimeout):
				return "nothing"
			}
		}
		links.SendBulk("peer", protocol.KindPeer, protocol.PeerBatch{From: "bulk"})
		So(receive(), ShouldEqual, "bulk")
		links.SendBulk("peer", protocol.KindPeer, protocol.PeerBatch{From: "bulk"})
		links.Send("peer", protocol.KindPeer, protocol.PeerBatch{From: "heartbeat"})
		So(receive(), ShouldEqual, "heartbeat")
	})
	Convey("a call to an unresponsive process times out, and the next call, to which the process responds, succeeds", t, func() {
		calls := make(chan struct{}, 16)
		server, err := protocol.Listen("127.0.0.1:0", func(connection *protocol.Connection, frame protocol.Frame) {
			calls <- struct{}{}
			if len(calls) > 1 {
				_ = connection.Reply(frame.Call, protocol.KindResponse, &protocol.TurnReply{Leader: "x"}, true)
			}
		})
		So(err, ShouldBeNil)
		defer server.Close()
		client := NewClient()
		defer client.Close()
		var reply protocol.TurnReply
		request := &protocol.TurnRequest{HistoryOf: "a"}
		So(client.CallWithTimeout(t.Context(), 50*time.Millisecond, server.Address(), protocol.KindTurn, request, &reply), ShouldNotBeNil)
		So(client.CallWithTimeout(t.Context(), testTimeout, server.Address(), protocol.KindTurn, request, &reply), ShouldBeNil)
		So(reply.Leader, ShouldEqual, "x")
	})
}
