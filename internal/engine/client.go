package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
)

const (
	dialTimeout      = time.Second
	smallCallTimeout = 3 * time.Second
	idleConnections  = 64
	maxStateBytes    = 16 << 20
	maxEventBytes    = 1 << 20
)

// Client talks to engines. It uses the standard library's HTTP client, since a
// stream must be cancelled by closing it, which fasthttp's client cannot do
// (docs/design/0002).
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps connections to engines open.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}}
}

// CompletionOutcome is how a completion ended.
type CompletionOutcome struct {
	Usage program.Usage
	// MayHaveStarted is false only where the engine can't have started the call.
	MayHaveStarted bool
	// Err is nil for a whole answer.
	Err error
}

// Complete runs one call; piece gets the answer's parts in order. Cancelling ctx
// closes the stream.
func (c *Client) Complete(ctx context.Context, address string, request CompletionRequest, piece func(text string)) CompletionOutcome {
	request.Stream = true
	body, err := json.Marshal(request)
	if err != nil {
		return CompletionOutcome{Err: err}
	}
	response, err := c.post(ctx, address, PathCompletions, body)
	if err != nil {
		return CompletionOutcome{MayHaveStarted: !neverConnected(err), Err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure := readError(response)
		return CompletionOutcome{MayHaveStarted: failure.Outcome != result.NotRun, Err: failure}
	}
	usage, err := readStream(response.Body, piece)
	return CompletionOutcome{Usage: usage, MayHaveStarted: true, Err: err}
}

func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't repeat a call by itself: a call that
	// is not repeatable must be sent at most once.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// neverConnected reports whether an error shows that nothing was sent.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &operation) && operation.Op == "dial")
}

func readError(response *http.Response) *result.Error {
	var body result.Body
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if json.Unmarshal(raw, &body) != nil || body.Error == nil {
		return result.New(result.EngineFailed, "engine answered with status %d", response.StatusCode).WithOutcome(result.Unknown)
	}
	return body.Error
}

var errCutShort = errors.New("engine: the stream ended before its last event")

// readStream reads server-sent events up to [DONE].
func readStream(stream io.Reader, piece func(string)) (program.Usage, error) {
	var usage program.Usage
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return usage, nil
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return usage, err
		}
		if chunk.Usage != nil {
			usage = program.Usage{
				PromptTokens: chunk.Usage.PromptTokens, CachedTokens: chunk.Usage.PromptTokensDetails.CachedTokens,
				CompletionTokens: chunk.Usage.CompletionTokens,
			}
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil && chunk.Choices[0].Delta.Content != "" {
			piece(chunk.Choices[0].Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return usage, err
	}
	return usage, errCutShort
}

// State asks an engine about itself; held asks for the programs that it holds, too.
func (c *Client) State(ctx context.Context, address string, held bool) (State, error) {
	var state State
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	url := "http://" + address + PathState
	if !held {
		url += "?held=false"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return state, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(raw, &state)
}

// SendOrder gives an engine a fenced order.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) error {
	return c.small(ctx, address, PathOrders, order)
}

// ReleasePrograms tells an engine to drop programs.
func (c *Client) ReleasePrograms(ctx context.Context, address string, programs []string) error {
	return c.small(ctx, address, PathRelease, ReleaseRequest{Programs: programs})
}

func (c *Client) small(ctx context.Context, address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	response, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
