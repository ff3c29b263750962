package stream

import (
	"encoding/json"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Writer renders the events that a caller sees. The fields of the engine's event that
// are not part of the chat protocol never appear.
type Writer struct {
	// head is everything of an event before its choices, the same for all events.
	head      []byte
	withUsage bool
}

// ErrorBody is the error that ends a stream, with what the caller should know.
type ErrorBody struct {
	Error      enginecontract.ErrorDetail `json:"error"`
	RunVerdict string                     `json:"run_verdict"`
}

// NewWriter returns a writer; withUsage passes the usage event on.
func NewWriter(identity Identity, withUsage bool) *Writer {
	_, object := identity.Format.object()
	head := append([]byte(nil), `data: {"id":`...)
	head = strconv.AppendQuote(head, identity.ID)
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, identity.Created, 10)
	head = append(head, `,"model":`...)
	model, _ := json.Marshal(identity.Model) // a string always marshals
	head = append(head, model...)
	head = append(head, `,"choices":`...)
	return &Writer{head: head, withUsage: withUsage}
}

// AppendEvent appends a delivered event to buffer; a usage event that the caller did not
// ask for adds nothing.
func (w *Writer) AppendEvent(buffer []byte, event *Event) []byte {
	switch event.Type {
	case EventToken, EventFinish:
		buffer = append(buffer, w.head...)
		buffer = append(buffer, event.Choices...)
		return append(buffer, "}\n\n"...)
	case EventUsage:
		if !w.withUsage {
			return buffer
		}
		buffer = append(buffer, w.head...)
		buffer = append(buffer, `[],"usage":`...)
		buffer = append(buffer, event.Usage...)
		return append(buffer, "}\n\n"...)
	default:
		return buffer
	}
}

// AppendComplete appends a whole answer, as Answer.JSON returned it, as a stream of its own:
// one event with all of the text, the finish event, the usage event and the end.
func (w *Writer) AppendComplete(buffer, whole []byte) []byte {
	choice := gjson.GetBytes(whole, "choices.0")
	reason, _ := json.Marshal(choice.Get("finish_reason").String()) // a string always marshals
	text, end := `"text":`+choice.Get("text").Raw, `"text":""`
	if message := choice.Get("message"); message.Exists() {
		text, end = `"delta":`+message.Raw, `"delta":{}`
	}
	buffer = w.AppendEvent(buffer, &Event{Choices: []byte(`[{"index":0,` + text + `,"finish_reason":null}]`)})
	buffer = w.AppendEvent(buffer, &Event{Choices: []byte(`[{"index":0,` + end + `,"finish_reason":` + string(reason) + `}]`)})
	buffer = w.AppendEvent(buffer, &Event{Type: EventUsage, Usage: []byte(gjson.GetBytes(whole, "usage").Raw)})
	return w.AppendDone(buffer)
}

// AppendDone appends the end of a whole stream.
func (w *Writer) AppendDone(buffer []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, enginecontract.DoneMarker...)
	return append(buffer, "\n\n"...)
}

// AppendError appends the error that ends a stream that is not whole.
func (w *Writer) AppendError(buffer []byte, body ErrorBody) []byte {
	data, _ := json.Marshal(body) // strings always marshal
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}
