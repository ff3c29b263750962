package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Config identifies an engine and sets how long its changes take.
type Config struct {
	Engine  string
	Service string
	Zone    string
	// Incarnation increases with each start of the engine's process.
	Incarnation uint64
	RoleChange  time.Duration
	WeightLoad  time.Duration
	AdapterLoad time.Duration
	// ExternalWeights makes a load-model order also wait for FinishWeightLoad.
	ExternalWeights bool
	Safeguards      safeguard.Set
}

// Machine accepts or refuses the orders that controllers send to one stand-in engine, and tracks the progress of the
// accepted order.
type Machine struct {
	config  Config
	durable Durable
	leaving bool
	// drainEnd is when a drain that has not finished is aborted.
	drainEnd time.Duration
	// changeEnd is the earliest time at which the change in progress is done.
	changeEnd time.Duration
	// awaitsWeights is true while the change in progress waits for FinishWeightLoad.
	awaitsWeights bool
}

// New returns the machine of an engine that starts with its durable state: the Durable of
// its previous incarnation, or only role and model on its first start.
func New(config Config, durable Durable) *Machine {
	durable = durable.afterRestart()
	if !config.Safeguards.IsEnabled(DurableFence) {
		durable.HighestFence = enginecontract.Fence{}
	}
	return &Machine{config: config, durable: durable}
}

// Durable returns a copy of the state that must be stored before the answer is sent.
func (m *Machine) Durable() Durable {
	durable := m.durable
	durable.Adapters = slices.Clone(durable.Adapters)
	durable.AdapterVersions = maps.Clone(durable.AdapterVersions)
	return durable
}

// Submit handles one order. A refused order changes only the highest fence and the stored refusal.
func (m *Machine) Submit(now time.Duration, order enginecontract.Order, inFlight int) enginecontract.OrderAnswer {
	m.Advance(now, inFlight)
	refusal := m.checkOrder(order)
	if refusal == "" && order != m.durable.Order {
		m.accept(now, order, inFlight)
	}
	return enginecontract.OrderAnswer{Accepted: refusal == "", Refusal: refusal, State: m.State(inFlight)}
}

// checkOrder decides whether to refuse an order and records its fence and the refusal. It
// returns "" for an order to accept.
func (m *Machine) checkOrder(order enginecontract.Order) enginecontract.OrderRefusal {
	none := enginecontract.Fence{}
	switch {
	case !isValid(order):
		return enginecontract.RefusalInvalid
	case order.Fence == m.durable.Order.Fence && order == m.durable.Order:
		return "" // a resend of the current order
	case order.Fence == m.durable.RefusedFence && m.durable.RefusedFence != none:
		return m.durable.LastRefusal
	case m.config.Safeguards.IsEnabled(FenceCheck) && !m.durable.HighestFence.Less(order.Fence):
		return enginecontract.RefusalStaleFence
	}
	if m.durable.HighestFence.Less(order.Fence) {
		m.durable.HighestFence = order.Fence
	}
	refusal := m.checkState(order)
	if refusal != "" {
		m.durable.RefusedFence, m.durable.LastRefusal = order.Fence, refusal
	}
	return refusal
}

func (m *Machine) checkState(order enginecontract.Order) enginecontract.OrderRefusal {
	phase := m.durable.Phase
	underWay := phase == enginecontract.PhaseDraining || phase == enginecontract.PhaseChanging
	abortable := order.Action == enginecontract.ActionAbort && phase == enginecontract.PhaseDraining
	if underWay && !abortable && m.config.Safeguards.IsEnabled(OneOrder) {
		return enginecontract.RefusalBusy
	}
	other := order.ExpectedRole != "" && order.ExpectedRole != m.durable.Role
	if (other && m.config.Safeguards.IsEnabled(ExpectedStateCheck)) || m.leaving {
		return enginecontract.RefusalExpectedState
	}
	return ""
}

