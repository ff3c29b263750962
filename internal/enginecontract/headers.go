// Package enginecontract defines the names and messages of the published
// HTTP protocol between hazelpitch and the external systems that it uses: model
// engines, the weight store and the platform's machine list. It contains no logic.
// docs/ENGINE-CONTRACT.md is its specification. Gateways, controllers and hazelbench's
// stand-in engines share these definitions and nothing else.
package enginecontract

import "time"

// Request and response headers of inference requests.
const (
	// HeaderExchange carries the unguessable identity of one attempt at one
	// engine; the engine repeats it in the response header and in each event.
	HeaderExchange = "X-Exchange-Id"
	// HeaderPriority is a decimal integer; higher priorities are scheduled first.
	HeaderPriority = "X-Priority"
	// HeaderCacheSalt separates the prefix cache entries of tenants.
	HeaderCacheSalt = "X-Cache-Salt"
	// HeaderDeadline is the time left for the whole response, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderContinueFrom is the number of output tokens already delivered; the
	// body carries their text, and the engine continues after them.
	HeaderContinueFrom = "X-Continue-From"
	// HeaderKVHandle names an exported KV cache to import instead of a prefill.
	HeaderKVHandle = "X-Kv-Handle"
	// HeaderKVSource is the address (IP:port) of the engine that exported the handle.
	HeaderKVSource = "X-Kv-Source"
	// HeaderPrefillOnly asks the engine for the prefill only: it exports the KV cache
	// and answers with a PrefillAnswer instead of a completion.
	HeaderPrefillOnly = "X-Prefill-Only"
	// HeaderRunState is set on every refusal, to RunStateNotRun or RunStateMayHaveRun.
	HeaderRunState = "X-Run-State"
	// HeaderEngineState is the engine's service state, on every answer.
	HeaderEngineState = "X-Engine-State"
	// HeaderEngineLoad is "running,waiting,waitingPromptTokens", on every answer.
	HeaderEngineLoad = "X-Engine-Load"
	// HeaderEngineRole is the engine's role, on every answer.
	HeaderEngineRole = "X-Engine-Role"
	// HeaderRequestLimit is on every answer of a back end that limits its load: the requests a second (a decimal
	// number) that it accepts from all gateways together.
	HeaderRequestLimit = "X-Request-Limit"
	// HeaderIdempotencyKey is forwarded to page services.
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
	PathExchanges     = "/v1/exchanges/" // + exchange: DELETE cancels, GET ?offset=N resumes the event stream
	PathKV            = "/v1/kv/"        // + handle: GET exports the KV cache to another engine
	PathLoad          = "/control/load"
	PathCacheEvents   = "/control/cache-events" // ?after=SEQUENCE
	PathState         = "/control/state"
	PathOrders        = "/control/orders"
	PathFence         = "/control/fence"
	PathHealth        = "/health"
	PathMachines      = "/v1/machines"       // of the machine list
	PathWeights       = "/v1/weights/"       // of the weight store; + model/version
	PathWeightsStatus = "/v1/weights-status" // of the weight store
)

// Durations that engines guarantee.
const (
	// ResumeWindow is how long an exchange continues without a reader.
	ResumeWindow = 5 * time.Second
	// FinishedRetention is how long the events of a finished exchange can be resumed.
	FinishedRetention = 10 * time.Second
	// KVHandleLifetime is how long an exported KV cache can be imported.
	KVHandleLifetime = 30 * time.Second
)

// FieldContinueText is the body field with the text of the tokens that HeaderContinueFrom
// counts.
const FieldContinueText = "continue_text"

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// Error codes of refusals.
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
