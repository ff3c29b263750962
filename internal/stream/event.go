package stream

import (
	"errors"

	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// EventType is the kind of content that an event carries.
type EventType int

// Event types.
const (
	EventToken EventType = iota
	EventFinish
	EventUsage
	EventDone
	EventError
)

// ErrMalformed means that a stream violates the engine contract.
var ErrMalformed = errors.New("malformed event stream")

// Event is one event of an engine. Its slices point into the scanner's buffer and are valid until the next
// call of Next.
type Event struct {
	Type EventType
	// Exchange is the identity of the exchange to which the event belongs, as the event states it.
	Exchange string
	// Offset is the number of output tokens up to and including this event.
	Offset int
	// Tokens is the number of tokens in a token event.
	Tokens int
	// Text is the text that a token event adds.
	Text string
	// Choices and Usage are raw JSON.
	Choices []byte
	Usage   []byte
	// FinishReason is set on finish events.
	FinishReason string
	// Error is set on error events.
	Error enginecontract.ErrorDetail
}

// parseEvent parses the data of one event.
func parseEvent(data []byte) (Event, error) {
	if string(data) == enginecontract.DoneMarker {
		return Event{Type: EventDone}, nil
	}
	if !gjson.ValidBytes(data) {
		return Event{}, trace.Wrap(ErrMalformed, "event is not JSON")
	}
	event := Event{Type: EventToken, Tokens: 1}
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "exchange":
			event.Exchange = value.String()
		case "offset":
			event.Offset = int(value.Int())
		case "tokens":
			event.Tokens = int(value.Int())
		case "choices":
			event.setChoices(data, value)
		case "usage":
			if value.IsObject() {
				event.Type = EventUsage
				event.Usage = raw(data, value)
			}
		case "error":
			event.Type = EventError
			event.Error = enginecontract.ErrorDetail{Type: value.Get("type").String(), Code: value.Get("code").String()}
		}
		return true
	})
	if event.Offset < 0 || event.Tokens < 1 {
		return Event{}, trace.Wrap(ErrMalformed, "event has offset %d and %d tokens", event.Offset, event.Tokens)
	}
	return event, nil
}

func (e *Event) setChoices(data []byte, choices gjson.Result) {
	e.Choices = raw(data, choices)
	first := choices.Get("0")
	if reason := first.Get("finish_reason"); reason.Type == gjson.String {
		e.Type = EventFinish
		e.FinishReason = reason.Str
	}
	if content := first.Get("delta.content"); content.Exists() {
		e.Text = content.String()
		return
	}
	e.Text = first.Get("text").String()
}

// raw returns the bytes of a value within data without copying them.
func raw(data []byte, value gjson.Result) []byte {
	return data[value.Index : value.Index+len(value.Raw)]
}
