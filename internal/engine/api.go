// Package engine speaks the published protocol of model engines: chat
// completions in the OpenAI shape with server-sent events, and the engine's own
// paths for state, fenced orders and release of held programs. It holds the
// types of both sides and the client that schedulers use.
package engine

import (
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/reconcile"
)

// Paths of the engine's HTTP interface. PathState takes held=false, to leave out
// the list of held programs.
const (
	PathCompletions = "/v1/chat/completions"
	PathState       = "/v1/engine/state"
	PathOrders      = "/v1/engine/orders"
	PathRelease     = "/v1/engine/release"
)

// bytesPerToken is the estimate by which text is counted before an engine has
// counted it.
const bytesPerToken = 4

// CountTokens estimates the tokens of a text, at least one.
func CountTokens(text string) int64 {
	return int64(max(1, (len(text)+bytesPerToken-1)/bytesPerToken))
}

// CountMessages estimates the tokens of messages.
func CountMessages(messages []program.Message) int64 {
	var total int64
	for _, message := range messages {
		total += CountTokens(message.Content)
	}
	return total
}

// CompletionRequest is a chat completion in the OpenAI shape; the fields after
// Stream are the engine's own.
type CompletionRequest struct {
	Model     string            `json:"model"`
	Messages  []program.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
	// Priority orders calls inside the engine; lower is more urgent.
	Priority int `json:"priority,omitempty"`
	// User is the program, so that the engine can be told to release it.
	User      string `json:"user,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// Delta is the part of an answer in one chunk.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is one answer; ochrebay uses the first.
type Choice struct {
	Index        int              `json:"index"`
	Delta        *Delta           `json:"delta,omitempty"`
	Message      *program.Message `json:"message,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

// PromptTokensDetails tells how much of a prompt was cached.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Usage counts tokens in the OpenAI shape.
type Usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// Chunk is one event of a stream, or the whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// CachedProgram is a program whose KV cache an engine holds.
type CachedProgram struct {
	Program string `json:"program"`
	Tokens  int64  `json:"tokens"`
}

// State is an engine's report about itself; it lags.
type State struct {
	Name           string           `json:"name"`
	Ready          bool             `json:"ready"`
	Loading        bool             `json:"loading"`
	Target         reconcile.Target `json:"target"`
	Fence          reconcile.Fence  `json:"fence"`
	Running        int              `json:"running"`
	Waiting        int              `json:"waiting"`
	CachedPrograms []CachedProgram  `json:"held,omitempty"`
	// CachedProgramsOmitted says that the list of held programs was not asked for.
	CachedProgramsOmitted bool     `json:"held_omitted,omitempty"`
	Hardware              Hardware `json:"hardware"`
	// FreeKVCacheTokens is the KV memory that nothing holds.
	FreeKVCacheTokens int64 `json:"free_tokens"`
}

// Order tells an engine what to serve. An engine refuses an order whose fence is
// lower than the highest it has taken.
type Order struct {
	Fence  reconcile.Fence  `json:"fence"`
	Target reconcile.Target `json:"target"`
}

// ReleaseRequest tells an engine to drop the KV cache of programs.
type ReleaseRequest struct {
	Programs []string `json:"programs"`
}

// Hardware describes how fast an engine is and how much it holds. Sources of the
// entries stand in docs/design/0003-engine-model.md.
type Hardware struct {
	Name string `json:"name"`
	// PrefillTokensPerSecond is the rate at which prompt tokens are read.
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second"`
	// BaseStepMicros is the time of one decoding step for the weights alone.
	BaseStepMicros int64 `json:"step_micros"`
	// StepMicrosPerSequence is added to a step for each sequence in it.
	StepMicrosPerSequence int64 `json:"sequence_micros"`
	// ContextNanosPerToken is added for each token of context read in a step.
	ContextNanosPerToken int64 `json:"context_nanos_per_token"`
	// KVCacheCapacityTokens is how many tokens of KV cache fit.
	KVCacheCapacityTokens int64 `json:"memory_tokens"`
	// MaxPrefillTokensPerStep bounds the prompt tokens read in one step.
	MaxPrefillTokensPerStep int64 `json:"chunk_tokens"`
	// MaxSequences bounds the sequences in one step.
	MaxSequences int `json:"max_sequences"`
	// WeightBytes is what a load of a model fetches.
	WeightBytes int64 `json:"weight_bytes"`
}
