package engine

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

// endpoint is the protocol of an exchange: chat or completions.
type endpoint int

const (
	endpointChat endpoint = iota
	endpointCompletions
)

// body holds the fields of the chat and completions request bodies that the stand-in reads.
type body struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	ContinueText string `json:"continue_text"`
}

type chatMessage struct {
	Role string `json:"role"`
	// Content is a string or a list of parts; a list is used as its JSON text.
	Content json.RawMessage `json:"content"`
}

// parsedRequest is a parsed chat or completions request.
type parsedRequest struct {
	endpoint     endpoint
	exchange     string
	model        string
	prompt       string
	hash         uint64
	outputTokens int
	hasLimit     bool
	continueFrom int
	priority     int
	salt         string
	deadline     time.Duration // 0 is no deadline
	phase        enginemodel.Phase
	kvHandle     string
	kvSource     string
}

func parse(request *fasthttp.Request, kind endpoint) (parsedRequest, *refusal) {
	var read body
	if err := json.Unmarshal(request.Body(), &read); err != nil {
		return parsedRequest{}, invalid("the body is not a JSON request: " + err.Error())
	}
	parsed := parsedRequest{
		endpoint: kind,
		exchange: header(request, enginecontract.HeaderExchange),
		model:    read.Model,
		prompt:   read.prompt(kind),
		salt:     header(request, enginecontract.HeaderCacheSalt),
		kvHandle: header(request, enginecontract.HeaderKVHandle),
		kvSource: header(request, enginecontract.HeaderKVSource),
	}
	parsed.hash = answertext.Hash(parsed.prompt)
	parsed.outputTokens = max(read.MaxTokens, read.MaxCompletionTokens)
	parsed.hasLimit = parsed.outputTokens > 0
	if !parsed.hasLimit {
		parsed.outputTokens = answertext.DefaultOutputTokens
	}
	switch {
	case header(request, enginecontract.HeaderPrefillOnly) == "1":
		parsed.phase = enginemodel.PhasePrefillOnly
	case parsed.kvHandle != "":
		parsed.phase = enginemodel.PhaseDecodeImported
	}
	if problem := parsed.readNumbers(request); problem != nil {
		return parsedRequest{}, problem
	}
	return parsed, parsed.check(read)
}

func (w *parsedRequest) readNumbers(request *fasthttp.Request) *refusal {
	var deadline int
	for name, target := range map[string]*int{
		enginecontract.HeaderPriority:     &w.priority,
		enginecontract.HeaderDeadline:     &deadline,
		enginecontract.HeaderContinueFrom: &w.continueFrom,
	} {
		text := header(request, name)
		if text == "" {
			continue
		}
		value, err := strconv.Atoi(text)
		if err != nil {
			return invalid(name + " must be a decimal integer")
		}
		*target = value
	}
	w.deadline = time.Duration(deadline) * time.Millisecond
	return nil
}

func (w *parsedRequest) check(read body) *refusal {
	switch {
	case len(w.exchange) != exchangeLength:
		return invalid(enginecontract.HeaderExchange + " must be 32 hex digits")
	case !read.Stream && w.phase != enginemodel.PhasePrefillOnly:
		return invalid(`the engine answers streams only: send "stream": true`)
	case w.prompt == "":
		return invalid("messages and prompt are both missing or empty")
	case w.continueFrom < 0 || w.continueFrom > w.outputTokens:
		return invalid(enginecontract.HeaderContinueFrom + " is beyond the output")
	case w.continueFrom > 0 && read.ContinueText != answertext.Text(w.hash, w.continueFrom):
		return invalid("continue_text is not this prompt's output")
	}
	return nil
}

// exchangeLength is the length of an exchange ID in hexadecimal digits.
const exchangeLength = 32

func (b body) prompt(kind endpoint) string {
	if kind == endpointCompletions {
		return b.Prompt
	}
	messages := make([]answertext.Message, 0, len(b.Messages))
	for _, message := range b.Messages {
		var text string
		if json.Unmarshal(message.Content, &text) != nil {
			text = string(message.Content)
		}
		messages = append(messages, answertext.Message{Role: message.Role, Content: text})
	}
	return answertext.Prompt(messages)
}

func header(request *fasthttp.Request, name string) string { return string(request.Header.Peek(name)) }
