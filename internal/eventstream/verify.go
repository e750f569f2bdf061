package eventstream

import (
	"errors"
	"io"
)

// tailBytes is the length of the longest end of an event: a line end and a blank line, CR LF each.
const tailBytes = 4

// verifier passes a stream on and keeps its last bytes.
type verifier struct {
	stream io.Reader
	tail   []byte
}

// Verify returns a reader of the same bytes that returns ErrIncompleteEvent in place of io.EOF if the
// stream ends inside an event.
func Verify(stream io.Reader) io.Reader { return &verifier{stream: stream} }

// Read implements io.Reader.
func (v *verifier) Read(into []byte) (int, error) {
	count, err := v.stream.Read(into)
	v.tail = append(v.tail, into[max(count-tailBytes, 0):count]...)
	v.tail = v.tail[max(len(v.tail)-tailBytes, 0):]
	if errors.Is(err, io.EOF) && !endsEvent(v.tail) {
		err = ErrIncompleteEvent
	}
	return count, err
}

// endsEvent reports whether a stream with these last bytes, all of it if they are fewer than
// tailBytes, ends with an event.
func endsEvent(tail []byte) bool {
	if len(tail) == 0 {
		return true
	}
	last := len(tail) - 1
	before := tail[:last]
	switch {
	case tail[last] == '\r':
		// Without a CR before it, this may be a CR LF that was cut in two.
		return last > 0 && before[last-1] == '\r'
	case tail[last] != '\n':
		return false
	case last > 0 && before[last-1] == '\r':
		before = before[:last-1]
	}
	return len(before) == 0 || before[len(before)-1] == '\n' || before[len(before)-1] == '\r'
}
