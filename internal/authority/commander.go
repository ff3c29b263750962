package authority

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Commander is the leader's authority over the engines.
type Commander struct {
	config Config
	// epoch is the term this controller leads, since ledAt; 0 when it does not.
	epoch   uint64
	ledAt   time.Duration
	engines map[string]*engine
	names   []string // of engines, sorted
	// begunAt is when the begin of authority was last proposed.
	begun   bool
	begunAt time.Duration
}

// New returns a Commander of a controller that does not lead.
func New(config Config) *Commander {
	return &Commander{config: config.withDefaults(), engines: map[string]*engine{}}
}

// BeginTerm starts the authority of a term. What was known of the engines' own words is
// kept; fences have to be raised again.
func (c *Commander) BeginTerm(now time.Duration, term uint64) {
	c.epoch = term
	c.ledAt = now
	c.begun = false
	for _, engine := range c.engines {
		engine.ordering = nil
		engine.proposalPending = false
		engine.fenceInFlight = false
		engine.nextFenceAt = 0
		engine.nextOrderAt = 0
		engine.orderInFlight = enginecontract.Fence{}
	}
}

// EndTerm ends the authority: this controller does not lead any more.
func (c *Commander) EndTerm() { c.epoch = 0 }

// Epoch is the term this controller leads, or 0.
func (c *Commander) Epoch() uint64 { return c.epoch }

// SetListing tells where an engine is reached and whether the platform still lists it.
func (c *Commander) SetListing(name, address string, listed bool) {
	engine := c.engine(name)
	engine.address = address
	engine.listed = listed
}

// RemoveEngine drops an engine that is gone for good.
func (c *Commander) RemoveEngine(name string) {
	if _, known := c.engines[name]; !known {
		return
	}
	delete(c.engines, name)
	c.names = slices.DeleteFunc(c.names, func(other string) bool { return other == name })
}

func (c *Commander) engine(name string) *engine {
	if engine := c.engines[name]; engine != nil {
		return engine
	}
	created := &engine{name: name}
	c.engines[name] = created
	position, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, position, name)
	return created
}

// RecordPollAnswer takes an engine's answer to a poll that was sent at sentAt.
func (c *Commander) RecordPollAnswer(sentAt time.Duration, name string, state enginecontract.EngineState) {
	engine := c.engines[name]
	if engine == nil || sentAt < engine.answeredAt {
		return
	}
	engine.take(sentAt, state)
}

// RecordFenceAnswer takes an engine's answer to a fence; answer is nil when it was lost.
func (c *Commander) RecordFenceAnswer(now time.Duration, name string, epoch uint64, answer *enginecontract.OrderAnswer) {
	engine := c.engines[name]
	if engine == nil || epoch != c.epoch {
		return
	}
	engine.fenceInFlight = false
	if answer == nil {
		return
	}
	engine.answeredAt = now
	engine.take(now, answer.State)
	if answer.State.HighestFence.Epoch == epoch {
		engine.fencedEpoch = epoch
		engine.fencedIncarnation = answer.State.Incarnation
	}
}

// RecordOrderAnswer takes an engine's answer to an order or an abort; answer is nil when
// it was lost.
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
	engine.answeredAt = now
	engine.take(now, answer.State)
	if !answer.Accepted {
		engine.refused = fence
		engine.refusal = answer.Refusal
	}
}

// Step returns what to do now. Call it only while this controller leads with a valid
// lease and the state holds everything committed before its term.
func (c *Commander) Step(now time.Duration, state *controlstate.State) []Action {
	if c.epoch == 0 {
		return nil
	}
	inForce, _ := state.Authority()
	switch {
	case inForce > c.epoch:
		return nil // a later leader has taken over
	case inForce < c.epoch:
		return c.beginAuthority(now)
	}
	c.adoptUnlisted(state)
	var actions []Action
	for _, name := range c.names {
		actions = append(actions, c.stepEngine(now, state, c.engines[name])...)
	}
	return actions
}

// adoptUnlisted takes up engines that may hold an order and that this leader has never
// seen listed: their orders have to end too.
func (c *Commander) adoptUnlisted(state *controlstate.State) {
	for _, record := range state.Engines() {
		if record.Outstanding != nil && c.engines[record.State.Engine] == nil {
			c.SetListing(record.State.Engine, record.State.Address, false)
		}
	}
}

