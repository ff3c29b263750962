package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Config is what an engine is and how long its changes take.
type Config struct {
	Engine  string
	Service string
	Zone    string
	// Incarnation grows with each start of the engine's process.
	Incarnation uint64
	RoleChange  time.Duration
	WeightLoad  time.Duration
	AdapterLoad time.Duration
	// ExternalWeights makes a load-model order wait for WeightsArrived as well.
	ExternalWeights bool
	Safeguards      safeguard.Set
}

// Machine is one engine's order state.
type Machine struct {
	config  Config
	durable Durable
	leaving bool
	// drainEnd is when a drain that has not finished is aborted.
	drainEnd time.Duration
	// changeEnd is when the change under way is done.
	changeEnd time.Duration
	// weightsMissing tells that the change waits for WeightsArrived.
	weightsMissing bool
}

// New returns the machine of an engine that starts with what it kept: Durable of
// its last run, or role and model alone on its first start.
func New(config Config, kept Durable) *Machine {
	kept = kept.afterRestart()
	if !config.Safeguards.IsEnabled(DurableFence) {
		kept.HighestFence = enginecontract.Fence{}
	}
	return &Machine{config: config, durable: kept}
}

// Durable is what must be kept now, before the answer leaves.
func (m *Machine) Durable() Durable {
	kept := m.durable
	kept.Adapters = slices.Clone(kept.Adapters)
	kept.AdapterVersions = maps.Clone(kept.AdapterVersions)
	return kept
}

// Submit takes one order. A refused order changes nothing but the highest fence.
func (m *Machine) Submit(now time.Duration, order enginecontract.Order, inFlight int) enginecontract.OrderAnswer {
	m.Advance(now, inFlight)
	refusal := m.refuse(order)
	if refusal == "" && order != m.durable.Order {
		m.accept(now, order, inFlight)
	}
	return enginecontract.OrderAnswer{Accepted: refusal == "", Refusal: refusal, State: m.State(inFlight)}
}

// refuse decides on an order and remembers the fence and the refusal.
func (m *Machine) refuse(order enginecontract.Order) enginecontract.OrderRefusal {
	none := enginecontract.Fence{}
	switch {
	case !valid(order):
		return enginecontract.RefusalInvalid
	case order.Fence == m.durable.Order.Fence && order == m.durable.Order:
		return "" // a resend of the order held
	case order.Fence == m.durable.RefusedFence && m.durable.RefusedFence != none:
		return m.durable.LastRefusal
	case m.config.Safeguards.IsEnabled(FenceCheck) && !m.durable.HighestFence.Less(order.Fence):
		return enginecontract.RefusalStaleFence
	}
	if m.durable.HighestFence.Less(order.Fence) {
		m.durable.HighestFence = order.Fence
	}
	refusal := m.refuseByState(order)
	if refusal != "" {
		m.durable.RefusedFence, m.durable.LastRefusal = order.Fence, refusal
	}
	return refusal
}

func (m *Machine) refuseByState(order enginecontract.Order) enginecontract.OrderRefusal {
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

// RaiseFence raises the highest fence seen to an epoch's start and does nothing else.
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

// accept begins an order that was not refused.
func (m *Machine) accept(now time.Duration, order enginecontract.Order, inFlight int) {
	m.durable.Order = order
	m.weightsMissing = false
	if m.nothingToDo(order) {
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

// nothingToDo tells that the engine is already as the order wants it.
func (m *Machine) nothingToDo(order enginecontract.Order) bool {
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

// Advance moves time on: drained engines begin their change, changes end, drains
// that took too long are aborted.
func (m *Machine) Advance(now time.Duration, inFlight int) {
	if m.durable.Phase == enginecontract.PhaseDraining {
		switch {
		case inFlight == 0 || !m.config.Safeguards.IsEnabled(DrainFirst):
			m.beginChange(now)
		case now >= m.drainEnd:
			m.durable.Phase = enginecontract.PhaseAborted
		}
	}
	if m.durable.Phase == enginecontract.PhaseChanging && now >= m.changeEnd && !m.weightsMissing {
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
		m.weightsMissing = m.config.ExternalWeights
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

// loadAdapter adds an adapter, or puts another version in its place.
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

// NextEvent is when Advance has something to do by time alone; false when nothing.
func (m *Machine) NextEvent() (time.Duration, bool) {
	switch {
	case m.durable.Phase == enginecontract.PhaseDraining:
		return m.drainEnd, true
	case m.durable.Phase == enginecontract.PhaseChanging && !m.weightsMissing:
		return m.changeEnd, true
	}
	return 0, false
}

// PendingWeightLoad returns the order that waits for weights, if one does.
func (m *Machine) PendingWeightLoad() (enginecontract.Order, bool) {
	return m.durable.Order, m.weightsMissing && m.durable.Phase == enginecontract.PhaseChanging
}

// FinishWeightLoad tells that the weights of the order are here, or that they can't
// be had, which aborts it: the engine goes on with the model it had.
func (m *Machine) FinishWeightLoad(now time.Duration, order enginecontract.Order, whole bool) {
	if wanted, waits := m.PendingWeightLoad(); !waits || wanted != order {
		return
	}
	m.weightsMissing = false
	if !whole {
		m.durable.Phase = enginecontract.PhaseAborted
		return
	}
	m.changeEnd = max(m.changeEnd, now)
	m.Advance(now, 0)
}

// StartLeaving makes the engine refuse new work and orders for good.
func (m *Machine) StartLeaving() { m.leaving = true }

// ServiceState tells whether the engine takes new work: only when serving.
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

// Role is the role in force.
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

// State is the engine's state as its contract shows it.
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
