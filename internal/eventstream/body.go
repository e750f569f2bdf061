package eventstream

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"
)

// SetBody makes write produce the body of a response. An error of write aborts the response: its
// connection is closed without the last chunk, so that it doesn't look complete.
func SetBody(ctx *fasthttp.RequestCtx, write func(writer *bufio.Writer) error) {
	const unknownLength = -1
	body, pipe := io.Pipe()
	ctx.Response.SetBodyStream(body, unknownLength)
	go func() {
		writer := bufio.NewWriter(pipe)
		err := write(writer)
		if err == nil {
			err = writer.Flush()
		}
		_ = pipe.CloseWithError(err)
	}()
}
