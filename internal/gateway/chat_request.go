package gateway

import (
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/stream"
)

// chatRequest is a validated request of the chat or completions protocol.
type chatRequest struct {
	format stream.Format
	// model is the name that the caller gave: a base model or an adapter. It may be empty.
	model        string
	stream       bool
	includeUsage bool
	// maximumTokens is the caller's limit of output tokens; 0 means none.
	maximumTokens int
	// members are the members of the body that are passed on unchanged, each preceded by a comma.
	members []byte
	// prompt is the raw JSON of the messages or the prompt.
	prompt []byte
}

// path returns the engine's path for the request.
func (r *chatRequest) path() string {
	if r.format == stream.FormatCompletions {
		return enginecontract.PathCompletions
	}
	return enginecontract.PathChat
}

// parseChatRequest parses and checks the body. It leaves out the members that the gateway sets itself and refuses a
// duplicate member, because engines may differ in which of the two they use.
func parseChatRequest(format stream.Format, body []byte) (*chatRequest, *refusal) {
	if !gjson.ValidBytes(body) {
		return nil, refuseBody("the body is not valid JSON")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return nil, refuseBody("the body is not a JSON object")
	}
	request := &chatRequest{format: format}
	seen := map[string]bool{}
	var fault *refusal
	root.ForEach(func(key, value gjson.Result) bool {
		if seen[key.Str] {
			fault = refuseBody("the body has a member twice: " + strconv.Quote(key.Str))
			return false
		}
		seen[key.Str] = true
		fault = request.parseMember(key, value)
		return fault == nil
	})
	if fault != nil {
		return nil, fault
	}
	if len(request.prompt) == 0 {
		return nil, refuseBody("the body has no messages or prompt")
	}
	return request, nil
}

// parseMember parses one member of the body.
func (r *chatRequest) parseMember(key, value gjson.Result) *refusal {
	switch key.Str {
	case "model":
		if value.Type != gjson.String {
			return refuseBody("model must be a string")
		}
		r.model = value.Str
		return nil
	case "stream":
		r.stream = value.Bool()
		return nil
	case "stream_options":
		r.includeUsage = value.Get("include_usage").Bool()
		return nil
	case enginecontract.FieldContinueText:
		return refuseBody("the body has a member that callers may not set")
	case "n", "best_of":
		if value.Int() != 1 {
			return refuseBody("only one choice can be asked for")
		}
		return nil
	case "max_tokens", "max_completion_tokens":
		r.maximumTokens = int(max(value.Int(), 0))
	case "messages", "prompt":
		return r.parsePrompt(key, value)
	}
	r.appendMember(key, value)
	return nil
}

func (r *chatRequest) parsePrompt(key, value gjson.Result) *refusal {
	wanted := "messages"
	if r.format == stream.FormatCompletions {
		wanted = "prompt"
	}
	if key.Str != wanted {
		return refuseBody("this path takes " + wanted)
	}
	if value.Type != gjson.String && !value.IsArray() {
		return refuseBody(wanted + " has the wrong type")
	}
	r.prompt = []byte(value.Raw)
	r.appendMember(key, value)
	return nil
}

// appendMember adds a member that is passed on unchanged.
func (r *chatRequest) appendMember(key, value gjson.Result) {
	r.members = append(r.members, ',')
	r.members = append(r.members, key.Raw...)
	r.members = append(r.members, ':')
	r.members = append(r.members, value.Raw...)
}

// engineBody returns the body for an engine; continueText is the text that the caller has already received.
func (r *chatRequest) engineBody(model, continueText string) []byte {
	body := make([]byte, 0, len(r.members)+len(model)+len(continueText)+128)
	body = append(body, `{"model":`...)
	body = gjson.AppendJSONString(body, model)
	body = append(body, `,"stream":true,"stream_options":{"include_usage":true}`...)
	if continueText != "" {
		body = append(body, `,"`+enginecontract.FieldContinueText+`":`...)
		body = gjson.AppendJSONString(body, continueText)
	}
	body = append(body, r.members...)
	return append(body, '}')
}

func refuseBody(message string) *refusal {
	return refuse(http.StatusBadRequest, typeInvalidRequest, codeInvalidBody, message)
}
