package serving

import (
	"strconv"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// Prompt is what a request declares of its prompt.
type Prompt struct {
	Model string
	// PromptTokens and OutputTokens are the prompt's length and the most that is
	// generated; 0 when not declared.
	PromptTokens int
	OutputTokens int
	// Blocks are the parts of the prompt in order; the last belongs to this request or
	// its session alone.
	Blocks []PrefixBlock
}

// PrefixBlock is one part that requests may share.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// CachedBlock is a part of prompts that an engine has cached for a model.
type CachedBlock struct {
	Model string
	Block PrefixBlock
}

// CacheReport is one engine's answer of what it has cached.
type CacheReport struct {
	Blocks []CachedBlock
	// StartedAtMs is when the start that answered began, in Unix milliseconds; 0 where it does not tell.
	StartedAtMs int64
	// Signals is what the engine asked for in its answer, also in one that brought no parts.
	Signals backpressure.Directives
}

// ParsePrompt reads the declarations: "PROMPT,OUTPUT" and "ID:TOKENS,ID:TOKENS". What
// cannot be read is left out, since the declarations only guide routing.
func ParsePrompt(model, tokens, parts string) Prompt {
	prompt := Prompt{Model: model}
	input, output, _ := strings.Cut(tokens, ",")
	prompt.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(input))
	prompt.OutputTokens, _ = strconv.Atoi(strings.TrimSpace(output))
	if parts == "" {
		return prompt
	}
	for part := range strings.SplitSeq(parts, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(part), ":")
		length, err := strconv.Atoi(count)
		if !found || err != nil {
			continue
		}
		prompt.Blocks = append(prompt.Blocks, PrefixBlock{ID: id, Tokens: length})
	}
	return prompt
}

// SharedBlockID identifies the longest part of the prompt that other requests share; empty
// when there is none.
func (p *Prompt) SharedBlockID() string {
	if len(p.Blocks) < 2 {
		return ""
	}
	return p.Blocks[len(p.Blocks)-2].ID
}
