// Package control is the controller's decision logic as a pure state machine: it
// takes inputs with the time they happened and returns outputs. It does no I/O,
// reads no clock and starts no goroutine. The controller runtime drives it in
// production, the simulator in tests; both see the same Core.
package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// CallID identifies one pending call of an operator or a node; the runtime picks
// it and gets it back in the Answer.
type CallID uint64

// Input is one thing that happened.
type Input interface{ isInput() }

// Tick tells that time has passed. The runtime sends one every TickInterval.
type Tick struct {
	// TimeOfDayMs is this machine's reading of the time of day, in milliseconds since the start of
	// 1970; it may be wrong, and jump. 0 means that Config.WallOrigin tells it.
	TimeOfDayMs int64
}

// PeerMessage is a consensus message from another controller.
type PeerMessage struct{ Message *v1.ConsensusMessage }

// Persisted tells that the Persist output with this number is written and synced.
type Persisted struct{ Batch uint64 }

// ApplyReceived is a submission of an authenticated operator; its files are parsed.
type ApplyReceived struct {
	Call     CallID
	Operator string
	Request  *v1.ApplyRequest
	Objects  []*v1.Object
}

// PlanReceived asks what a declaration would change.
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

// RefusalReceived is a call of an authenticated operator that the runtime refuses;
// the audit trail keeps why.
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

// BeginClaimReceived asks for the right to run a request that may run at most once.
type BeginClaimReceived struct {
	Call    CallID
	Request *v1.BeginClaimRequest
}

// FinishClaimReceived records the outcome of a claimed request.
type FinishClaimReceived struct {
	Call    CallID
	Request *v1.FinishClaimRequest
}

// MachineListReceived is a reading of the platform's machine list.
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

// SeedsChanged brings the seeds that the settings name now.
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
