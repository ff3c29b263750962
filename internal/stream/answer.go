package stream

import (
	"encoding/json"
	"strings"

	"github.com/gravitational/trace"
)

// Format is the shape of answers that a caller asked for.
type Format int

// Formats.
const (
	FormatChat Format = iota
	FormatCompletions
)

// object returns the object names of a whole answer and of one event.
func (f Format) object() (whole, chunk string) {
	if f == FormatCompletions {
		return "text_completion", "text_completion"
	}
	return "chat.completion", "chat.completion.chunk"
}

// Identity is what every event and the whole answer say of themselves to the caller.
type Identity struct {
	ID      string
	Created int64 // seconds since the Unix epoch
	Model   string
	Format  Format
}

// Answer gathers delivered events into one whole answer.
type Answer struct {
	identity     Identity
	text         strings.Builder
	finishReason string
	usage        json.RawMessage
}

// NewAnswer returns an empty answer.
func NewAnswer(identity Identity) *Answer { return &Answer{identity: identity} }

// Add adds a delivered event.
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

// wholeAnswer is the JSON of a whole answer.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// JSON returns the whole answer's body.
func (a *Answer) JSON() ([]byte, error) {
	object, _ := a.identity.Format.object()
	text := a.text.String()
	choice := wholeChoice{FinishReason: a.finishReason}
	if a.identity.Format == FormatCompletions {
		choice.Text = &text
	} else {
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	}
	body, err := json.Marshal(wholeAnswer{
		ID:      a.identity.ID,
		Object:  object,
		Created: a.identity.Created,
		Model:   a.identity.Model,
		Choices: []wholeChoice{choice},
		Usage:   a.usage,
	})
	return body, trace.Wrap(err)
}
