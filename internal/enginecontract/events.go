package enginecontract

// Event is one event of an engine's stream. Without Exchange and Offset it is one
// event of a gateway's stream to a caller.
type Event struct {
	ID      string `json:"id,omitempty"`
	Object  string `json:"object,omitempty"`
	Created int64  `json:"created,omitempty"`
	Model   string `json:"model,omitempty"`
	// Exchange is the identity of the attempt the event belongs to.
	Exchange string `json:"exchange,omitempty"`
	// Offset is the number of output tokens up to and including this event.
	Offset int `json:"offset,omitempty"`
	// Tokens is the number of tokens in this event; 0 means 1.
	Tokens  int           `json:"tokens,omitempty"`
	Choices []EventChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	Error   *ErrorDetail  `json:"error,omitempty"`
}

// EventChoice is the part of an event that carries text or the finish reason.
// Delta is set on chat events, Text on completions events.
type EventChoice struct {
	Index        int         `json:"index"`
	Delta        *EventDelta `json:"delta,omitempty"`
	Text         string      `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

// EventDelta is the text that one chat event adds.
type EventDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails holds the number of prompt tokens that were found in the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error in the format of the chat protocol.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code,omitempty"`
}

// CancelAnswer is the answer to DELETE of an exchange.
type CancelAnswer struct {
	Exchange string `json:"exchange"`
	RunState string `json:"run_state"`
}