func (c *Commander) beginAuthority(now time.Duration) []Action {
	if c.begun && now-c.begunAt < c.config.ProposalTimeout {
		return nil
	}
	c.begun, c.begunAt = true, now
	return []Action{propose(&v1.Command{Body: &v1.Command_BeginAuthority{
		BeginAuthority: &v1.BeginAuthority{Epoch: c.epoch, Leader: c.config.Leader},
	}})}
}

func propose(command *v1.Command) Action { return Propose{Command: command} }

// stepEngine returns what to do about one engine.
func (c *Commander) stepEngine(now time.Duration, state *controlstate.State, engine *engine) []Action {
	c.forgetStaleProposals(now, engine)
	record := state.Engine(engine.name)
	if record.GetOutstanding() != nil {
		engine.ordering = nil
	}
	if !engine.heard {
		return append(c.giveUpSilent(now, engine, record), c.raiseFence(now, engine)...)
	}
	if record == nil {
		return append(c.proposeOnce(now, engine, recordCommand(engine)), c.raiseFence(now, engine)...)
	}
	if !engine.fenced(c.epoch) && c.config.Safeguards.IsEnabled(SafeguardFence) {
		return append(c.giveUpSilent(now, engine, record), c.raiseFence(now, engine)...)
	}
	if record.Outstanding == nil {
		return c.recordChanges(now, engine, record)
	}
	if finish := c.ended(now, engine, record.Outstanding); finish != nil {
		return c.proposeOnce(now, engine, &v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: finish}})
	}
	if actions := c.giveUpSilent(now, engine, record); actions != nil {
		return actions
	}
	return c.sendOrder(now, engine, record.Outstanding)
}

func (c *Commander) forgetStaleProposals(now time.Duration, engine *engine) {
	if engine.proposalPending && now-engine.proposedAt >= c.config.ProposalTimeout {
		engine.proposalPending = false
	}
	if engine.ordering != nil && now-engine.ordering.at >= c.config.ProposalTimeout {
		engine.ordering = nil
	}
}

// proposeOnce proposes a command about an engine unless one is pending.
func (c *Commander) proposeOnce(now time.Duration, engine *engine, command *v1.Command) []Action {
	if engine.proposalPending {
		return nil
	}
	engine.proposalPending = true
	engine.proposedAt = now
	return []Action{propose(command)}
}

// ClearPendingProposal tells that a command about an engine has been applied, so that the next
// one need not wait.
func (c *Commander) ClearPendingProposal(name string) {
	if engine := c.engines[name]; engine != nil {
		engine.proposalPending = false
	}
}

// raiseFence sends the fence of this epoch.
func (c *Commander) raiseFence(now time.Duration, engine *engine) []Action {
	if engine.address == "" || engine.fenceInFlight || now < engine.nextFenceAt || engine.fenced(c.epoch) {
		return nil
	}
	engine.fenceInFlight = true
	engine.nextFenceAt = now + c.config.ResendInterval
	return []Action{SendFence{Engine: engine.name, Address: engine.address, Epoch: c.epoch}}
}

// recordCommand records the engine's own word.
func recordCommand(engine *engine) *v1.Command {
	return &v1.Command{Body: &v1.Command_RecordEngine{
		RecordEngine: &v1.RecordEngine{Engine: recordOf(engine.address, engine.last)},
	}}
}

// recordChanges records what an engine without an order has become.
func (c *Commander) recordChanges(now time.Duration, engine *engine, record *v1.EngineRecord) []Action {
	observed := recordOf(engine.address, engine.last)
	if observed.Incarnation < record.State.GetIncarnation() || sameEngine(observed, record.State) {
		return nil
	}
	return c.proposeOnce(now, engine, recordCommand(engine))
}

func sameEngine(a, b *v1.EngineState) bool {
	return a.Service == b.Service && a.Zone == b.Zone && a.Address == b.Address && a.Role == b.Role &&
		a.Model == b.Model && a.Version == b.Version && a.Incarnation == b.Incarnation &&
		slices.Equal(a.Adapters, b.Adapters) && maps.Equal(a.AdapterVersions, b.AdapterVersions)
}
