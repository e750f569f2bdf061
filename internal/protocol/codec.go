// Package protocol is the inner protocol between ochrebay's own processes:
// msgpack messages in length-prefixed frames over TCP, with concurrent calls on a connection
// (design section 3). It contains the message types, the codec and the transport, but no
// scheduling or control logic.
package protocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the maximum length of a frame; a longer one ends the connection.
const MaxFrameBytes = 256 << 20

const (
	lengthBytes = 4
	// maxPreallocatedBytes is the length up to which the memory for a frame is allocated before
	// its bytes have arrived.
	maxPreallocatedBytes = 64 << 10
	// messageOverheadBytes is the usual size of a message without its contents, and contents are encoded with at
	// most one part in contentOverheadDivisor more.
	messageOverheadBytes   = 512
	contentOverheadDivisor = 64
)

// ErrFrameTooLong means that a peer announced a frame longer than MaxFrameBytes.
var ErrFrameTooLong = errors.New("protocol: frame exceeds the maximum length")

// Frame is one message of one call on a connection.
type Frame struct {
	// Call is the number of the call on this connection, zero for one-way messages.
	Call uint64
	Kind Kind
	// Last marks the final frame of a call.
	Last bool
	// Body is the encoded message.
	Body []byte
	// memory is what the frame holds of the memory for frames, nil for nothing.
	memory *frameMemory
}

// Retain keeps the memory that the frame holds until the returned function is called, which is to be called once.
// Otherwise it is released when the handler of the frame returns.
func (f Frame) Retain() (release func()) {
	if f.memory == nil {
		return func() {}
	}
	f.memory.isRetained = true
	return f.memory.release
}

var encoderPool = sync.Pool{New: func() any {
	encoder := msgpack.NewEncoder(nil)
	encoder.UseCompactInts(true)
	return encoder
}}

// Sized is implemented by messages with contents that may be large.
type Sized interface {
	// ContentBytes returns the size of the contents.
	ContentBytes() int64
}

// Encode encodes a message for the inner protocol.
func Encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	if sized, ok := message.(Sized); ok {
		// A buffer that grows takes up to three times the memory of a large message meanwhile.
		content := int(sized.ContentBytes())
		buffer.Grow(content + content/contentOverheadDivisor + messageOverheadBytes)
	}
	encoder := encoderPool.Get().(*msgpack.Encoder)
	defer encoderPool.Put(encoder)
	encoder.ResetWriter(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode decodes a message. For invalid input it returns an error and never panics.
func Decode(body []byte, message any) error {
	return msgpack.Unmarshal(body, message)
}

// IsLarge reports whether the frame holds memory for frames.
func (f Frame) IsLarge() bool { return f.memory != nil }

// AppendFrame appends a frame in its wire form: length, call, kind, last, body.
func AppendFrame(buffer []byte, frame Frame) []byte {
	return append(appendFrameHeader(buffer, frame), frame.Body...)
}

// appendFrameHeader appends what precedes the body of a frame.
func appendFrameHeader(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer = binary.AppendUvarint(buffer, frame.Call)
	buffer = append(buffer, byte(frame.Kind), boolByte(frame.Last))
	binary.BigEndian.PutUint32(buffer[start:], uint32(len(buffer)-start-lengthBytes+len(frame.Body)))
	return buffer
}

func boolByte(condition bool) byte {
	if condition {
		return 1
	}
	return 0
}

// ReadFrame reads one frame.
func ReadFrame(reader io.Reader) (Frame, error) {
	size, err := readFrameLength(reader)
	if err != nil {
		return Frame{}, err
	}
	return readFrameBody(reader, size)
}

// readFrameLength reads the length that precedes a frame.
func readFrameLength(reader io.Reader) (uint32, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return 0, ErrFrameTooLong
	}
	return size, nil
}

// readFrameBody reads a frame whose length was read.
func readFrameBody(reader io.Reader, size uint32) (Frame, error) {
	if size <= maxPreallocatedBytes {
		body := make([]byte, size)
		if _, err := io.ReadFull(reader, body); err != nil {
			return Frame{}, err
		}
		return ParseFrame(body)
	}
	// The buffer doubles as bytes arrive, so that a peer that only announces a large frame causes
	// no large allocation.
	body := make([]byte, 0, maxPreallocatedBytes)
	for {
		count, err := io.ReadFull(reader, body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err != nil {
			return Frame{}, err
		}
		if len(body) == int(size) {
			return ParseFrame(body)
		}
		body = append(make([]byte, 0, min(2*cap(body), int(size))), body...)
	}
}

// ParseFrame parses a frame in its wire form without the length prefix.
func ParseFrame(raw []byte) (Frame, error) {
	call, used := binary.Uvarint(raw)
	if used <= 0 || len(raw) < used+2 {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return Frame{Call: call, Kind: Kind(raw[used]), Last: raw[used+1] == 1, Body: raw[used+2:]}, nil
}
