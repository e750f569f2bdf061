// Package requestbody reads the bodies of requests into memory that the requests of a process share. A length
// that is only announced takes no memory.
package requestbody

import (
	"errors"
	"io"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("requestbody: body over the limit")

// Read reads a body whole. announced is its length as announced, negative if it comes in chunks, and limit the
// longest that is allowed, both in bytes. The receipt holds the memory of the body afterwards, and is to be
// released by the caller also after an error. Errors are ErrTooLong, those of bytebudget.Receipt, and those of the
// reader, io.ErrUnexpectedEOF for a body that ends before its announced length.
func Read(body io.Reader, announced, limit int64, receipt *bytebudget.Receipt) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLong
	}
	end := limit
	if announced >= 0 {
		end = announced
	}
	content := make([]byte, 0, min(end, bytebudget.AllowanceBytes))
	for int64(len(content)) < end {
		if len(content) == cap(content) {
			grown, err := grow(content, end, receipt)
			if err != nil {
				return nil, err
			}
			content = grown
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if progressErr := receipt.Progress(int64(len(content))); progressErr != nil {
			return nil, progressErr
		}
		if errors.Is(err, io.EOF) {
			if announced > int64(len(content)) {
				return nil, io.ErrUnexpectedEOF
			}
			return content, receipt.Complete()
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expectEnd(body); err != nil {
		return nil, err
	}
	return content, receipt.Complete()
}

// grow returns a copy of the content with twice the capacity, at most end. The receipt holds both meanwhile.
func grow(content []byte, end int64, receipt *bytebudget.Receipt) ([]byte, error) {
	size := min(2*int64(cap(content)), end)
	if err := receipt.Hold(int64(cap(content)) + size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), content...)
	return grown, receipt.Hold(size)
}

// expectEnd reads the end of a body that has as many bytes as it may have.
func expectEnd(body io.Reader) error {
	var next [1]byte
	for {
		count, err := body.Read(next[:])
		switch {
		case count > 0:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
