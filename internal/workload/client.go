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
	idleConnections = 512
	maxEventBytes   = 1 << 20
)

// Call is one call as a caller makes it.
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

// Reply is what the caller got.
type Reply struct {
	Program string
	Content string
	Usage   engine.Usage
	Error   *result.Error
	// TimeToFirstToken and Total are times since the call was sent; Gaps are the times
	// between parts of the answer.
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	ChunkGaps        []time.Duration
	// IsTruncated says that the stream ended without its closing event.
	IsTruncated bool
}

// Client calls one sidecar.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the sidecar at IP:port.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
	}}}
}

// Do makes a streaming call and reads the answer to its end. The error is of the
// transport; what ochrebay answers is in the Reply.
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
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	reply := Reply{Program: response.Header.Get(sidecar.HeaderProgram)}
	if response.StatusCode != http.StatusOK {
		reply.Error, err = readFailure(response.Body)
		reply.TotalTime = time.Since(started)
		return reply, err
	}
	err = reply.read(response.Body, started)
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

func readFailure(body io.Reader) (*result.Error, error) {
	var failure result.Body
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		return nil, err
	}
	if failure.Error == nil {
		return nil, errors.New("workload: an error answer without an error")
	}
	return failure.Error, nil
}

// read takes the stream's events; a stream without [DONE] is cut.
func (r *Reply) read(body io.Reader, started time.Time) error {
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

// FetchProgram reads a program's ledger entry as raw JSON.
func (c *Client) FetchProgram(ctx context.Context, id, tenant string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/programs/"+id, nil)
	if err != nil {
		return nil, err
	}
	if tenant != "" {
		request.Header.Set(sidecar.HeaderTenant, tenant)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
