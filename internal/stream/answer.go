package stream

import (
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"
)

// Format is the API format of answers that a caller requested.
type Format int

// Formats.
const (
	FormatChat Format = iota
	FormatCompletions
)

// object returns the object names of a complete answer and of one event.
func (f Format) object() (complete, chunk string) {
	if f == FormatCompletions {
		return "text_completion", "text_completion"
	}
	return "chat.completion", "chat.completion.chunk"
}

// Identity holds the metadata that every event and the complete answer carry for the caller.
type Identity struct {
	ID      string
	Created int64 // seconds since the Unix epoch
	Model   string
	Format  Format
}

// Answer assembles delivered events into one complete answer.
type Answer struct {
	identity     Identity
	text         strings.Builder
	finishReason string
	usage        json.RawMessage
}

// NewAnswer returns an empty answer.
func NewAnswer(identity Identity) *Answer { return &Answer{identity: identity} }

// Add adds a delivered event to the answer.
func (a *Answer) Add(event *Event) {
	switch event.Type {
	case EventToken:
		a.text.WriteString(event.Text)
	case EventFinish:
		a.finishReason = event.FinishReason
	case EventUsage:
		a.usage = append(json.RawMessage(nil), event.Usage...)
	}
}

// completeAnswer is the JSON encoding of a complete answer.
type completeAnswer struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []completeChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage"`
}

type completeChoice struct {
	Index        int              `json:"index"`
	Message      *completeMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type completeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// JSON returns the body of the complete answer.
func (a *Answer) JSON() ([]byte, error) {
	object, _ := a.identity.Format.object()
	text := a.text.String()
	choice := completeChoice{FinishReason: a.finishReason}
	if a.identity.Format == FormatCompletions {
		choice.Text = &text
	} else {
		choice.Message = &completeMessage{Role: "assistant", Content: text}
	}
	body, err := json.Marshal(completeAnswer{
		ID:      a.identity.ID,
		Object:  object,
		Created: a.identity.Created,
		Model:   a.identity.Model,
		Choices: []completeChoice{choice},
		Usage:   a.usage,
	})
	return body, trace.Wrap(err)
}
