package serving

import (
	"slices"
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// Prompt is what a request declares about its prompt.
type Prompt struct {
	Model string
	// PromptTokens is the length of the prompt and OutputTokens the maximum that is generated; 0 if not declared.
	PromptTokens int
	OutputTokens int
	// Blocks are the prefix blocks of the prompt in order. The last one belongs only to this request or its session.
	Blocks []PrefixBlock
}

// PrefixBlock is a block of a prompt that requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// CachedBlock is a prefix block that an engine has cached for a model.
type CachedBlock struct {
	Model string
	Block PrefixBlock
}

// CacheReport is an engine's answer to a query for the contents of its prefix cache.
type CacheReport struct {
	Blocks []CachedBlock
	// StartedAtMs is when the incarnation that answered started, in Unix milliseconds; 0 if unknown.
	StartedAtMs int64
	// Signals are the backoff and limit signals in the answer, also in one without blocks.
	Signals backpressure.Directives
}

// ParsePrompt parses the declarations "PROMPT,OUTPUT" and "ID:TOKENS,ID:TOKENS". It leaves out what it cannot parse,
// since the declarations only guide routing.
func ParsePrompt(model, tokens, blocks string) Prompt {
	prompt := Prompt{Model: model}
	input, output, _ := strings.Cut(tokens, ",")
	prompt.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(input))
	prompt.OutputTokens, _ = strconv.Atoi(strings.TrimSpace(output))
	if blocks == "" {
		return prompt
	}
	for declaration := range strings.SplitSeq(blocks, ",") {
		id, tokenCount, found := strings.Cut(strings.TrimSpace(declaration), ":")
		length, err := strconv.Atoi(tokenCount)
		if !found || err != nil {
			continue
		}
		prompt.Blocks = append(prompt.Blocks, PrefixBlock{ID: id, Tokens: length})
	}
	return prompt
}

// SharedPartIDs returns the distinct IDs of the prompt's parts that other requests may share, in order: all but the last part of
// the declaration "ID:TOKENS,ID:TOKENS". Unlike ParsePrompt it needs no readable numbers of tokens, so that a part cannot be hidden by
// an unreadable one.
func SharedPartIDs(declaration string) []string {
	parts := strings.Split(declaration, ",")
	var ids []string
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if id = strings.TrimSpace(id); id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// SharedBlockID returns the ID of the last block that other requests may share, or "" if there is none.
func (p *Prompt) SharedBlockID() string {
	if len(p.Blocks) < 2 {
		return ""
	}
	return p.Blocks[len(p.Blocks)-2].ID
}