// RaiseFence raises the highest fence to the given one; it refuses a fence of an older epoch.
func (m *Machine) RaiseFence(now time.Duration, fence enginecontract.Fence, inFlight int) enginecontract.OrderAnswer {
	m.Advance(now, inFlight)
	answer := enginecontract.OrderAnswer{Accepted: true}
	switch {
	case m.durable.HighestFence.Less(fence):
		m.durable.HighestFence = fence
	case fence.Less(m.durable.HighestFence) && fence.Epoch < m.durable.HighestFence.Epoch:
		answer = enginecontract.OrderAnswer{Refusal: enginecontract.RefusalStaleFence}
	}
	answer.State = m.State(inFlight)
	return answer
}

// accept starts an order that was not refused.
func (m *Machine) accept(now time.Duration, order enginecontract.Order, inFlight int) {
	m.durable.Order = order
	m.awaitsWeights = false
	if m.isSatisfied(order) {
		m.durable.Phase = enginecontract.PhaseDone
		return
	}
	switch order.Action {
	case enginecontract.ActionAbort:
		m.durable.Phase = enginecontract.PhaseDone
	case enginecontract.ActionResume:
		m.durable.Drained = false
		m.durable.Phase = enginecontract.PhaseDone
	case enginecontract.ActionLoadAdapter, enginecontract.ActionUnloadAdapter:
		m.beginChange(now)
	default:
		m.durable.Phase = enginecontract.PhaseDraining
		m.drainEnd = now + time.Duration(order.DrainMs)*time.Millisecond
		m.Advance(now, inFlight)
	}
}

// isSatisfied reports whether the engine is already in the state that the order asks for.
func (m *Machine) isSatisfied(order enginecontract.Order) bool {
	switch order.Action {
	case enginecontract.ActionSetRole:
		return order.Role == m.durable.Role
	case enginecontract.ActionLoadModel:
		return order.Model == m.durable.Model && order.Version == m.durable.Version
	case enginecontract.ActionLoadAdapter:
		return slices.Contains(m.durable.Adapters, order.Adapter) && m.durable.AdapterVersions[order.Adapter] == order.Version
	case enginecontract.ActionUnloadAdapter:
		return !slices.Contains(m.durable.Adapters, order.Adapter)
	}
	return false
}

// Advance moves the machine to a time: a drained engine begins its change, a change that
// has taken its time finishes, and a drain that exceeded its limit is aborted.
func (m *Machine) Advance(now time.Duration, inFlight int) {
	if m.durable.Phase == enginecontract.PhaseDraining {
		switch {
		case inFlight == 0 || !m.config.Safeguards.IsEnabled(DrainFirst):
			m.beginChange(now)
		case now >= m.drainEnd:
			m.durable.Phase = enginecontract.PhaseAborted
		}
	}
	if m.durable.Phase == enginecontract.PhaseChanging && now >= m.changeEnd && !m.awaitsWeights {
		m.finishChange()
	}
}

func (m *Machine) beginChange(now time.Duration) {
	m.durable.Phase = enginecontract.PhaseChanging
	m.changeEnd = now
	switch m.durable.Order.Action {
	case enginecontract.ActionSetRole:
		m.changeEnd += m.config.RoleChange
	case enginecontract.ActionLoadModel:
		m.changeEnd += m.config.WeightLoad
		m.awaitsWeights = m.config.ExternalWeights
	case enginecontract.ActionLoadAdapter, enginecontract.ActionUnloadAdapter:
		m.changeEnd += m.config.AdapterLoad
	case enginecontract.ActionDrain:
		m.finishChange()
	}
}

func (m *Machine) finishChange() {
	order := m.durable.Order
	m.durable.Phase = enginecontract.PhaseDone
	switch order.Action {
	case enginecontract.ActionSetRole:
		m.durable.Role = order.Role
	case enginecontract.ActionLoadModel:
		m.durable.Model, m.durable.Version, m.durable.Adapters, m.durable.AdapterVersions = order.Model, order.Version, nil, nil
	case enginecontract.ActionLoadAdapter:
		m.loadAdapter(order.Adapter, order.Version)
	case enginecontract.ActionUnloadAdapter:
		m.durable.Adapters = slices.DeleteFunc(slices.Clone(m.durable.Adapters), func(name string) bool { return name == order.Adapter })
		m.durable.AdapterVersions = maps.Clone(m.durable.AdapterVersions)
		delete(m.durable.AdapterVersions, order.Adapter)
	case enginecontract.ActionDrain:
		m.durable.Drained = true
	}
}

