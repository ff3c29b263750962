package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// View is what Evaluate reads: the state of one controller at one moment. All
// slices are sorted as their methods say and belong to the View; Evaluate does not
// change them. Times are milliseconds since the Unix epoch, 0 when unknown.
type View interface {
	// NowMs is the time of the evaluation.
	NowMs() int64
	// Revisions lists the accepted revisions that are still remembered, oldest
	// first. The last one is in force; it is empty before the first declaration.
	Revisions() []RevisionView
	// Objects lists the declared objects in force, by type and then by name;
	// no tombstones.
	Objects() []*v1.Object
	// ObjectHistory lists the remembered changes of one object, oldest first;
	// tombstones are among them.
	ObjectHistory(*v1.ObjectKey) []*v1.Object
	// Engines lists the engines the controller knows, by name.
	Engines() []EngineView
	// Nodes lists gateways and controllers by name.
	Nodes() []NodeView
	// Members lists the members of the quorum, by identity.
	Members() []MemberView
	// Orders lists the remembered orders, of one engine or (empty) of all, oldest first.
	Orders(engine string) []OrderView
	// Claims lists the claims that are remembered, by tenant, kind and key.
	Claims() []ClaimView
	// Suspects lists the requests under which replicas have ended, oldest first.
	Suspects() []SuspectView
	// Audit lists the audit trail as far as it is remembered, oldest first.
	Audit() []AuditRecord
	// Shares lists the parts of tenants' limits that gateways hold now, by
	// tenant and gateway; empty on a controller that is not the leader.
	Shares() []ShareView
	// PlannerDecisions lists the planner's last decision for each service, by
	// service; empty on a controller that is not the leader.
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

// EngineView is one engine: what the log says of it and what it reported last.
type EngineView struct {
	// State is what the replicated state records of the engine.
	State *v1.EngineState
	// ServingState is what back end state gateways are told.
	ServingState v1.BackEndState
	// RoleSinceMs is the time the engine took its role.
	RoleSinceMs int64
	// PinnedRole is the role a pin holds the engine in, or unspecified.
	PinnedRole v1.Role
	// OutstandingOrder is the order the engine holds, or nil.
	OutstandingOrder *v1.Order
	// Load is what the engine reported last, LoadAgeMs ago; nil when it never did.
	Load      *v1.BackEndLoad
	LoadAgeMs int64
	// BlockedChange says which declared change the engine waits for and why it has not
	// been ordered; empty when nothing waits, or on a controller that is not the leader.
	BlockedChange string
}

// NodeView is one gateway or controller.
type NodeView struct {
	Name    string
	Program string // gateway or controller
	Zone    string
	Address string
	// Revision is the one in force at a gateway when it was last heard, and the one
	// on a controller's disk. RevisionUnknown tells that the answering controller
	// does not know it.
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
	// MatchIndex is the highest log entry known to be synced at the member;
	// 0 when the answering controller does not lead.
	MatchIndex      uint64
	LastMessageAtMs int64
}

// OrderView is one order and how it ended.
type OrderView struct {
	Order *v1.Order
	// Outcome is unspecified while the order is outstanding.
	Outcome      v1.OrderOutcome
	Detail       string
	FinishedAtMs int64
}

// ClaimView is one claim of a request that runs at most once. It has neither the
// idempotency key's body nor the answer's.
type ClaimView struct {
	Tenant      string
	Kind        string
	Key         string
	Gateway     string
	State       v1.ClaimState
	ExpiresAtMs int64
}

// SuspectView is one request under which replicas have ended.
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
	// Text is the command as the operator gave it.
	Text    string
	Outcome string
	// Revision is the one the submission made; 0 when it made none.
	Revision       uint64
	SourceRevision string
}

// ShareView is one gateway's part of one tenant's limits.
type ShareView struct {
	Tenant          string
	Gateway         string
	TokensPerSecond uint64
	Concurrency     uint32
}

// PlannerDecision is the planner's last decision for one service and why.
type PlannerDecision struct {
	Service string
	AtMs    int64
	Changes int
	Reason  string
}
