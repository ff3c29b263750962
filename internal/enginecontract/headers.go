// Package enginecontract holds the names and message shapes of the published
// HTTP protocol between hazelpitch and the outside systems it serves: model
// engines, the weight store and the platform's machine list. It holds no logic.
// docs/ENGINE-CONTRACT.md is its specification; gateways, controllers and the
// stand-ins of the bench share these shapes and nothing else.
package enginecontract

import "time"

// Request and response headers of the request path.
const (
	// HeaderExchange carries the unguessable identity of one attempt at one
	// engine; the engine echoes it in the answer's header and in each event.
	HeaderExchange = "X-Exchange-Id"
	// HeaderPriority is a decimal integer; larger goes first.
	HeaderPriority = "X-Priority"
	// HeaderCacheSalt separates the prefix cache entries of tenants.
	HeaderCacheSalt = "X-Cache-Salt"
	// HeaderDeadline is the time left for the whole answer, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderContinueFrom is the number of output tokens already delivered; the
	// body carries their text and the engine goes on after them.
	HeaderContinueFrom = "X-Continue-From"
	// HeaderKVHandle names an exported KV cache to import instead of reading the prompt.
	HeaderKVHandle = "X-Kv-Handle"
	// HeaderKVSource is the address (IP:port) of the engine that exported the handle.
	HeaderKVSource = "X-Kv-Source"
	// HeaderPrefillOnly asks the engine to read the prompt, export the KV cache
	// and answer with a PrefillAnswer in place of a completion.
	HeaderPrefillOnly = "X-Prefill-Only"
	// HeaderRunState is set on every refusal: RunStateNotRun or RunStateMayHaveRun.
	HeaderRunState = "X-Run-State"
	// HeaderEngineState is the engine's service state on every answer.
	HeaderEngineState = "X-Engine-State"
	// HeaderEngineLoad is "running,waiting,waitingPromptTokens" on every answer.
	HeaderEngineLoad = "X-Engine-Load"
	// HeaderEngineRole is the engine's role on every answer.
	HeaderEngineRole = "X-Engine-Role"
	// HeaderRequestLimit names, in all answers of a back end in need, the requests a second (a decimal number)
	// that it takes of all gateways together.
	HeaderRequestLimit = "X-Request-Limit"
	// HeaderIdempotencyKey is passed on to page services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Values of HeaderRunState.
const (
	RunStateNotRun     = "not-run"
	RunStateMayHaveRun = "may-have-run"
)

// Paths of an engine.
const (
	PathChat          = "/v1/chat/completions"
	PathCompletions   = "/v1/completions"
	PathExchanges     = "/v1/exchanges/" // + id: DELETE cancels, GET ?offset=N resumes the event stream
	PathKV            = "/v1/kv/"        // + handle: GET exports the cache to another engine
	PathLoad          = "/control/load"
	PathCacheEvents   = "/control/cache-events" // ?after=SEQUENCE
	PathState         = "/control/state"
	PathOrders        = "/control/orders"
	PathFence         = "/control/fence"
	PathHealth        = "/health"
	PathMachines      = "/v1/machines"       // machine list
	PathWeights       = "/v1/weights/"       // weight store: + model/version
	PathWeightsStatus = "/v1/weights-status" // weight store
)

// Times that engines keep to.
const (
	// ResumeWindow is how long an exchange goes on without a reader.
	ResumeWindow = 5 * time.Second
	// FinishedRetention is how long the events of a finished exchange can be resumed.
	FinishedRetention = 10 * time.Second
	// KVHandleLifetime is how long an exported KV cache can be imported.
	KVHandleLifetime = 30 * time.Second
)

// FieldContinueText is the body field with the text of the tokens that
// HeaderContinueFrom counts.
const FieldContinueText = "continue_text"

// DoneMarker is the data of the last event of a whole stream.
const DoneMarker = "[DONE]"

// Codes of refusals.
const (
	CodeInvalidRequest   = "invalid_request"
	CodeKVForbidden      = "kv_forbidden"
	CodeModelNotFound    = "model_not_found"
	CodeDeadlineExceeded = "deadline_exceeded"
	CodeWrongRole        = "wrong_role"
	CodeExchangeExists   = "exchange_exists"
	CodeExchangeUnknown  = "exchange_unknown"
	CodeKVImportFailed   = "kv_import_failed"
	CodeOverloaded       = "overloaded"
	CodeDraining         = "draining"
	CodeChanging         = "changing"
	CodeLeaving          = "leaving"
	CodeEngineError      = "engine_error"
)
