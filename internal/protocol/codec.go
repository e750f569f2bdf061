// Package protocol is the inner protocol between ochrebay's own processes:
// msgpack messages in length-prefixed frames over TCP, with many calls at once
// on a connection (design section 3). It holds the message types, the codec and
// the transport, and no decision.
package protocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes bounds one frame; a longer one ends the connection.
const MaxFrameBytes = 256 << 20

const (
	lengthBytes = 4
	// wholeFrameBytes is the length up to which memory is taken for a frame before its
	// bytes have arrived.
	wholeFrameBytes = 64 << 10
)

// ErrFrameTooLong means that a peer announced a frame over MaxFrameBytes.
var ErrFrameTooLong = errors.New("protocol: frame over the limit")

// Frame is one message of one call on a connection.
type Frame struct {
	// Call numbers the call on this connection; zero is for one-way messages.
	Call uint64
	Kind Kind
	// Last marks the final frame of a call.
	Last bool
	// Body is the encoded message.
	Body []byte
}

var encoders = sync.Pool{New: func() any {
	encoder := msgpack.NewEncoder(nil)
	encoder.UseCompactInts(true)
	return encoder
}}

// Encode returns a message in the inner protocol's encoding.
func Encode(message any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := encoders.Get().(*msgpack.Encoder)
	defer encoders.Put(encoder)
	encoder.ResetWriter(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode reads a message; it returns an error, never panics, on any input.
func Decode(body []byte, message any) error {
	return msgpack.Unmarshal(body, message)
}

// AppendFrame appends a frame in its wire form: length, call, kind, last, body.
func AppendFrame(buffer []byte, frame Frame) []byte {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer = binary.AppendUvarint(buffer, frame.Call)
	buffer = append(buffer, byte(frame.Kind), boolByte(frame.Last))
	buffer = append(buffer, frame.Body...)
	binary.BigEndian.PutUint32(buffer[start:], uint32(len(buffer)-start-lengthBytes))
	return buffer
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// ReadFrame reads one frame.
func ReadFrame(reader io.Reader) (Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxFrameBytes {
		return Frame{}, ErrFrameTooLong
	}
	if size <= wholeFrameBytes {
		body := make([]byte, size)
		if _, err := io.ReadFull(reader, body); err != nil {
			return Frame{}, err
		}
		return ParseFrame(body)
	}
	// The buffer grows with what arrives, so that a length alone costs nothing.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, reader, int64(size)); err != nil {
		return Frame{}, err
	}
	return ParseFrame(body.Bytes())
}

// ParseFrame reads a frame from its wire form without the length.
func ParseFrame(raw []byte) (Frame, error) {
	call, used := binary.Uvarint(raw)
	if used <= 0 || len(raw) < used+2 {
		return Frame{}, io.ErrUnexpectedEOF
	}
	return Frame{Call: call, Kind: Kind(raw[used]), Last: raw[used+1] == 1, Body: raw[used+2:]}, nil
}
