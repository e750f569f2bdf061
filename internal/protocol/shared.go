package protocol

import "github.com/vmihailenco/msgpack/v5"

// Shared is a part of a message that is sent to many receivers. It is encoded only once,
// however many messages contain it. The value must not change after the first encoding, and
// only one goroutine at a time may encode it.
type Shared[T any] struct {
	Value   T
	encoded msgpack.RawMessage
}

// NewShared returns a shared part with the given value.
func NewShared[T any](value T) *Shared[T] { return &Shared[T]{Value: value} }

// EncodeMsgpack writes the cached encoding of the value.
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

// DecodeMsgpack decodes the value.
func (s *Shared[T]) DecodeMsgpack(decoder *msgpack.Decoder) error {
	return decoder.Decode(&s.Value)
}
