package emulator

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
)

const (
	// bytesPerToken is the same as in engine.CountTokens, so that the engine counts a
	// response of n tokens as n tokens.
	bytesPerToken       = 4
	defaultOutputTokens = 32
	// minOutputTokens leaves room for the response prefix, which has 29 bytes for a
	// conversation of up to 9,999 messages.
	minOutputTokens = 8
	assistantRole   = "assistant"
)

// outputDirective matches a directive such as "#out=120" in the last message of a
// conversation, which sets the length of the response in tokens. Only the emulator
// interprets it; ochrebay treats it as ordinary text.
var outputDirective = regexp.MustCompile(`#out=(\d+)`)

// Prompt is a conversation prepared for the model, together with the response
// that the model will generate for it.
type Prompt struct {
	Segments           []Segment
	Digest             uint64
	OutputTokens       int64
	Response           string
	DigestWithResponse uint64
}

// NewPrompt prepares messages for the model. The response depends only on the
// messages and maxTokens, so every engine generates the same one. It starts with
// the digest and the length of the conversation, so a caller can check which
// conversation the engine received.
func NewPrompt(messages []program.Message, maxTokens int64) Prompt {
	prompt := Prompt{OutputTokens: defaultOutputTokens}
	for _, message := range messages {
		prompt.Digest = program.ChainDigest(prompt.Digest, message)
		prompt.Segments = append(prompt.Segments, Segment{PrefixDigest: prompt.Digest, Tokens: engine.CountTokens(message.Content)})
	}
	if len(messages) > 0 {
		match := outputDirective.FindStringSubmatch(messages[len(messages)-1].Content)
		if match != nil {
			prompt.OutputTokens, _ = strconv.ParseInt(match[1], 10, 64)
		}
	}
	if maxTokens > 0 {
		prompt.OutputTokens = min(prompt.OutputTokens, maxTokens)
	}
	prompt.OutputTokens = max(prompt.OutputTokens, minOutputTokens)
	prompt.Response = ResponseText(prompt.Digest, len(messages), prompt.OutputTokens)
	prompt.DigestWithResponse = program.ChainDigest(prompt.Digest, program.Message{Role: assistantRole, Content: prompt.Response})
	return prompt
}

// ResponseText returns the response to a conversation with the given digest and
// number of messages. Its length is exactly outputTokens tokens of bytesPerToken
// bytes. The words after the prefix come from a linear congruential generator with
// the constants of Knuth's MMIX.
func ResponseText(digest uint64, messageCount int, outputTokens int64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "saw %016x of %04d ", digest, messageCount)
	state := digest
	for int64(text.Len()) < outputTokens*bytesPerToken {
		state = state*6364136223846793005 + 1442695040888963407
		word := state >> 40
		for range bytesPerToken - 1 {
			text.WriteByte(byte('a' + word%26))
			word /= 26
		}
		text.WriteByte(' ')
	}
	return text.String()[:outputTokens*bytesPerToken]
}

// chunkText returns the half-open token range [from, to) of a response.
func chunkText(response string, from, to int64) string {
	return response[from*bytesPerToken : to*bytesPerToken]
}
