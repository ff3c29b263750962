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
	// Parts are the parts of the prompt in order; the last belongs to this request or
	// its session alone.
	Parts []PromptPart
}

// PromptPart is one part that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CachedPart is a part of prompts that an engine has cached for a model.
type CachedPart struct {
	Model string
	Part  PromptPart
}

// CacheReading is one engine's answer of what it has cached.
type CacheReading struct {
	Parts []CachedPart
	// Born is when the start that answered began, in Unix milliseconds; 0 where it does not tell.
	Born int64
	// Asked is what the engine asked for in its answer, also in one that brought no parts.
	Asked backpressure.Directives
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
		prompt.Parts = append(prompt.Parts, PromptPart{ID: id, Tokens: length})
	}
	return prompt
}

// SharedKey identifies the longest part of the prompt that other requests share; empty
// when there is none.
func (p *Prompt) SharedKey() string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}
