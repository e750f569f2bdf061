package telemetry

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSink(t *testing.T) {
	Convey("lines arrive whole and in order", t, func() {
		var buffer bytes.Buffer
		sink := NewLogSink(&buffer)
		for number := range 1000 {
			_, _ = sink.Write([]byte(strings.Repeat("x", number%7) + "\n"))
		}
		sink.Flush()
		So(strings.Count(buffer.String(), "\n"), ShouldEqual, 1000)
		So(sink.Dropped(), ShouldEqual, 0)
	})
	Convey("a pipe that nobody reads holds nobody up; what was lost is counted and told", t, func() {
		reader, writer, err := os.Pipe()
		So(err, ShouldBeNil)
		sink := NewLogSink(writer)
		line := []byte(strings.Repeat("y", 200) + "\n")
		for range 3 * queuedLines {
			_, _ = sink.Write(line)
		}
		So(sink.Dropped(), ShouldBeGreaterThan, 0)
		kept := 0
		for number := range 800 {
			if sink.keeps(strings.Repeat("r", number)) {
				kept++
			}
		}
		So(kept, ShouldBeBetween, 20, 300)
		So(sink.SampledOut(), ShouldEqual, 800-kept)
		lines := make(chan string, 1)
		go func() {
			var all bytes.Buffer
			_, _ = all.ReadFrom(reader)
			lines <- all.String()
		}()
		sink.Flush()
		_ = writer.Close()
		So(<-lines, ShouldContainSubstring, "log lines dropped")
	})
}
