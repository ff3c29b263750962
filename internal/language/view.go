package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// View is the input of Evaluate: the state of one controller at one moment. Slices are sorted as the
// methods say and belong to the View; Evaluate does not modify them. Times are milliseconds since the
// Unix epoch, 0 when unknown.
type View interface {
	// NowMs is the time of the evaluation.
	NowMs() int64
	// Revisions lists the accepted revisions that the state still records, oldest first. The last one is
	// the current one; the list is empty before the first declaration.
	Revisions() []RevisionView
	// Objects lists the currently declared objects, sorted by type and then by name, without tombstones.
	Objects() []*v1.Object
	// ObjectHistory lists the recorded changes of one object, oldest first, including tombstones.
	ObjectHistory(*v1.ObjectKey) []*v1.Object
	// Engines lists the engines the controller knows, by name.
	Engines() []EngineView
	// Nodes lists gateways and controllers by name.
	Nodes() []NodeView
	// Members lists the members of the quorum, by identity.
	Members() []MemberView
	// Orders lists the recorded orders of one engine, or of all engines if engine is empty, oldest first.
	Orders(engine string) []OrderView
	// Claims lists the recorded claims, sorted by tenant, kind and key.
	Claims() []ClaimView
	// Suspects lists the requests during which replicas crashed, oldest first.
	Suspects() []SuspectView
	// Audit lists the recorded part of the audit trail, oldest first.
	Audit() []AuditRecord
	// Shares lists the shares of tenants' limits that gateways hold now, sorted by tenant and gateway;
	// empty on a controller that is not the leader.
	Shares() []ShareView
	// PlannerDecisions lists the planner's last decision for each service, sorted by service; empty on a
	// controller that is not the leader.
	PlannerDecisions() []PlannerDecision
}

// RevisionView is one accepted revision of the configuration.
type RevisionView struct {
	Revision       uint64
	ChangeNumber   uint64
	Operator       string
	SourceRevision string
	AcceptedAtMs   int64
	// Objects is the number of objects the revision changed.
	Objects int
}

// EngineView is one engine: its replicated state and its last report.
type EngineView struct {
	// State is the replicated state of the engine.
	State *v1.EngineState
	// ServingState is the back-end state that gateways receive for the engine.
	ServingState v1.BackEndState
	// RoleSinceMs is the time at which the engine got its current role.
	RoleSinceMs int64
	// PinnedRole is the role that a pin assigns to the engine, or unspecified.
	PinnedRole v1.Role
	// OutstandingOrder is the order that the engine has not finished, or nil.
	OutstandingOrder *v1.Order
	// Load is the engine's last load report, LoadAgeMs old; nil when there is none.
	Load      *v1.BackEndLoad
	LoadAgeMs int64
	// BlockedChange names a declared change that has not been ordered yet, and what blocks it; empty when
	// there is none, or on a controller that is not the leader.
	BlockedChange string
}

// NodeView is one gateway or controller.
type NodeView struct {
	Name    string
	Program string // gateway or controller
	Zone    string
	Address string
	// Revision is the revision that a gateway had applied as of its last message, or the revision on a
	// controller's disk. RevisionUnknown is set when the answering controller does not know it.
	Revision        uint64
	RevisionUnknown bool
	LastMessageAtMs int64
	Leaving         bool
	Incarnation     uint64
}

// MemberView is one member of the controllers' quorum.
type MemberView struct {
	Member *v1.Member
	Leader bool
	// MatchIndex is the highest log entry known to be synced to the member's disk; 0 when the answering
	// controller is not the leader.
	MatchIndex      uint64
	LastMessageAtMs int64
}

// OrderView is one order and its outcome.
type OrderView struct {
	Order *v1.Order
	// Outcome is unspecified while the order is outstanding.
	Outcome      v1.OrderOutcome
	Detail       string
	FinishedAtMs int64
}

// ClaimView is one claim of a request that runs at most once. It contains neither the hash of the request's body nor the
// recorded answer.
type ClaimView struct {
	Tenant      string
	Kind        string
	Key         string
	Gateway     string
	State       v1.ClaimState
	ExpiresAtMs int64
}

// SuspectView is one request during which replicas crashed.
type SuspectView struct {
	Signature   string
	Crashes     int
	Quarantined bool
	Trials      int
}

// AuditRecord is one submission of an operator, accepted or not.
type AuditRecord struct {
	Sequence  uint64
	AtMs      int64
	Operator  string
	RequestID string
	// Text is the command as the operator wrote it.
	Text    string
	Outcome string
	// Revision is the revision that the submission created; 0 when it created none.
	Revision       uint64
	SourceRevision string
}

// ShareView is one gateway's share of one tenant's limits.
type ShareView struct {
	Tenant          string
	Gateway         string
	TokensPerSecond uint64
	Concurrency     uint32
}

// PlannerDecision is the planner's last decision for one service and the reason for it.
type PlannerDecision struct {
	Service string
	AtMs    int64
	Changes int
	Reason  string
}
