package emulator

import (
	"bufio"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/engine"
)

// TestUnreadStream guards against a stream that the engine cuts because its client does not read it, and
// that is framed as complete.
func TestUnreadStream(t *testing.T) {
	Convey("a stream without its last event ends with an error, a whole one without", t, func() {
		for _, isWhole := range []bool{false, true} {
			current := &stream{chunks: make(chan streamChunk, 2)}
			current.chunks <- streamChunk{text: "a"}
			if isWhole {
				current.chunks <- streamChunk{text: "b", finalUsage: &engine.Usage{}}
			}
			close(current.chunks)
			var written strings.Builder
			err := writeStream(bufio.NewWriter(io.Writer(&written)), "m", "id", current)
			So(err == nil, ShouldEqual, isWhole)
			So(strings.HasSuffix(written.String(), "data: [DONE]\n\n"), ShouldEqual, isWhole)
		}
	})
}
