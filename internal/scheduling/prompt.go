package scheduling

import (
	"strconv"
	"strings"
)

// PromptPart is one part of a prompt. Prompts that begin with the same parts share a prefix that an
// engine can cache.
type PromptPart struct {
	ID     string
	Tokens int64
}

// PromptTokens returns the total number of tokens of the parts of a prompt.
func PromptTokens(parts []PromptPart) int64 {
	total := int64(0)
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}

// maxPromptParts limits the number of parts that are parsed.
const maxPromptParts = 512

// ParsePrompt parses parts written as ID:TOKENS and separated by commas. It stops at the first
// malformed part, since the parts are only a hint for selecting an engine.
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
