package engine

import (
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

// eventWriter formats the events of one exchange. Its text is ASCII without quotes and
// needs no escaping.
type eventWriter struct {
	head         []byte // everything before the offset
	chat         bool
	prompt       uint64
	first        bool
	promptTokens int
}

func newEventWriter(described *exchange, first bool) *eventWriter {
	object := "chat.completion.chunk"
	if described.endpoint == endpointCompletions {
		object = "text_completion"
	}
	head := []byte(`data: {"id":"cmpl-` + described.id + `","object":"` + object + `","created":`)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = strconv.AppendQuote(head, described.model)
	head = append(head, `,"exchange":"`+described.id+`","offset":`...)
	return &eventWriter{head: head, chat: described.endpoint == endpointChat, prompt: described.prompt, first: first, promptTokens: described.promptTokens}
}

// token appends the event of the token at index, from 0.
func (w *eventWriter) token(buffer []byte, index int) []byte {
	buffer = append(buffer, w.head...)
	buffer = strconv.AppendInt(buffer, int64(index+1), 10)
	switch {
	case w.chat && w.first:
		buffer = append(buffer, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	case w.chat:
		buffer = append(buffer, `,"choices":[{"index":0,"delta":{"content":"`...)
	default:
		buffer = append(buffer, `,"choices":[{"index":0,"text":"`...)
	}
	w.first = false
	buffer = answertext.AppendToken(buffer, w.prompt, index)
	if w.chat {
		return append(buffer, "\"},\"finish_reason\":null}]}\n\n"...)
	}
	return append(buffer, "\",\"finish_reason\":null}]}\n\n"...)
}

// end appends the finish event, the usage event and the end-of-stream marker.
func (w *eventWriter) end(buffer []byte, outputTokens, cached int, reason string) []byte {
	buffer = append(buffer, w.head...)
	buffer = strconv.AppendInt(buffer, int64(outputTokens), 10)
	if w.chat {
		buffer = append(buffer, `,"choices":[{"index":0,"delta":{},"finish_reason":"`...)
	} else {
		buffer = append(buffer, `,"choices":[{"index":0,"text":"","finish_reason":"`...)
	}
	buffer = append(buffer, reason...)
	buffer = append(buffer, "\"}]}\n\n"...)
	buffer = append(buffer, w.head...)
	buffer = strconv.AppendInt(buffer, int64(outputTokens), 10)
	buffer = append(buffer, `,"choices":[],"usage":{"prompt_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(w.promptTokens), 10)
	buffer = append(buffer, `,"completion_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(outputTokens), 10)
	buffer = append(buffer, `,"total_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(w.promptTokens+outputTokens), 10)
	buffer = append(buffer, `,"prompt_tokens_details":{"cached_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(cached), 10)
	return append(buffer, "}}}\n\ndata: [DONE]\n\n"...)
}

// failure appends the error event of an answer that fails after its first byte.
func (w *eventWriter) failure(buffer []byte, outputTokens int, code string) []byte {
	buffer = append(buffer, w.head...)
	buffer = strconv.AppendInt(buffer, int64(outputTokens), 10)
	return append(buffer, `,"error":{"message":"the exchange ended early","type":"engine_error","code":"`+code+"\"}}\n\n"...)
}
