// Package eventstream splits server-sent event streams (HTML standard, section 9.2.6) into events
// without changing their bytes. The end of a body alone does not tell whether its stream is whole: a
// stream that stops inside an event was broken off, however its body is framed.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
)

const readerBytes = 4 << 10

// ErrEventTooLong means that an event is longer than the bound on events, or that the memory for events is
// used up.
var ErrEventTooLong = errors.New("event too long")

// ErrIncompleteEvent means that a stream ended inside an event: after its last blank line there were
// further bytes.
var ErrIncompleteEvent = errors.New("event stream ended inside an event")

// IsEventStream reports whether a response with this header is an event stream.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// Reader reads a stream event by event.
type Reader struct {
	source *bufio.Reader
	block  []byte
	// maxEventBytes bounds one event, 0 for no bound. memory is reserved for block.
	maxEventBytes int
	memory        *bytebudget.Reservation
	// endsWithCR is true if the line before ended with a CR that no LF followed.
	endsWithCR bool
}

// NewReader returns a Reader of a stream.
func NewReader(stream io.Reader) *Reader {
	var unlimited *bytebudget.Budget
	return NewBoundedReader(stream, 0, unlimited)
}

// NewBoundedReader returns a Reader of a stream whose events are at most maxEventBytes long, and which keeps
// them in memory of a budget. It must be closed.
func NewBoundedReader(stream io.Reader, maxEventBytes int, budget *bytebudget.Budget) *Reader {
	return &Reader{source: bufio.NewReaderSize(stream, readerBytes), maxEventBytes: maxEventBytes, memory: budget.Reserve()}
}

// Close returns the memory of the Reader to its budget.
func (r *Reader) Close() { r.memory.Release() }

// Next returns the bytes of the next event with the blank line that ends it; they are valid until the
// next call. The error is io.EOF at the end of a whole stream, and ErrIncompleteEvent if the stream
// ends inside an event.
func (r *Reader) Next() ([]byte, error) {
	r.block = r.block[:0]
	for {
		lineStart := len(r.block)
		isBlank, err := r.readLine()
		if errors.Is(err, io.EOF) && len(r.block) > 0 {
			err = ErrIncompleteEvent
		}
		if err != nil {
			return nil, err
		}
		if isBlank && len(r.block) > lineStart {
			return r.block, nil
		}
	}
}

// IncompleteBytes returns how many bytes of an event were read that has not ended.
func (r *Reader) IncompleteBytes() int { return len(r.block) }

// readLine appends one line with its end to the block, and reports whether it is blank.
func (r *Reader) readLine() (isBlank bool, err error) {
	isBlank = true
	for {
		if _, err := r.source.Peek(1); err != nil {
			return false, err
		}
		buffered, _ := r.source.Peek(r.source.Buffered())
		text, lineEnd := cutLineEnd(buffered)
		isBlank = isBlank && len(text) == 0
		if err := r.reserve(len(text) + len(lineEnd)); err != nil {
			return false, err
		}
		r.block = append(append(r.block, text...), lineEnd...)
		_, _ = r.source.Discard(len(text) + len(lineEnd))
		switch string(lineEnd) {
		case "\n":
			r.endsWithCR = false
			return isBlank, nil
		case "\r":
			return isBlank, r.readLineFeed(isBlank)
		}
	}
}

// reserve reserves memory for further bytes of the event.
func (r *Reader) reserve(more int) error {
	length := len(r.block) + more
	if r.maxEventBytes > 0 && length > r.maxEventBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrEventTooLong, r.maxEventBytes)
	}
	if !r.memory.Grow(int64(length)) {
		return fmt.Errorf("%w: no memory for more than %d bytes", ErrEventTooLong, len(r.block))
	}
	return nil
}

// cutLineEnd returns the text before the first CR or LF and that byte, or all of the text if there is
// none.
func cutLineEnd(buffered []byte) (text, lineEnd []byte) {
	end := bytes.IndexByte(buffered, '\n')
	if end < 0 {
		end = len(buffered)
	}
	if carriageReturn := bytes.IndexByte(buffered[:end], '\r'); carriageReturn >= 0 {
		end = carriageReturn
	}
	return buffered[:end], buffered[end:min(end+1, len(buffered))]
}

// readLineFeed reads the LF of a line that ends with CR LF. It doesn't wait for the byte after a blank
// line if the line before ended with a CR alone: the next byte may come with the next event only.
func (r *Reader) readLineFeed(isBlank bool) error {
	if isBlank && r.endsWithCR {
		return nil
	}
	following, err := r.source.ReadByte()
	if err != nil {
		return err
	}
	r.endsWithCR = following != '\n'
	if r.endsWithCR {
		return r.source.UnreadByte()
	}
	r.block = append(r.block, following)
	return nil
}
