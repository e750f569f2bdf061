package scheduling

import (
	"strconv"
	"strings"
)

// PromptPart is one part of a prompt; prompts that begin with the same parts share
// what an engine has read of them.
type PromptPart struct {
	ID     string
	Tokens int64
}

// PromptTokens adds up the parts of a prompt.
func PromptTokens(parts []PromptPart) int64 {
	total := int64(0)
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}

// maxPromptParts bounds the parts of a prompt that are looked at.
const maxPromptParts = 512

// ParsePrompt reads parts written as ID:TOKENS, split by commas. It reads as far as
// it understands: the parts only help to choose an engine.
func ParsePrompt(text string) []PromptPart {
	var parts []PromptPart
	for text != "" && len(parts) < maxPromptParts {
		var item string
		item, text, _ = strings.Cut(text, ",")
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if !found || err != nil || tokens < 0 {
			return parts
		}
		parts = append(parts, PromptPart{ID: id, Tokens: tokens})
	}
	return parts
}
