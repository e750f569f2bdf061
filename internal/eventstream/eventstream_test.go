package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// readAll returns the events of a stream, and the error that ended it.
func readAll(stream io.Reader) ([]string, error) {
	reader := NewReader(stream)
	var events []string
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// TestReader guards against events that are cut, merged or changed, by each kind of line end.
func TestReader(t *testing.T) {
	Convey("a whole stream is split into its events", t, func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			var expected []string
			for _, event := range []string{"id: 1|data: a||", ": comment||", "data: b|data: c||", "|"} {
				expected = append(expected, strings.ReplaceAll(event, "|", lineEnd))
			}
			events, err := readAll(strings.NewReader(strings.Join(expected, "")))
			So(err, ShouldEqual, io.EOF)
			So(events, ShouldResemble, expected)
		}
	})
	Convey("an event whose lines end with CR is returned before the next one begins", t, func() {
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, "data: a\r\r") }()
		event, err := NewReader(reader).Next()
		So(err, ShouldBeNil)
		So(string(event), ShouldEqual, "data: a\r\r")
	})
	Convey("a stream cut at any byte ends with an error unless it is cut between two events", t, func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			stream := strings.ReplaceAll("id: 1|data: a||id: 2|data: b||", "|", lineEnd)
			for length := range len(stream) + 1 {
				_, err := readAll(strings.NewReader(stream[:length]))
				if length%(len(stream)/2) == 0 {
					So(err, ShouldEqual, io.EOF)
				} else {
					So(err, ShouldEqual, ErrIncompleteEvent)
				}
			}
		}
	})
	Convey("an error of the source is passed on, and the rest is no event", t, func() {
		broken := errors.New("connection reset")
		reader := NewReader(io.MultiReader(strings.NewReader("data: a\n\ndata"), iotest.ErrReader(broken)))
		_, err := reader.Next()
		So(err, ShouldBeNil)
		_, err = reader.Next()
		So(err, ShouldEqual, broken)
		So(reader.IncompleteBytes(), ShouldEqual, 4)
	})
}

// TestReaderProperty guards against bytes that are lost, and against two answers to the question
// whether a stream is whole.
func TestReaderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"data: x", "id: 7", ":", "\n", "\r\n", "\r", "\n\n", "\r\n\r\n", "\r\r"}), 0, 12).Draw(t, "parts"), "")
		events, err := readAll(iotest.OneByteReader(strings.NewReader(stream)))
		read := strings.Join(events, "")
		if !strings.HasPrefix(stream, read) || (errors.Is(err, io.EOF) && read != stream) {
			t.Fatalf("%q was read as %q", stream, events)
		}
		verified, verifyErr := io.ReadAll(Verify(iotest.HalfReader(strings.NewReader(stream))))
		if string(verified) != stream {
			t.Fatalf("%q was passed on as %q", stream, verified)
		}
		if errors.Is(err, ErrIncompleteEvent) != errors.Is(verifyErr, ErrIncompleteEvent) {
			t.Fatalf("%q: read with %v, verified with %v", stream, err, verifyErr)
		}
	})
}

// TestFields guards against fields of events that are missed because of the line ends.
func TestFields(t *testing.T) {
	Convey("id and data are found with each kind of line end", t, func() {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			event := []byte(strings.ReplaceAll("id: 12|data: a|data:b||", "|", lineEnd))
			id, hasID := ID(event)
			So(hasID, ShouldBeTrue)
			So(id, ShouldEqual, 12)
			data, hasData := Data(event)
			So(hasData, ShouldBeTrue)
			So(string(data), ShouldEqual, "a\nb")
		}
	})
	Convey("an event without them has none", t, func() {
		_, hasID := ID([]byte(": comment\n\n"))
		_, hasData := Data([]byte(": comment\n\n"))
		So(hasID || hasData, ShouldBeFalse)
	})
}
