package orders

import "github.com/hazelpitch/hazelpitch/internal/enginecontract"

// Durable is the state that an engine keeps across restarts. It is stored before the
// answer that depends on it is sent.
type Durable struct {
	HighestFence enginecontract.Fence
	Role         enginecontract.Role
	Model        string
	Version      string
	Adapters     []string
	// AdapterVersions maps adapters to versions; adapters of the first start have no entry.
	AdapterVersions map[string]string
	// Order is the last accepted order and Phase its progress.
	Order enginecontract.Order
	Phase enginecontract.OrderPhase
	// RefusedFence is the fence of the last refused order, and LastRefusal the answer that is
	// repeated to a resend of it.
	RefusedFence enginecontract.Fence
	LastRefusal  enginecontract.OrderRefusal
	// Drained is true while a drain order keeps the engine out of service.
	Drained bool
}

// afterRestart returns the state in which the next incarnation starts: an order in progress
// is aborted, and role and models are those from before it.
func (d Durable) afterRestart() Durable {
	if d.Phase == enginecontract.PhaseDraining || d.Phase == enginecontract.PhaseChanging {
		d.Phase = enginecontract.PhaseAborted
	}
	if d.Phase == "" {
		d.Phase = enginecontract.PhaseNone
	}
	return d
}
