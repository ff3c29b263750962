package experiment

// Run is the result of one scenario under one policy and seed, as printed by
// `hazelbench experiment --json`. It contains no maps: the order of every list is fixed, so
// that equal runs have equal encodings.
type Run struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// LengthSeconds is the period in which requests arrived.
	LengthSeconds float64 `json:"length_seconds"`
	// OfferedWorth is the worth of all requests that arrived; Goodput is the worth of those
	// that completed within their deadlines.
	OfferedWorth float64 `json:"offered_worth"`
	Goodput      float64 `json:"goodput"`
	// BoundGoodput is the highest goodput in the search for the clairvoyant plan of the same
	// scenario and seed; nil when it was not computed.
	BoundGoodput *float64 `json:"bound_goodput,omitempty"`
	// RoleChanges counts finished role changes; RoleChangesOrdered counts all that were ordered.
	RoleChanges        int `json:"role_changes"`
	RoleChangesOrdered int `json:"role_changes_ordered"`
	// Requests counts arrivals; the following fields count their outcomes.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	// DeadlineMisses counts requests that started but did not complete by their deadline.
	DeadlineMisses int `json:"deadline_misses"`
	Refused        int `json:"refused"`
	// Cut counts requests that ended because their engine crashed after they had started.
	Cut       int       `json:"cut"`
	Refusals  []Refusal `json:"refusals"`
	Tenants   []Tenant  `json:"tenants"`
	Latencies Latencies `json:"latencies"`
	Series    []Sample  `json:"series"`
	Events    []Event   `json:"events"`
}

// Refusal counts refusals of one tenant with one verdict and reason.
type Refusal struct {
	Tenant  string `json:"tenant"`
	Verdict string `json:"verdict"` // "not-run"
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Tenant is the result of one tenant.
type Tenant struct {
	Tenant       string  `json:"tenant"`
	Requests     int     `json:"requests"`
	Completed    int     `json:"completed"`
	Refused      int     `json:"refused"`
	OfferedWorth float64 `json:"offered_worth"`
	Goodput      float64 `json:"goodput"`
}

// Latencies of completed requests, in milliseconds.
type Latencies struct {
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
	Whole         Percentiles `json:"whole_ms"`
}

// Percentiles of one distribution.
type Percentiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Sample is the state of the fleet at the end of one second.
type Sample struct {
	AtSeconds float64 `json:"at_seconds"`
	// Goodput and OfferedWorth are the worth that completed and arrived in that second.
	Goodput      float64 `json:"goodput"`
	OfferedWorth float64 `json:"offered_worth"`
	// PromptTokens and OutputTokens are those of the requests that arrived in that second.
	PromptTokens int64 `json:"prompt_tokens"`
	OutputTokens int64 `json:"output_tokens"`
	// Queued counts requests waiting at gateways, Waiting those waiting at engines, and Running those in execution.
	Queued  int         `json:"queued"`
	Waiting int         `json:"waiting"`
	Running int         `json:"running"`
	Roles   []RoleCount `json:"roles"`
}

// RoleCount counts the engines of one service and zone by role; Out counts those that are
// draining, changing or down. Rows are sorted by service, then zone.
type RoleCount struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Prefill int    `json:"prefill"`
	Decode  int    `json:"decode"`
	Mixed   int    `json:"mixed"`
	Out     int    `json:"out"`
}

// EventType is the type of an Event.
type EventType string

// Types of events.
const (
	EventChangeStarted  EventType = "change-started"
	EventChangeFinished EventType = "change-finished"
	EventFault          EventType = "fault"
	EventRecovered      EventType = "recovered"
	EventLeaderLost     EventType = "leader-lost"
	EventLeaderElected  EventType = "leader-elected"
)

// Event is one event of the fleet. Events are in order of time.
type Event struct {
	AtSeconds float64   `json:"at_seconds"`
	Type      EventType `json:"type"`
	Service   string    `json:"service,omitempty"`
	Engine    string    `json:"engine,omitempty"`
	Zone      string    `json:"zone,omitempty"`
	From      string    `json:"from,omitempty"`
	To        string    `json:"to,omitempty"`
	// Detail is the planner's reason or the type of the fault.
	Detail string `json:"detail,omitempty"`
}
