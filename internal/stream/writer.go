package stream

import (
	"encoding/json"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Writer encodes the events that callers receive. Fields of the engine's events that are not part of the
// caller's protocol are never included.
type Writer struct {
	// head is the part of each event before its choices; it is the same for all events.
	head      []byte
	withUsage bool
}

// ErrorBody is the error that ends a stream, with the verdict on whether the request may have run.
type ErrorBody struct {
	Error      enginecontract.ErrorDetail `json:"error"`
	RunVerdict string                     `json:"run_verdict"`
}

// NewWriter returns a Writer; withUsage includes the usage event.
func NewWriter(identity Identity, withUsage bool) *Writer {
	_, object := identity.Format.object()
	head := append([]byte(nil), `data: {"id":`...)
	head = strconv.AppendQuote(head, identity.ID)
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, identity.Created, 10)
	head = append(head, `,"model":`...)
	model, _ := json.Marshal(identity.Model) // encoding a string never fails
	head = append(head, model...)
	head = append(head, `,"choices":`...)
	return &Writer{head: head, withUsage: withUsage}
}

// AppendEvent appends a delivered event to the buffer. A usage event is left out if the caller did not request
// it.
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

// AppendComplete appends a complete answer, as returned by Answer.JSON, in the form of a stream: one event with
// the whole text, the finish event, the usage event and the end marker.
func (w *Writer) AppendComplete(buffer, complete []byte) []byte {
	choice := gjson.GetBytes(complete, "choices.0")
	reason, _ := json.Marshal(choice.Get("finish_reason").String()) // encoding a string never fails
	text, end := `"text":`+choice.Get("text").Raw, `"text":""`
	if message := choice.Get("message"); message.Exists() {
		text, end = `"delta":`+message.Raw, `"delta":{}`
	}
	buffer = w.AppendEvent(buffer, &Event{Choices: []byte(`[{"index":0,` + text + `,"finish_reason":null}]`)})
	buffer = w.AppendEvent(buffer, &Event{Choices: []byte(`[{"index":0,` + end + `,"finish_reason":` + string(reason) + `}]`)})
	buffer = w.AppendEvent(buffer, &Event{Type: EventUsage, Usage: []byte(gjson.GetBytes(complete, "usage").Raw)})
	return w.AppendDone(buffer)
}

// AppendDone appends the end marker of a complete stream.
func (w *Writer) AppendDone(buffer []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, enginecontract.DoneMarker...)
	return append(buffer, "\n\n"...)
}

// AppendError appends the error that ends an incomplete stream.
func (w *Writer) AppendError(buffer []byte, body ErrorBody) []byte {
	data, _ := json.Marshal(body) // encoding strings never fails
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}
