// Package engine implements the published HTTP protocol of model engines:
// OpenAI-compatible chat completions streamed as server-sent events, and
// engine-specific endpoints for state, fenced orders and release of cached
// programs. It defines the message types of both sides and the client that
// schedulers use.
package engine

import (
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
)

// Paths of the engine's HTTP interface. PathState accepts the query parameter
// held=false, which omits the list of cached programs.
const (
	PathCompletions = "/v1/chat/completions"
	PathState       = "/v1/engine/state"
	PathOrders      = "/v1/engine/orders"
	PathRelease     = "/v1/engine/release"
)

// bytesPerToken is the estimated length of a token, used for text that no
// engine has tokenized yet.
const bytesPerToken = 4

// CountTokens estimates the number of tokens in text; the result is at least one.
func CountTokens(text string) int64 {
	return int64(max(1, (len(text)+bytesPerToken-1)/bytesPerToken))
}

// CountMessages estimates the total number of tokens in the contents of messages.
func CountMessages(messages []program.Message) int64 {
	var total int64
	for _, message := range messages {
		total += CountTokens(message.Content)
	}
	return total
}

// CompletionRequest is an OpenAI-compatible chat completion request; the fields
// after Stream are engine-specific extensions.
type CompletionRequest struct {
	Model     string            `json:"model"`
	Messages  []program.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
	// Priority orders requests inside the engine; a lower value is more urgent.
	Priority int `json:"priority,omitempty"`
	// User is the program ID. The engine records it with the cached tokens of the
	// request, so that a ReleaseRequest can release them by program.
	User      string `json:"user,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// Delta is the part of a response that one chunk carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one of the alternative responses; ochrebay uses only the first.
type Choice struct {
	Index        int              `json:"index"`
	Delta        *Delta           `json:"delta,omitempty"`
	Message      *program.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// PromptTokensDetails reports how many prompt tokens were served from the cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Usage is the token usage of a completion in the OpenAI format.
type Usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// Chunk is one event of a streamed response, or a complete response.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// CachedProgram is a program with tokens in an engine's KV cache.
type CachedProgram struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
}

// State is an engine's report of its own state. It may be out of date.
type State struct {
	Name           string           `json:"name"`
	Ready          bool             `json:"ready"`
	Loading        bool             `json:"loading"`
	Target         reconcile.Target `json:"target"`
	Fence          reconcile.Fence  `json:"fence"`
	Running        int              `json:"running"`
	Waiting        int              `json:"waiting"`
	CachedPrograms []CachedProgram  `json:"held,omitempty"`
	// CachedProgramsOmitted is set if the request excluded the list of cached
	// programs, to distinguish it from an empty list.
	CachedProgramsOmitted bool     `json:"held_omitted,omitempty"`
	Hardware              Hardware `json:"hardware"`
	// FreeKVCacheTokens is the unused KV-cache capacity in tokens.
	FreeKVCacheTokens int64 `json:"free_tokens"`
}

// Order instructs an engine to serve a target. An engine rejects an order whose
// fence is lower than the highest fence it has accepted.
type Order struct {
	Fence  reconcile.Fence  `json:"fence"`
	Target reconcile.Target `json:"target"`
}

// ReleaseRequest instructs an engine to drop the KV cache of programs.
type ReleaseRequest struct {
	Programs []string `json:"programs"`
}

// Hardware describes the speed and the capacity of an engine. The model behind
// the fields and its sources are documented in docs/design/0003-engine-model.md.
type Hardware struct {
	Name string `json:"name"`
	// PrefillTokensPerSecond is the prefill rate for prompt tokens.
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second"`
	// BaseStepMicros is the part of a decoding step that is spent on the model
	// weights, in microseconds.
	BaseStepMicros int64 `json:"step_micros"`
	// StepMicrosPerSequence is added to a step for each sequence in the batch, in
	// microseconds.
	StepMicrosPerSequence int64 `json:"sequence_micros"`
	// ContextNanosPerToken is added to a step for each context token that it
	// reads, in nanoseconds.
	ContextNanosPerToken int64 `json:"context_nanos_per_token"`
	// KVCacheCapacityTokens is the capacity of the KV cache in tokens.
	KVCacheCapacityTokens int64 `json:"memory_tokens"`
	// MaxPrefillTokensPerStep limits the prompt tokens prefilled in one step.
	MaxPrefillTokensPerStep int64 `json:"chunk_tokens"`
	// MaxSequences limits the sequences in one batch.
	MaxSequences int `json:"max_sequences"`
	// WeightBytes is the size of the model weights that a model load fetches.
	WeightBytes int64 `json:"weight_bytes"`
}
