package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/lines"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

const (
	// codeDeadline is the code of the error event that ends an answer at its deadline.
	codeDeadline = "deadline_exceeded"
	streamBuffer = 16 << 10
	// longestLine bounds a line of a stream, and the lines without data between two events, in bytes.
	longestLine = 1 << 20
)

// streamEvent holds the fields of an event that the check reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// checkStream reads an event stream to its end, copies its text to echo, and compares it with the expected answer:
// every token in order, the finish reason, the usage and the end marker.
func (r *Result) checkStream(req request, body io.Reader, due time.Time, echo io.Writer) {
	reader := bufio.NewReaderSize(body, streamBuffer)
	check := streamCheck{request: req, result: r, due: due, echo: echo}
	var line []byte
	for skipped := 0; ; {
		var err error
		line, err = lines.Append(line[:0], reader, longestLine-skipped)
		if err != nil {
			r.Outcome = Cut
			r.Detail = fmt.Sprintf("ended after %d of %d tokens: %v", r.Tokens, req.outputTokens, err)
			return
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !found {
			skipped += len(line)
			continue
		}
		skipped = 0
		if bytes.Equal(data, doneMarker) {
			check.checkEnd()
			return
		}
		if !check.checkEvent(data) {
			return
		}
	}
}

// streamCheck is the state of the check of one stream.
type streamCheck struct {
	request           request
	result            *Result
	due               time.Time
	echo              io.Writer
	expected          []byte // text of the next token
	finished          bool
	usageOutputTokens int
	usagePromptTokens int
}

// checkEvent checks one event; it returns false when the result is final.
func (s *streamCheck) checkEvent(data []byte) bool {
	var read streamEvent
	if err := json.Unmarshal(data, &read); err != nil {
		return s.fail(Mixed, "an event is not valid JSON: "+err.Error())
	}
	if read.Error != nil {
		s.result.Code = read.Error.Code
		if deadline := s.request.deadline; read.Error.Code == codeDeadline && deadline > 0 && time.Since(s.due) >= deadline {
			return s.fail(Expired, "")
		}
		return s.fail(Cut, "error event: "+read.Error.Message)
	}
	if read.Usage != nil {
		s.usageOutputTokens, s.usagePromptTokens = read.Usage.CompletionTokens, read.Usage.PromptTokens
	}
	for _, choice := range read.Choices {
		if choice.FinishReason != nil {
			s.finished = true
		}
		if !s.checkText(choice.Delta.Content) {
			return false
		}
	}
	return true
}

func (s *streamCheck) checkText(text string) bool {
	for len(text) > 0 {
		if s.result.Tokens == 0 {
			s.result.FirstByte = time.Since(s.due)
		}
		if s.result.Tokens >= s.request.outputTokens {
			return s.fail(Mixed, "more tokens than requested")
		}
		s.expected = answertext.AppendToken(s.expected[:0], s.request.promptHash, s.result.Tokens)
		if len(text) < len(s.expected) || text[:len(s.expected)] != string(s.expected) {
			return s.fail(Mixed, fmt.Sprintf("token %d does not belong to this prompt", s.result.Tokens))
		}
		_, _ = s.echo.Write(s.expected) // a failed write does not affect the check
		text = text[len(s.expected):]
		s.result.Tokens++
	}
	return true
}

// checkEnd checks the answer at the end marker of the stream.
func (s *streamCheck) checkEnd() {
	var err error
	switch {
	case s.result.Tokens != s.request.outputTokens:
		err = fmt.Errorf("ended without an error after %d of %d tokens", s.result.Tokens, s.request.outputTokens)
	case !s.finished:
		err = errors.New("no finish reason")
	case s.usageOutputTokens != s.request.outputTokens || s.usagePromptTokens != s.request.promptTokens:
		err = fmt.Errorf("usage %d+%d in place of %d+%d", s.usagePromptTokens, s.usageOutputTokens, s.request.promptTokens, s.request.outputTokens)
	}
	if err != nil {
		s.fail(Mixed, err.Error())
		return
	}
	s.result.Outcome = Completed
}

func (s *streamCheck) fail(outcome Outcome, detail string) bool {
	s.result.Outcome, s.result.Detail = outcome, detail
	return false
}
