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

// endpoint is which of the two usual protocols an exchange speaks.
type endpoint int

const (
	endpointChat endpoint = iota
	endpointCompletions
)

// body is the part of the usual request bodies that the stand-in reads.
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
	// Content is a string or a list of parts; a list is read as its JSON text.
	Content json.RawMessage `json:"content"`
}

// work is a parsed request.
type work struct {
	endpoint  endpoint
	exchange  string
	model     string
	prompt    string
	hash      uint64
	output    int
	limited   bool
	continued int
	priority  int
	salt      string
	deadline  time.Duration // 0 is none
	phase     enginemodel.Phase
	kvHandle  string
	kvSource  string
}

func parse(request *fasthttp.Request, kind endpoint) (work, *refusal) {
	var read body
	if err := json.Unmarshal(request.Body(), &read); err != nil {
		return work{}, invalid("the body is not the usual JSON: " + err.Error())
	}
	parsed := work{
		endpoint: kind,
		exchange: header(request, enginecontract.HeaderExchange),
		model:    read.Model,
		prompt:   read.prompt(kind),
		salt:     header(request, enginecontract.HeaderCacheSalt),
		kvHandle: header(request, enginecontract.HeaderKVHandle),
		kvSource: header(request, enginecontract.HeaderKVSource),
	}
	parsed.hash = answertext.Hash(parsed.prompt)
	parsed.output = max(read.MaxTokens, read.MaxCompletionTokens)
	parsed.limited = parsed.output > 0
	if !parsed.limited {
		parsed.output = answertext.DefaultOutputTokens
	}
	switch {
	case header(request, enginecontract.HeaderPrefillOnly) == "1":
		parsed.phase = enginemodel.PhasePrefillOnly
	case parsed.kvHandle != "":
		parsed.phase = enginemodel.PhaseDecodeImported
	}
	if problem := parsed.readNumbers(request); problem != nil {
		return work{}, problem
	}
	return parsed, parsed.check(read)
}

func (w *work) readNumbers(request *fasthttp.Request) *refusal {
	var deadline int
	for name, target := range map[string]*int{
		enginecontract.HeaderPriority:     &w.priority,
		enginecontract.HeaderDeadline:     &deadline,
		enginecontract.HeaderContinueFrom: &w.continued,
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

func (w *work) check(read body) *refusal {
	switch {
	case len(w.exchange) != exchangeLength:
		return invalid(enginecontract.HeaderExchange + " must be 32 hex digits")
	case !read.Stream && w.phase != enginemodel.PhasePrefillOnly:
		return invalid(`the engine answers streams only: send "stream": true`)
	case w.prompt == "":
		return invalid("messages or prompt are missing")
	case w.continued < 0 || w.continued > w.output:
		return invalid(enginecontract.HeaderContinueFrom + " is beyond the output")
	case w.continued > 0 && read.ContinueText != answertext.Text(w.hash, w.continued):
		return invalid("continue_text is not this prompt's output")
	}
	return nil
}

// exchangeLength is the length of an exchange's identity in hex digits.
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
