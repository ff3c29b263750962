package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// Dialect holds the names and formats of one way of speaking with clients and back ends.
type Dialect struct {
	Headers HeaderNames
	// ParseKey returns the key in the value of the header Authorization; false when there is none.
	ParseKey func(authorization string) (key string, found bool)
	// PrefillStage is the value of Headers.Stage that asks an engine only to read a prompt.
	PrefillStage string
	// ReadyPath answers 200 while this relay takes new connections.
	ReadyPath string
	// HandlePath is the path at which an engine's hold on a prompt is released.
	HandlePath func(handle string) string
	// ParsePrefillAnswer reads an engine's answer to the reading of a prompt.
	ParsePrefillAnswer func(body []byte) (PrefillAnswer, error)
	// MovePath is the path at which an engine copies a run to another one.
	MovePath string
	// MoveBody asks to copy a run to the engine at an address. The run stops first, or goes on
	// meanwhile.
	MoveBody func(request, address string, stop bool) []byte
	// ParseMoveAnswer returns the handle of the copy; "" when there is none.
	ParseMoveAnswer func(body []byte) (handle string)
	// ParseConfiguration reads the operator's document.
	ParseConfiguration func(content []byte) (serving.Configuration, error)
}

// PrefillAnswer is an engine's answer to the reading of a prompt.
type PrefillAnswer struct {
	// Handle names the prompt that the engine holds; never empty.
	Handle string
	// Born is when the start that answered began, in Unix milliseconds; 0 where it does not tell.
	Born int64
}

// HeaderNames are the names of headers, in their canonical form.
type HeaderNames struct {
	// RequestID identifies a request; every answer to it carries it back.
	RequestID string
	// DeadlineMs is the time left for the answer, in milliseconds.
	DeadlineMs string
	// PromptParts, Model and Tokens declare the prompt; see serving.ParsePrompt.
	PromptParts, Model, Tokens string
	// LastEventID is the last event of a stream that the reader has.
	LastEventID string
	// Seal is a back end's signature of its answer.
	Seal string
	// ExpectInstance names the back end that is meant; any other refuses.
	ExpectInstance string
	// Load is what a back end tells of its load: running, waiting, slots.
	Load string
	// NotExecuted on an answer says that the back end has not run the request.
	NotExecuted string
	// Leaving on an answer says that the back end leaves.
	Leaving string
	// Limit on an answer names the requests a second that the back end takes of all relays together.
	Limit string
	// Priority ranks a request at an engine; 0 goes first.
	Priority string
	// Stage asks for a part of an engine's work.
	Stage string
	// KVSource names where an engine finds a prompt that another one has read.
	KVSource string
	// KVFetch names an engine from which another one takes what it has cached of a prompt.
	KVFetch string
	// Tenant tells a back end whose request it is; only relays set it.
	Tenant string
	// Authorization holds a client's key; see Dialect.ParseKey.
	Authorization string
	// EngineOnly are further headers that steer engines; clients may not set them.
	EngineOnly []string
}
