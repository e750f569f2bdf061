package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFrameMemoryProperty guards against a server that reads more large frames than it has memory for, and against
// frames that are not read, lost or changed because others are still being handled.
func TestFrameMemoryProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memoryBytes = 1 << 20
		var held, most atomic.Int64
		var handling sync.WaitGroup
		release := make(chan struct{}, 64)
		server, err := ListenWithin("127.0.0.1:0", Limits{Connections: 64, FrameMemory: NewFrameMemory(memoryBytes)}, func(connection *Connection, frame Frame) {
			size := int64(len(frame.Body))
			isLarge := frame.IsLarge()
			done := frame.Retain()
			if isLarge {
				most.Store(max(most.Load(), held.Add(size)))
			}
			handling.Go(func() {
				<-release
				if isLarge {
					held.Add(-size)
				}
				done()
				_ = connection.Reply(frame.Call, KindResponse, size, true)
			})
		})
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		calls := rapid.IntRange(1, 12).Draw(t, "calls")
		replies := make(chan int64, calls)
		expected := int64(0)
		for range calls {
			connection, err := Dial(server.Address(), 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer connection.Close()
			body := bytes.Repeat([]byte("b"), rapid.OneOf(rapid.IntRange(0, maxPreallocatedBytes/2), rapid.IntRange(maxPreallocatedBytes, memoryBytes)).Draw(t, "size"))
			expected += int64(len(body))
			kind := rapid.SampledFrom([]Kind{KindTurn, KindPeer}).Draw(t, "kind")
			connection.CallRaw(kind, body, func(frame Frame) {
				var size int64
				_ = Decode(frame.Body, &size)
				replies <- size
			})
		}
		for range calls {
			release <- struct{}{}
		}
		for range calls {
			select {
			case size := <-replies:
				expected -= size
			case <-time.After(testTimeout):
				t.Fatal("a frame was not handled")
			}
		}
		handling.Wait()
		if expected != 0 {
			t.Fatalf("%d bytes were lost", expected)
		}
		// Requests and messages of peers have memory of their own.
		if most.Load() > 2*(memoryBytes+maxPreallocatedBytes) {
			t.Fatalf("%d bytes were held of a memory of twice %d", most.Load(), memoryBytes)
		}
	})
}

// TestFramesBeyondMemoryWait guards against a server that reads a large frame although the memory is held by another one.
func TestFramesBeyondMemoryWait(t *testing.T) {
	const (
		frames = 6
		// settleTime lets a server that does not wait read further frames.
		settleTime = 200 * time.Millisecond
	)
	received := make(chan func(), frames)
	server, err := ListenWithin("127.0.0.1:0", Limits{Connections: 64, FrameMemory: NewFrameMemory(minMemoryBytes)}, func(_ *Connection, frame Frame) {
		received <- frame.Retain()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range frames {
		connection, err := Dial(server.Address(), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		connection.CallRaw(KindTurn, make([]byte, minMemoryBytes), func(Frame) {})
	}
	for number := range frames {
		select {
		case release := <-received:
			time.Sleep(settleTime)
			if more := len(received); more > 0 {
				t.Fatalf("%d frames more were read beside frame %d", more, number)
			}
			release()
		case <-time.After(testTimeout):
			t.Fatalf("frame %d was not read", number)
		}
	}
}

// TestFrameLongerThanMemory guards against a frame that is never read because it is longer than the memory for frames.
func TestFrameLongerThanMemory(t *testing.T) {
	received := make(chan int, 1)
	server, err := ListenWithin("127.0.0.1:0", Limits{Connections: 64, FrameMemory: NewFrameMemory(minMemoryBytes)}, func(_ *Connection, frame Frame) {
		received <- len(frame.Body)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	connection, err := Dial(server.Address(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if err := connection.SendRaw(KindPeer, make([]byte, 4*minMemoryBytes)); err != nil {
		t.Fatal(err)
	}
	select {
	case size := <-received:
		if size != 4*minMemoryBytes {
			t.Errorf("%d bytes", size)
		}
	case <-time.After(testTimeout):
		t.Error("the frame was not read")
	}
}

// TestUnsentFrameReturnsItsMemory guards against a peer that takes the memory for frames by announcing a frame that it
// does not send, for as long as its connection stays.
func TestUnsentFrameReturnsItsMemory(t *testing.T) {
	client, serverSide := net.Pipe()
	defer client.Close()
	reader := frameReader{socket: serverSide, reader: bufio.NewReader(serverSide), memory: NewFrameMemory(minMemoryBytes), ctx: t.Context()}
	ended := make(chan error, 1)
	go func() {
		_, err := reader.next()
		ended <- err
	}()
	header := appendFrameHeader(nil, Frame{Kind: KindTurn, Body: make([]byte, minMemoryBytes)})
	if _, err := client.Write(append(header, make([]byte, 100)...)); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, io.ErrUnexpectedEOF) && !isTimeout(err) {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the frame is awaited for ever")
	}
	if !reader.memory.requests.TryAcquire(minMemoryBytes) {
		t.Error("the memory was not returned")
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}
