package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/ochrebay/ochrebay/internal/responsehead"
)

const (
	// maxHeadBytes bounds the head of a response, and that of each interim response before it: the status
	// line and the header fields.
	maxHeadBytes = 32 << 10
	// maxStrayBodyBytes bounds the body of a response to another request that is skipped, with its framing.
	maxStrayBodyBytes = 256 << 10
	// noBound lets a boundedReader read without a bound.
	noBound = -1
)

// ErrTooLong means that a part of a response is longer than any that an engine sends in good order.
var ErrTooLong = errors.New("upstream: response too long")

var (
	errHeadTooLong  = fmt.Errorf("%w: more than %d bytes without the end of its head", ErrTooLong, maxHeadBytes)
	errStrayTooLong = fmt.Errorf("%w: more than %d bytes that belong to another request", ErrTooLong, maxStrayBodyBytes)
)

// boundedReader reads from a source until the bound is used up. The parser of responses keeps what it reads
// of a head, and has no bound of its own.
type boundedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read, noBound for any number, and exceeded the error
	// of reading more.
	remaining int64
	exceeded  error
	// received, if it is not nil, gets a copy of what is read.
	received *bytes.Buffer
}

// Read implements io.Reader.
func (r *boundedReader) Read(into []byte) (int, error) {
	if r.remaining == noBound {
		return r.source.Read(into)
	}
	if r.remaining == 0 {
		return 0, r.exceeded
	}
	count, err := r.source.Read(into[:min(int64(len(into)), r.remaining)])
	r.remaining -= int64(count)
	if r.received != nil {
		r.received.Write(into[:count])
	}
	return count, err
}

// headBuffers holds buffers for heads as they were received.
var headBuffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// awaitByte waits until a byte of a response can be read.
func (c *connection) awaitByte() error {
	_, err := c.reader.Peek(1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads the head of the next response, at most maxHeadBytes of it. The error wraps responsehead.ErrInvalid if
// the parser has accepted an invalid head.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.bounded.remaining, c.bounded.exceeded = maxHeadBytes, errHeadTooLong
	// A buffer is taken only once the response begins: that may be long after the request.
	if err := c.awaitByte(); err != nil {
		return nil, err
	}
	received := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(received)
	received.Reset()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	received.Write(buffered)
	c.bounded.received = received
	response, err := http.ReadResponse(c.reader, request)
	c.bounded.remaining, c.bounded.received = noBound, nil
	if err != nil {
		return nil, err
	}
	// What the parser has not read belongs to the body.
	received.Truncate(received.Len() - c.reader.Buffered())
	if err := responsehead.Check(received.Bytes()); err != nil {
		return nil, err
	}
	return response, nil
}

// discardBody reads and discards the body of a response, at most maxStrayBodyBytes of it.
func (c *connection) discardBody(response *http.Response) error {
	c.bounded.remaining, c.bounded.exceeded = maxStrayBodyBytes, errStrayTooLong
	_, err := io.Copy(io.Discard, response.Body)
	c.bounded.remaining = noBound
	return err
}
