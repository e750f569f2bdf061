package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/sidecar"
)

const (
	maxIdleConnsPerHost = 512
	maxEventBytes       = 1 << 20
)

// Call is one request of a caller to a sidecar.
type Call struct {
	Service      string
	Messages     []program.Message
	Program      string
	Thread       string
	ParentThread string
	RequestID    string
	Tenant       string
	AtMostOnce   bool
	EndsProgram  bool
	TimeoutMs    int64
	BudgetTokens int64
	MaxTokens    int64
}

// Reply is the response that a caller received.
type Reply struct {
	Program string
	Content string
	Usage   engine.Usage
	Error   *result.Error
	// TimeToFirstToken and TotalTime are measured from the start of Client.Do.
	// ChunkGaps are the times between successive chunks of the response.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	ChunkGaps        []time.Duration
	// IsTruncated is set if the stream ended without the [DONE] event.
	IsTruncated bool
}

// Client sends calls to one sidecar.
type Client struct {
	address    string
	httpClient *http.Client
}

// NewClient returns a client of the sidecar at address, an IP:port.
func NewClient(address string) *Client {
	return &Client{address: address, httpClient: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	}}}
}

// Do sends a streaming call and reads the response to its end. The returned error
// covers the transport and the decoding only; errors that ochrebay reports are in
// Reply.Error.
func (c *Client) Do(ctx context.Context, call Call) (Reply, error) {
	started := time.Now()
	body, err := json.Marshal(engine.CompletionRequest{
		Model: call.Service, Messages: call.Messages, Stream: true, MaxTokens: call.MaxTokens,
	})
	if err != nil {
		return Reply{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+engine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	setHeaders(request, call)
	response, err := c.httpClient.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	reply := Reply{Program: response.Header.Get(sidecar.HeaderProgram)}
	if response.StatusCode != http.StatusOK {
		reply.Error, err = readError(response.Body)
		reply.TotalTime = time.Since(started)
		return reply, err
	}
	err = reply.readStream(response.Body, started)
	reply.TotalTime = time.Since(started)
	return reply, err
}

func setHeaders(request *http.Request, call Call) {
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set("Content-Type", "application/json")
	set(sidecar.HeaderProgram, call.Program)
	set(sidecar.HeaderThread, call.Thread)
	set(sidecar.HeaderParentThread, call.ParentThread)
	set(sidecar.HeaderRequest, call.RequestID)
	set(sidecar.HeaderTenant, call.Tenant)
	if call.AtMostOnce {
		set(sidecar.HeaderRepeatable, "false")
	}
	if call.EndsProgram {
		set(sidecar.HeaderEnd, "true")
	}
	if call.TimeoutMs > 0 {
		set(sidecar.HeaderDeadline, strconv.FormatInt(call.TimeoutMs, 10))
	}
	if call.BudgetTokens > 0 {
		set(sidecar.HeaderBudget, strconv.FormatInt(call.BudgetTokens, 10))
	}
}

func readError(body io.Reader) (*result.Error, error) {
	var failure result.Body
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		return nil, err
	}
	if failure.Error == nil {
		return nil, errors.New("workload: error response has no error object")
	}
	return failure.Error, nil
}

// readStream reads the events of a stream. A stream without a [DONE] event is marked
// as truncated.
func (r *Reply) readStream(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	var text strings.Builder
	last := started
	r.IsTruncated = true
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.IsTruncated = false
			break
		}
		var event struct {
			engine.Chunk
			Error *result.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		if event.Error != nil {
			r.Error = event.Error
		}
		if event.Usage != nil {
			r.Usage = *event.Usage
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta == nil || event.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if text.Len() == 0 {
			r.TimeToFirstToken = now.Sub(started)
		} else {
			r.ChunkGaps = append(r.ChunkGaps, now.Sub(last))
		}
		last = now
		text.WriteString(event.Choices[0].Delta.Content)
	}
	r.Content = text.String()
	return scanner.Err()
}

// FetchProgram returns the ledger entry of a program as raw JSON, or the body of the
// error response.
func (c *Client) FetchProgram(ctx context.Context, id, tenant string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/programs/"+id, nil)
	if err != nil {
		return nil, err
	}
	if tenant != "" {
		request.Header.Set(sidecar.HeaderTenant, tenant)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
