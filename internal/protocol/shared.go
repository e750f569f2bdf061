package protocol

import "github.com/vmihailenco/msgpack/v5"

// Shared is a part of a message that goes to many receivers: it is encoded once, however
// many messages carry it. The value must not change after the first encoding, and one
// goroutine at a time may encode.
type Shared[T any] struct {
	Value   T
	encoded msgpack.RawMessage
}

// NewShared returns a value to be sent to many.
func NewShared[T any](value T) *Shared[T] { return &Shared[T]{Value: value} }

// EncodeMsgpack writes the value's encoding.
func (s *Shared[T]) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if s.encoded == nil {
		encoded, err := Encode(&s.Value)
		if err != nil {
			return err
		}
		s.encoded = encoded
	}
	return encoder.Encode(s.encoded)
}

// DecodeMsgpack reads the value.
func (s *Shared[T]) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decoder.Decode(&s.Value)
}
