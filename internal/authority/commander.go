package authority

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Commander holds the authority of the leading controller over the engines.
type Commander struct {
	config Config
	// epoch is the term in which this controller leads, since termStartedAt; 0 when it does not lead.
	epoch         uint64
	termStartedAt time.Duration
	engines       map[string]*engine
	names         []string // of engines, sorted
	// beginProposedAt is when the BeginAuthority command of this term was last proposed.
	beginProposed   bool
	beginProposedAt time.Duration
}

// New returns a Commander for a controller that does not lead.
func New(config Config) *Commander {
	return &Commander{config: config.withDefaults(), engines: map[string]*engine{}}
}

// BeginTerm starts the authority of a term. The Commander keeps the states that engines have reported, but
// raises the fence of every engine again.
func (c *Commander) BeginTerm(now time.Duration, term uint64) {
	c.epoch = term
	c.termStartedAt = now
	c.beginProposed = false
	for _, engine := range c.engines {
		engine.pendingOrder = nil
		engine.proposalPending = false
		engine.fenceInFlight = false
		engine.nextFenceAt = 0
		engine.nextOrderAt = 0
		engine.orderInFlight = enginecontract.Fence{}
	}
}

// EndTerm ends the authority: this controller no longer leads.
func (c *Commander) EndTerm() { c.epoch = 0 }

// Epoch returns the term in which this controller leads, or 0.
func (c *Commander) Epoch() uint64 { return c.epoch }

// SetListing sets an engine's address and whether the platform's list contains the engine.
func (c *Commander) SetListing(name, address string, listed bool) {
	engine := c.findOrAddEngine(name)
	engine.address = address
	engine.listed = listed
}

// RemoveEngine removes an engine that will not return.
func (c *Commander) RemoveEngine(name string) {
	if _, known := c.engines[name]; !known {
		return
	}
	delete(c.engines, name)
	c.names = slices.DeleteFunc(c.names, func(other string) bool { return other == name })
}

func (c *Commander) findOrAddEngine(name string) *engine {
	if engine := c.engines[name]; engine != nil {
		return engine
	}
	created := &engine{name: name}
	c.engines[name] = created
	position, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, position, name)
	return created
}

// RecordPollAnswer records the state that an engine returned for a poll sent at sentAt.
func (c *Commander) RecordPollAnswer(sentAt time.Duration, name string, state enginecontract.EngineState) {
	engine := c.engines[name]
	if engine == nil || sentAt < engine.lastAnswerAt {
		return
	}
	engine.recordState(sentAt, state)
}

// RecordFenceAnswer records an engine's answer to a fence; answer is nil when none arrived.
func (c *Commander) RecordFenceAnswer(now time.Duration, name string, epoch uint64, answer *enginecontract.OrderAnswer) {
	engine := c.engines[name]
	if engine == nil || epoch != c.epoch {
		return
	}
	engine.fenceInFlight = false
	if answer == nil {
		return
	}
	engine.lastAnswerAt = now
	engine.recordState(now, answer.State)
	if answer.State.HighestFence.Epoch == epoch {
		engine.fencedEpoch = epoch
		engine.fencedIncarnation = answer.State.Incarnation
	}
}

// RecordOrderAnswer records an engine's answer to an order or an abort; answer is nil when none
// arrived.
func (c *Commander) RecordOrderAnswer(now time.Duration, name string, fence enginecontract.Fence, answer *enginecontract.OrderAnswer) {
	engine := c.engines[name]
	if engine == nil {
		return
	}
	if engine.orderInFlight == fence {
		engine.orderInFlight = enginecontract.Fence{}
	}
	if answer == nil {
		return
	}
	engine.lastAnswerAt = now
	engine.recordState(now, answer.State)
	if !answer.Accepted {
		engine.refusedFence = fence
		engine.refusal = answer.Refusal
	}
}

// Step returns the actions that are due. Call it only while this controller leads with a valid lease
// and the state contains everything committed before its term.
func (c *Commander) Step(now time.Duration, state *controlstate.State) []Action {
	if c.epoch == 0 {
		return nil
	}
	activeEpoch, _ := state.Authority()
	switch {
	case activeEpoch > c.epoch:
		return nil // a later leader has authority
	case activeEpoch < c.epoch:
		return c.beginAuthority(now)
	}
	c.addEnginesWithOrders(state)
	var actions []Action
	for _, name := range c.names {
		actions = append(actions, c.stepEngine(now, state, c.engines[name])...)
	}
	return actions
}

