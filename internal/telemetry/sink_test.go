package telemetry

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLogSink(t *testing.T) {
	Convey("all lines are written", t, func() {
		var buffer bytes.Buffer
		sink := NewLogSink(&buffer)
		for number := range 1000 {
			_, _ = sink.Write([]byte(strings.Repeat("x", number%7) + "\n"))
		}
		sink.Flush()
		So(strings.Count(buffer.String(), "\n"), ShouldEqual, 1000)
		So(sink.Dropped(), ShouldEqual, 0)
	})
	Convey("a pipe that is not read blocks no caller, and lost lines are counted and logged", t, func() {
		reader, writer, err := os.Pipe()
		So(err, ShouldBeNil)
		sink := NewLogSink(writer)
		line := []byte(strings.Repeat("y", 200) + "\n")
		for range 3 * maxQueuedLines {
			_, _ = sink.Write(line)
		}
		So(sink.Dropped(), ShouldBeGreaterThan, 0)
		logged := 0
		for number := range 800 {
			if sink.shouldLog(strings.Repeat("r", number)) {
				logged++
			}
		}
		So(logged, ShouldBeBetween, 20, 300)
		So(sink.SampledOut(), ShouldEqual, 800-logged)
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
