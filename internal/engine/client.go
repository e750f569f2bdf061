package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	dialTimeout        = time.Second
	controlCallTimeout = 3 * time.Second
	maxStateBytes      = 16 << 20
	maxEventBytes      = 1 << 20
	// maxReplyBytes bounds the body of a reply to an order, which is empty.
	maxReplyBytes = 64 << 10
)

// Client is an HTTP client for engines. It uses the standard library's HTTP
// client because a stream is cancelled by closing its connection, which
// fasthttp's client does not support (docs/design/0002), over the gateways'
// transport, because that of the library accepts invalid heads.
type Client struct {
	httpClient *http.Client
}

// NewClient returns a client that keeps idle connections to engines open for reuse.
func NewClient() *Client {
	return &Client{httpClient: &http.Client{Transport: upstream.NewTransport(dialTimeout)}}
}

// CompletionOutcome holds the token usage of a completion request, whether the
// engine may have started the request, and the error, if any.
type CompletionOutcome struct {
	Usage program.Usage
	// MayHaveStarted is false only if the engine cannot have started the request.
	MayHaveStarted bool
	// Err is nil if the response was complete.
	Err error
}

// Complete sends one completion request and passes the chunks of the response to
// onChunk in order. Cancelling ctx closes the stream.
func (c *Client) Complete(ctx context.Context, address string, request CompletionRequest, onChunk func(text string)) CompletionOutcome {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return CompletionOutcome{Err: err}
	}
	response, err := c.post(ctx, address, PathCompletions, body)
	if err != nil {
		return CompletionOutcome{MayHaveStarted: !failedBeforeSending(err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure := readError(response)
		return CompletionOutcome{MayHaveStarted: failure.Outcome != result.NotRun, Err: failure}
	}
	usage, err := readStream(response.Body, onChunk)
	return CompletionOutcome{Usage: usage, MayHaveStarted: true, Err: err}
}

func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client cannot send the request again after a redirect: a
	// non-repeatable request must be sent at most once.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return c.httpClient.Do(request)
}

// failedBeforeSending reports whether err proves that no part of the request was sent.
func failedBeforeSending(err error) bool {
	return errors.Is(err, upstream.ErrNotSent)
}

func readError(response *http.Response) *result.Error {
	var body result.Body
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return result.New(result.EngineFailed, "engine answered with status %d", response.StatusCode).WithOutcome(result.Unknown)
	}
	return body.Error
}

var errTruncatedStream = errors.New("engine: stream ended before the [DONE] event")

// readStream reads server-sent events up to the [DONE] event. A response with an error event is not
// complete, although its stream is.
func readStream(stream io.Reader, onChunk func(string)) (program.Usage, error) {
	var usage program.Usage
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, hasData := strings.CutPrefix(scanner.Text(), "data: ")
		if !hasData {
			continue
		}
		if data == "[DONE]" {
			return usage, nil
		}
		var chunk struct {
			Chunk
			Error *result.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return usage, err
		}
		if chunk.Error != nil {
			return usage, chunk.Error
		}
		if chunk.Usage != nil {
			usage = program.Usage{
				PromptTokens: chunk.Usage.PromptTokens, CachedTokens: chunk.Usage.PromptTokensDetails.CachedTokens,
				CompletionTokens: chunk.Usage.CompletionTokens,
			}
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil && chunk.Choices[0].Delta.Content != "" {
			onChunk(chunk.Choices[0].Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return usage, err
	}
	return usage, errTruncatedStream
}

// State fetches the state of an engine. withPrograms includes the list of cached programs.
func (c *Client) State(ctx context.Context, address string, withPrograms bool) (State, error) {
	var state State
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	url := "http://" + address + PathState
	if !withPrograms {
		url += "?held=false"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return state, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, readError(response)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(raw, &state)
}

// SendOrder sends a fenced order to an engine.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	return c.postMessage(ctx, address, PathOrders, order)
}

// ReleasePrograms instructs an engine to drop the KV cache of programs.
func (c *Client) ReleasePrograms(ctx context.Context, address string, programs []string) error {
	return c.postMessage(ctx, address, PathRelease, ReleaseRequest{Programs: programs})
}

func (c *Client) postMessage(ctx context.Context, address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	response, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	return err
}
