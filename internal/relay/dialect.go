package relay

import "github.com/hazelpitch/hazelpitch/internal/serving"

// Dialect defines the names and formats of the protocol that clients and back ends speak.
type Dialect struct {
	Headers HeaderNames
	// ParseKey returns the key in the value of the header Authorization; false when there is none.
	ParseKey func(authorization string) (key string, found bool)
	// PrefillStage is the value of Headers.Stage for a request that an engine only prefills.
	PrefillStage string
	// ReadyPath is the path of the readiness endpoint; it answers 200 while the relay accepts new connections.
	ReadyPath string
	// HandlePath returns the path of the call that makes an engine release the prefilled prompt with this handle.
	HandlePath func(handle string) string
	// ParsePrefillAnswer decodes an engine's answer to a prefill.
	ParsePrefillAnswer func(body []byte) (PrefillAnswer, error)
	// MovePath is the path of the call that makes an engine transfer a run to another engine.
	MovePath string
	// MoveBody returns the body of a call that transfers the run of the request with the given identity to the engine at an
	// address. If stop is true, the run stops first; otherwise it continues during the transfer.
	MoveBody func(request, address string, stop bool) []byte
	// ParseMoveAnswer returns the handle under which the run continues; "" when there is none.
	ParseMoveAnswer func(body []byte) (handle string)
	// ReportPath is the path of an engine's report on itself. ParseReport returns the start time of the incarnation that made it, in Unix
	// milliseconds; 0 when the engine sends none.
	ReportPath  string
	ParseReport func(body []byte) (startedAtMs int64, err error)
	// ParseConfiguration decodes the operator's configuration document.
	ParseConfiguration func(content []byte) (serving.Configuration, error)
}

// PrefillAnswer is an engine's answer to a prefill.
type PrefillAnswer struct {
	// Handle identifies the prefilled prompt at the engine; it is never empty.
	Handle string
	// StartedAtMs is the start time of the incarnation that answered, in Unix milliseconds; 0 when the engine sends none.
	StartedAtMs int64
}

// HeaderNames are the names of headers, in canonical form.
type HeaderNames struct {
	// RequestID identifies a request; every answer to it contains it.
	RequestID string
	// DeadlineMs is the time left until the deadline, in milliseconds.
	DeadlineMs string
	// PromptParts, Model and Tokens describe the prompt; see serving.ParsePrompt.
	PromptParts, Model, Tokens string
	// LastEventID is the identity of the last event of a stream that the client has received.
	LastEventID string
	// Resumes is the identity of the client's attempt that brought the first event of a stream that it takes up.
	Resumes string
	// Seal is a back end's signature of its answer.
	Seal string
	// ExpectInstance identifies the intended back end; any other back end refuses the request.
	ExpectInstance string
	// Load is a back end's report of its load: running requests, waiting requests, slots.
	Load string
	// NotExecuted in an answer says that the back end has not run the request.
	NotExecuted string
	// Leaving in an answer says that the back end is leaving.
	Leaving string
	// Limit in an answer is the number of requests per second that the back end accepts from all relays together.
	Limit string
	// Priority is a request's rank at an engine; 0 goes first.
	Priority string
	// Stage limits a request to one stage of an engine's work; see Dialect.PrefillStage.
	Stage string
	// KVSource names the engine and the handle from which an engine fetches a prompt that the other engine has prefilled.
	KVSource string
	// KVFetch names an engine from which another engine fetches its cached prefix of a prompt.
	KVFetch string
	// Tenant names the request's tenant to a back end; only relays may set it.
	Tenant string
	// Authorization contains a client's key; see Dialect.ParseKey.
	Authorization string
	// EngineOnly are further headers that control engines; clients may not set them.
	EngineOnly []string
}
