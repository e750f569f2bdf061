package requestbody

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
)

// piecewiseReader returns a body in pieces of drawn sizes, and ends with the given error.
type piecewiseReader struct {
	t       *rapid.T
	left    []byte
	err     error
	largest int
}

// Read implements io.Reader.
func (r *piecewiseReader) Read(into []byte) (int, error) {
	r.largest = max(r.largest, len(into))
	if len(r.left) == 0 {
		return 0, r.err
	}
	count := copy(into, r.left[:rapid.IntRange(1, len(r.left)).Draw(r.t, "piece")])
	r.left = r.left[count:]
	return count, nil
}

// TestReadProperty guards against a body that is not read whole, against one over the limit that is accepted, against
// one at the limit that is refused, and against memory that is taken for bytes that were only announced.
func TestReadProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4<<20).Draw(t, "limit")
		length := rapid.OneOf(rapid.IntRange(0, limit+10), rapid.Just(limit), rapid.Just(limit+1)).Draw(t, "length")
		announced := int64(length)
		switch rapid.IntRange(0, 2).Draw(t, "framing") {
		case 0:
			announced = -1
		case 1:
			announced = rapid.Int64Range(int64(length), int64(limit)+10).Draw(t, "announced")
		}
		content := bytes.Repeat([]byte("b"), length)
		reader := &piecewiseReader{t: t, left: content, err: io.EOF}
		budget := bytebudget.NewReceiveBudget(1 << 30)
		receipt := budget.Receive(func() {})
		read, err := Read(reader, announced, int64(limit), receipt)
		if most := max(2*length, bytebudget.AllowanceBytes); reader.largest > most {
			t.Fatalf("a buffer of %d bytes for a body of which %d have arrived", reader.largest, length)
		}
		switch {
		case announced > int64(limit) || length > limit:
			if !errors.Is(err, ErrTooLong) {
				t.Fatalf("a body of %d bytes, announced %d, limit %d: %v", length, announced, limit, err)
			}
		case announced > int64(length):
			if !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("a body of %d bytes, announced %d: %v", length, announced, err)
			}
		case err != nil || !bytes.Equal(read, content):
			t.Fatalf("a body of %d bytes, announced %d, limit %d: read %d: %v", length, announced, limit, len(read), err)
		}
	})
}

// TestReadWithoutMemory guards against a body that is read although the budget has no memory for it.
func TestReadWithoutMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budgetBytes = 1 << 20
		budget := bytebudget.NewReceiveBudget(budgetBytes)
		holder := budget.Receive(func() {})
		if err := holder.Hold(budgetBytes); err != nil {
			t.Fatal(err)
		}
		if err := holder.Complete(); err != nil {
			t.Fatal(err)
		}
		length := rapid.IntRange(1, 4*bytebudget.AllowanceBytes).Draw(t, "length")
		reader := &piecewiseReader{t: t, left: bytes.Repeat([]byte("b"), length), err: io.EOF}
		receipt := budget.Receive(func() {})
		_, err := Read(reader, int64(length), budgetBytes, receipt)
		// The holder has an allowance too, so that as much is left.
		if hasRoom := length <= bytebudget.AllowanceBytes; hasRoom != (err == nil) {
			t.Fatalf("a body of %d bytes: %v", length, err)
		}
	})
}