// loadAdapter adds an adapter or replaces its version.
func (m *Machine) loadAdapter(name, version string) {
	if !slices.Contains(m.durable.Adapters, name) {
		m.durable.Adapters = append(slices.Clone(m.durable.Adapters), name)
		slices.Sort(m.durable.Adapters)
	}
	versions := maps.Clone(m.durable.AdapterVersions)
	if versions == nil {
		versions = make(map[string]string)
	}
	versions[name] = version
	m.durable.AdapterVersions = versions
}

// NextEvent returns the time of the next transition that depends on time alone; the second value is false if there is
// none.
func (m *Machine) NextEvent() (time.Duration, bool) {
	switch {
	case m.durable.Phase == enginecontract.PhaseDraining:
		return m.drainEnd, true
	case m.durable.Phase == enginecontract.PhaseChanging && !m.awaitsWeights:
		return m.changeEnd, true
	}
	return 0, false
}

// PendingWeightLoad returns the order that waits for weights and whether there is one.
func (m *Machine) PendingWeightLoad() (enginecontract.Order, bool) {
	return m.durable.Order, m.awaitsWeights && m.durable.Phase == enginecontract.PhaseChanging
}

// FinishWeightLoad reports that the weights of an order have been loaded, or, if loaded is
// false, that they are unavailable, which aborts the order and keeps the current model.
func (m *Machine) FinishWeightLoad(now time.Duration, order enginecontract.Order, loaded bool) {
	if wanted, waits := m.PendingWeightLoad(); !waits || wanted != order {
		return
	}
	m.awaitsWeights = false
	if !loaded {
		m.durable.Phase = enginecontract.PhaseAborted
		return
	}
	m.changeEnd = max(m.changeEnd, now)
	m.Advance(now, 0)
}

// StartLeaving makes the engine refuse new work and orders for the rest of its incarnation.
func (m *Machine) StartLeaving() { m.leaving = true }

// ServiceState returns the engine's service state; it accepts new work only when serving.
func (m *Machine) ServiceState() enginecontract.ServiceState {
	hot := m.durable.Order.Action == enginecontract.ActionLoadAdapter || m.durable.Order.Action == enginecontract.ActionUnloadAdapter
	switch {
	case m.leaving:
		return enginecontract.StateLeaving
	case m.durable.Phase == enginecontract.PhaseChanging && !hot:
		return enginecontract.StateChanging
	case m.durable.Phase == enginecontract.PhaseDraining || m.durable.Drained:
		return enginecontract.StateDraining
	}
	return enginecontract.StateServing
}

// Role returns the role that the engine has now.
func (m *Machine) Role() enginecontract.Role { return m.durable.Role }

// Serves reports whether a name is the engine's model or one of its adapters.
func (m *Machine) Serves(model string) bool {
	if model == m.durable.Model || slices.Contains(m.durable.Adapters, model) {
		order := m.durable.Order
		unloading := m.durable.Phase == enginecontract.PhaseChanging && order.Action == enginecontract.ActionUnloadAdapter
		return !(unloading && order.Adapter == model)
	}
	return false
}

// State returns the engine's state as the engine contract reports it. inFlight is the engine's number of requests in flight.
func (m *Machine) State(inFlight int) enginecontract.EngineState {
	return enginecontract.EngineState{
		AdapterVersions: maps.Clone(m.durable.AdapterVersions),

		Engine:       m.config.Engine,
		Service:      m.config.Service,
		Zone:         m.config.Zone,
		Incarnation:  m.config.Incarnation,
		State:        m.ServiceState(),
		Role:         m.durable.Role,
		Model:        m.durable.Model,
		Version:      m.durable.Version,
		Adapters:     slices.Clone(m.durable.Adapters),
		HighestFence: m.durable.HighestFence,
		OrderFence:   m.durable.Order.Fence,
		OrderPhase:   m.durable.Phase,
		InFlight:     inFlight,
	}
}