// addEnginesWithOrders adds the engines that have an outstanding order in the log but that this leader has not seen
// in the platform's list, because those orders have to end too.
func (c *Commander) addEnginesWithOrders(state *controlstate.State) {
	for _, record := range state.Engines() {
		if record.Outstanding != nil && c.engines[record.State.Engine] == nil {
			c.SetListing(record.State.Engine, record.State.Address, false)
		}
	}
}

func (c *Commander) beginAuthority(now time.Duration) []Action {
	if c.beginProposed && now-c.beginProposedAt < c.config.ProposalTimeout {
		return nil
	}
	c.beginProposed, c.beginProposedAt = true, now
	return []Action{propose(&v1.Command{Body: &v1.Command_BeginAuthority{
		BeginAuthority: &v1.BeginAuthority{Epoch: c.epoch, Leader: c.config.Leader},
	}})}
}

func propose(command *v1.Command) Action { return Propose{Command: command} }

// stepEngine returns the actions due for one engine.
func (c *Commander) stepEngine(now time.Duration, state *controlstate.State, engine *engine) []Action {
	c.expireProposals(now, engine)
	record := state.Engine(engine.name)
	if record.GetOutstanding() != nil {
		engine.pendingOrder = nil
	}
	if !engine.hasState {
		return append(c.expireSilent(now, engine, record), c.raiseFence(now, engine)...)
	}
	if record == nil {
		return append(c.proposeOnce(now, engine, recordCommand(engine)), c.raiseFence(now, engine)...)
	}
	if !engine.isFenced(c.epoch) && c.config.Safeguards.IsEnabled(SafeguardFence) {
		return append(c.expireSilent(now, engine, record), c.raiseFence(now, engine)...)
	}
	if record.Outstanding == nil {
		return c.recordChanges(now, engine, record)
	}
	if finish := c.checkEnd(now, engine, record.Outstanding); finish != nil {
		return c.proposeOnce(now, engine, &v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: finish}})
	}
	if actions := c.expireSilent(now, engine, record); actions != nil {
		return actions
	}
	return c.sendOrder(now, engine, record.Outstanding)
}

func (c *Commander) expireProposals(now time.Duration, engine *engine) {
	if engine.proposalPending && now-engine.proposedAt >= c.config.ProposalTimeout {
		engine.proposalPending = false
	}
	if engine.pendingOrder != nil && now-engine.pendingOrder.proposedAt >= c.config.ProposalTimeout {
		engine.pendingOrder = nil
	}
}

// proposeOnce proposes a command about an engine unless another such proposal is pending.
func (c *Commander) proposeOnce(now time.Duration, engine *engine, command *v1.Command) []Action {
	if engine.proposalPending {
		return nil
	}
	engine.proposalPending = true
	engine.proposedAt = now
	return []Action{propose(command)}
}

// ClearPendingProposal records that a command about an engine was applied, so that the next one need
// not wait for the proposal timeout.
func (c *Commander) ClearPendingProposal(name string) {
	if engine := c.engines[name]; engine != nil {
		engine.proposalPending = false
	}
}

// raiseFence sends the fence of this epoch.
func (c *Commander) raiseFence(now time.Duration, engine *engine) []Action {
	if engine.address == "" || engine.fenceInFlight || now < engine.nextFenceAt || engine.isFenced(c.epoch) {
		return nil
	}
	engine.fenceInFlight = true
	engine.nextFenceAt = now + c.config.ResendInterval
	return []Action{SendFence{Engine: engine.name, Address: engine.address, Epoch: c.epoch}}
}

// recordCommand returns the command that records the state reported by the engine.
func recordCommand(engine *engine) *v1.Command {
	return &v1.Command{Body: &v1.Command_RecordEngine{
		RecordEngine: &v1.RecordEngine{Engine: recordedState(engine.address, engine.state)},
	}}
}

// recordChanges records a changed state of an engine that has no order.
func (c *Commander) recordChanges(now time.Duration, engine *engine, record *v1.EngineRecord) []Action {
	current := recordedState(engine.address, engine.state)
	if current.Incarnation < record.State.GetIncarnation() || equalEngineStates(current, record.State) {
		return nil
	}
	return c.proposeOnce(now, engine, recordCommand(engine))
}

func equalEngineStates(a, b *v1.EngineState) bool {
	return a.Service == b.Service && a.Zone == b.Zone && a.Address == b.Address && a.Role == b.Role &&
		a.Model == b.Model && a.Version == b.Version && a.Incarnation == b.Incarnation &&
		slices.Equal(a.Adapters, b.Adapters) && maps.Equal(a.AdapterVersions, b.AdapterVersions)
}
