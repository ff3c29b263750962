package enginecontract

// ServiceState says whether an engine or page service accepts new requests.
type ServiceState string

// Service states of an engine or page service.
const (
	StateServing  ServiceState = "serving"
	StateDraining ServiceState = "draining" // refuses new requests as not run, finishes those in flight
	StateChanging ServiceState = "changing" // out of service while a change is made
	StateLeaving  ServiceState = "leaving"  // will stop permanently
)

// Role is the part of a request that an engine serves: prefill, decode or both.
type Role string

// Engine roles.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// Action is the change that an order requests.
type Action string

// Order actions.
const (
	ActionSetRole       Action = "set-role"
	ActionLoadModel     Action = "load-model"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionDrain         Action = "drain"
	ActionResume        Action = "resume"
	ActionAbort         Action = "abort"
)

// Fence orders the authority of controllers: first by epoch, then by sequence; the highest wins.
type Fence struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is below other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Sequence < other.Sequence
}

// Order is the body of POST /control/orders. The engine accepts it only if the engine's role is
// ExpectedRole, no other order is in progress, and the fence is either above every fence that the engine has seen or
// equal to that of the order in progress (a resend, which gets the same answer).
type Order struct {
	Fence        Fence  `json:"fence"`
	Action       Action `json:"action"`
	Role         Role   `json:"role,omitempty"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	ExpectedRole Role   `json:"expected_role,omitempty"`
	// DrainMs is the longest time in milliseconds that the engine may drain before it aborts the
	// order and serves again; it never cuts a request in flight.
	DrainMs int64 `json:"drain_ms"`
}

// OrderPhase is the progress of an order at the engine.
type OrderPhase string

// Order phases.
const (
	PhaseNone     OrderPhase = "none"
	PhaseDraining OrderPhase = "draining"
	PhaseChanging OrderPhase = "changing"
	PhaseDone     OrderPhase = "done"
	PhaseAborted  OrderPhase = "aborted"
)

// OrderRefusal is the reason why an order had no effect.
type OrderRefusal string

// Order refusals.
const (
	RefusalStaleFence    OrderRefusal = "stale-fence"
	RefusalBusy          OrderRefusal = "busy"
	RefusalExpectedState OrderRefusal = "expected-state"
	RefusalInvalid       OrderRefusal = "invalid"
)

// OrderAnswer is the answer to POST /control/orders and POST /control/fence.
// The status is 200 if accepted and 409 if refused; State is set in both cases.
type OrderAnswer struct {
	Accepted bool         `json:"accepted"`
	Refusal  OrderRefusal `json:"refusal,omitempty"`
	State    EngineState  `json:"state"`
}

// EngineState is the answer to GET /control/state; it is always current.
type EngineState struct {
	Engine      string       `json:"engine"`
	Service     string       `json:"service"`
	Zone        string       `json:"zone"`
	Incarnation uint64       `json:"incarnation"`
	State       ServiceState `json:"state"`
	Role        Role         `json:"role"`
	Model       string       `json:"model"`
	Version     string       `json:"version"`
	Adapters    []string     `json:"adapters,omitempty"`
	// AdapterVersions holds the version of each adapter by name. An adapter without an entry
	// counts as having the declared version.
	AdapterVersions map[string]string `json:"adapter_versions,omitempty"`
	// HighestFence is the highest fence seen; it is kept over restarts of the engine.
	HighestFence Fence `json:"highest_fence"`
	// OrderFence and OrderPhase describe the last accepted order.
	OrderFence Fence      `json:"order_fence"`
	OrderPhase OrderPhase `json:"order_phase"`
	InFlight   int        `json:"in_flight"`
}

// LoadReport is the answer to GET /control/load; it lags behind the engine's state.
type LoadReport struct {
	Engine              string       `json:"engine"`
	Incarnation         uint64       `json:"incarnation"`
	AgeMs               int64        `json:"age_ms"`
	State               ServiceState `json:"state"`
	Role                Role         `json:"role"`
	Running             int          `json:"running"`
	Waiting             int          `json:"waiting"`
	WaitingPromptTokens int64        `json:"waiting_prompt_tokens"`
	RunningOutputTokens int64        `json:"running_output_tokens"`
	KVCacheUsed         float64      `json:"kv_cache_used"` // fraction of the cache, 0 to 1
	// Totals since the engine started.
	PromptTokensDone int64 `json:"prompt_tokens_done"`
	OutputTokensDone int64 `json:"output_tokens_done"`
}

// CacheEvent describes one block that the engine stored in its prefix cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	Block    string `json:"block"`
}

// CacheEvents is the answer to GET /control/cache-events. A gap in the sequence
// numbers means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// PrefillAnswer is the body of the answer to a prefill-only request.
type PrefillAnswer struct {
	Exchange     string `json:"exchange"`
	KVHandle     string `json:"kv_handle"`
	KVBytes      int64  `json:"kv_bytes"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
}

// Machine is one entry of the platform's machine list.
type Machine struct {
	Name    string       `json:"name"`
	Service string       `json:"service"`
	Zone    string       `json:"zone"`
	Address string       `json:"address"` // IP:port
	State   ServiceState `json:"state"`   // serving or leaving
}

// MachineList is the answer to GET /v1/machines; it lags behind the platform's state.
type MachineList struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines"`
}
