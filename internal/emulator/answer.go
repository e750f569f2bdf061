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
	tokenBytes       = 4
	defaultOutput    = 32
	minimumOutput    = 8
	answerSystemText = "assistant"
)

// outputDirective in a caller's last message sets the length of the answer, as
// "#out=120"; ochrebay treats it as text like any other.
var outputDirective = regexp.MustCompile(`#out=(\d+)`)

// Prompt is a conversation prepared for the model.
type Prompt struct {
	Segments           []Segment
	Digest             uint64
	OutputTokens       int64
	Response           string
	DigestWithResponse uint64
}

// NewPrompt prepares messages; the answer depends on them alone, so that any
// engine gives the same one, and its first words tell what the engine saw.
func NewPrompt(messages []program.Message, maxTokens int64) Prompt {
	prompt := Prompt{OutputTokens: defaultOutput}
	for _, message := range messages {
		prompt.Digest = program.ChainDigest(prompt.Digest, message)
		prompt.Segments = append(prompt.Segments, Segment{PrefixDigest: prompt.Digest, Tokens: engine.CountTokens(message.Content)})
	}
	if len(messages) > 0 {
		found := outputDirective.FindStringSubmatch(messages[len(messages)-1].Content)
		if found != nil {
			prompt.OutputTokens, _ = strconv.ParseInt(found[1], 10, 64)
		}
	}
	if maxTokens > 0 {
		prompt.OutputTokens = min(prompt.OutputTokens, maxTokens)
	}
	prompt.OutputTokens = max(prompt.OutputTokens, minimumOutput)
	prompt.Response = ResponseText(prompt.Digest, len(messages), prompt.OutputTokens)
	prompt.DigestWithResponse = program.ChainDigest(prompt.Digest, program.Message{Role: answerSystemText, Content: prompt.Response})
	return prompt
}

// ResponseText is the answer of an engine that saw a conversation of the given
// digest and length; it is exactly outputTokens long.
func ResponseText(digest uint64, messages int, outputTokens int64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "saw %016x of %04d ", digest, messages)
	state := digest
	for int64(text.Len()) < outputTokens*tokenBytes {
		state = state*6364136223846793005 + 1442695040888963407
		word := state >> 40
		for range tokenBytes - 1 {
			text.WriteByte(byte('a' + word%26))
			word /= 26
		}
		text.WriteByte(' ')
	}
	return text.String()[:outputTokens*tokenBytes]
}

// pieceOf returns the part of an answer between two counts of tokens.
func pieceOf(answer string, from, to int64) string {
	return answer[from*tokenBytes : to*tokenBytes]
}
