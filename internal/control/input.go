// Package control implements the controller's decision logic as a pure state machine: it
// processes inputs, each with its time, and returns outputs. It does no I/O, reads no clock
// and starts no goroutine. The controller runtime drives it in production and the simulator
// in tests; both use the same Core.
package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// CallID identifies one pending call of an operator or a node. The runtime chooses it and
// gets it back in the Answer.
type CallID uint64

// Input is one event that the Core processes.
type Input interface{ isInput() }

// Tick reports that time has passed. The runtime sends one every TickInterval.
type Tick struct {
	// TimeOfDayMs is the time of day by this machine's clock, in milliseconds since the Unix epoch.
	// It may be wrong and may jump. 0 means that it follows from Config.WallOrigin.
	TimeOfDayMs int64
}

// PeerMessage is a consensus message from another controller.
type PeerMessage struct{ Message *v1.ConsensusMessage }

// Persisted reports that the Persist output with this batch number is written and synced.
type Persisted struct{ Batch uint64 }

// ApplyReceived is a declaration of an authenticated operator; its files are parsed.
type ApplyReceived struct {
	Call     CallID
	Operator string
	Request  *v1.ApplyRequest
	Objects  []*v1.Object
}

// PlanReceived requests the changes that a declaration would make.
type PlanReceived struct {
	Call    CallID
	Request *v1.PlanRequest
	Objects []*v1.Object
}

// ExecuteReceived is a query or command of an authenticated operator.
type ExecuteReceived struct {
	Call     CallID
	Operator string
	Role     v1.OperatorRole
	Request  *v1.ExecuteRequest
}

// RefusalReceived is a call of an authenticated operator that the runtime refuses; the
// reason is recorded in the audit trail.
type RefusalReceived struct {
	Call                      CallID
	Operator, RequestID, Text string
	Err                       error
}

// SyncReceived is a gateway's heartbeat.
type SyncReceived struct {
	Call    CallID
	Request *v1.SyncRequest
}

// ReportReceived is a gateway's demand report.
type ReportReceived struct {
	Call    CallID
	Request *v1.ReportRequest
}

// BeginClaimReceived requests the claim of a request that may run at most once.
type BeginClaimReceived struct {
	Call    CallID
	Request *v1.BeginClaimRequest
}

// FinishClaimReceived reports the outcome of a claimed request.
type FinishClaimReceived struct {
	Call    CallID
	Request *v1.FinishClaimRequest
}

// MachineListReceived is a read of the platform's machine list.
type MachineListReceived struct{ List enginecontract.MachineList }

// OrderAnswered is an engine's answer to SendOrder; Answer is nil when it was lost.
type OrderAnswered struct {
	Engine string
	Fence  enginecontract.Fence
	Answer *enginecontract.OrderAnswer
}

// FenceAnswered is an engine's answer to SendFence; Answer is nil when it was lost.
type FenceAnswered struct {
	Engine string
	Epoch  uint64
	Answer *enginecontract.OrderAnswer
}

// EngineStateReceived is an engine's answer to PollEngine; State is nil when it was lost.
type EngineStateReceived struct {
	Engine string
	State  *enginecontract.EngineState
	Load   *enginecontract.LoadReport
}

// SeedsChanged replaces the seeds after a change of the settings.
type SeedsChanged struct{ Seeds []string }

func (SeedsChanged) isInput()        {}
func (Tick) isInput()                {}
func (PeerMessage) isInput()         {}
func (Persisted) isInput()           {}
func (RefusalReceived) isInput()     {}
func (ApplyReceived) isInput()       {}
func (PlanReceived) isInput()        {}
func (ExecuteReceived) isInput()     {}
func (SyncReceived) isInput()        {}
func (ReportReceived) isInput()      {}
func (BeginClaimReceived) isInput()  {}
func (FinishClaimReceived) isInput() {}
func (MachineListReceived) isInput() {}
func (OrderAnswered) isInput()       {}
func (FenceAnswered) isInput()       {}
func (EngineStateReceived) isInput() {}
