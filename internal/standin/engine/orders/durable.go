package orders

import "github.com/hazelpitch/hazelpitch/internal/enginecontract"

// Durable is what an engine keeps over a restart. It is written before the answer
// that it belongs to leaves the engine.
type Durable struct {
	HighestFence enginecontract.Fence
	Role         enginecontract.Role
	Model        string
	Version      string
	Adapters     []string
	// AdapterVersions by adapter; those of the first start are not known.
	AdapterVersions map[string]string
	// Order is the last accepted order and Phase how far it has come.
	Order enginecontract.Order
	Phase enginecontract.OrderPhase
	// RefusedFence is the fence of the last refused order, and Refusal the answer that a
	// resend of it gets again.
	RefusedFence enginecontract.Fence
	LastRefusal  enginecontract.OrderRefusal
	// Drained tells that a drain order keeps the engine out of service.
	Drained bool
}

// afterRestart is the known state an engine comes back in: a change that was under
// way is aborted, and the role and models are those of before it.
func (d Durable) afterRestart() Durable {
	if d.Phase == enginecontract.PhaseDraining || d.Phase == enginecontract.PhaseChanging {
		d.Phase = enginecontract.PhaseAborted
	}
	if d.Phase == "" {
		d.Phase = enginecontract.PhaseNone
	}
	return d
}
