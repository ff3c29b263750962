package control

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

const (
	// toldLimitMemory is how long the leader tells of a limit that no relay has told of again: relays that keep counts
	// tell with each watch, 5 s apart at most.
	toldLimitMemory = 15 * time.Second
	// mostLimits bounds the limits that one message tells of.
	mostLimits = 256
)

// PermitRequested is a gateway's question whether it may send a request to a back end that names a limit for all gateways
// together. The answer is a TakePermitResponse.
type PermitRequested struct {
	Call    CallID
	Request *v1.TakePermitRequest
}

func (PermitRequested) isInput() {}

// namedLimits is what the leader knows of limits that back ends name. None of it is agreed on: a new leader begins with
// nothing, and its permits begin when the lease of the one before has run out.
type namedLimits struct {
	// keeper keeps the counts of gateways.
	keeper *fleetlimit.Keeper
	// told are the limits whose counts relays keep, with when a relay told of them last.
	told map[uint64]toldLimit
}

// toldLimit is a limit that a relay has told of.
type toldLimit struct {
	limit *v1.NamedLimit
	at    time.Duration
}

func newNamedLimits() namedLimits {
	return namedLimits{keeper: fleetlimit.NewKeeper(), told: map[uint64]toldLimit{}}
}

// takePermitAsked grants a permit or denies it.
func (c *Core) takePermitAsked(received PermitRequested) {
	if !c.demandLeader(received.Call) {
		return
	}
	request := received.Request
	named, valid := fleetlimit.FromWire(request.GetLimit())
	if !valid {
		c.refuse(received.Call, trace.BadParameter("%g requests a second are no limit; send a number of 0 or more", request.GetLimit().GetPerSecond()))
		return
	}
	ask := fleetlimit.Ask{
		BackEnd: named.BackEnd, Limit: named.Limit, Heard: request.GetHeard(),
		Asker: xxhash.Sum64String(request.GetNode().GetName()), Rank: int(min(request.GetRank(), fleetlimit.Ranks-1)), Owed: request.GetOwed(),
	}
	answer := c.limits.keeper.Ask(c.now, ask, fleetlimit.Whole, drawOf(ask.Asker, c.now))
	c.answer(Answer{Call: received.Call, Response: &v1.TakePermitResponse{
		Granted: answer.Granted, WaitUs: uint64(answer.Wait.Microseconds()), Limit: fleetlimit.ToWire(fleetlimit.Named{BackEnd: ask.BackEnd, Limit: answer.Limit}),
	}})
}

// drawOf spreads the times at which gateways ask again.
func drawOf(asker uint64, now time.Duration) float64 {
	const steps = 1 << 16
	content := binary.BigEndian.AppendUint64(nil, asker)
	return float64(xxhash.Sum64(binary.BigEndian.AppendUint64(content, uint64(now)))%steps) / steps
}

// takeGatewaysLimits takes what back ends have named to a gateway.
func (c *Core) takeGatewaysLimits(told []*v1.NamedLimit) {
	for _, limit := range told[:min(len(told), mostLimits)] {
		if named, valid := fleetlimit.FromWire(limit); valid {
			c.limits.keeper.Name(c.now, named.BackEnd, named.Limit)
		}
	}
}

// gatewaysLimits is what gateways are told of limits.
func (c *Core) gatewaysLimits() []*v1.NamedLimit {
	limits := c.limits.keeper.Limits(c.now)
	return fleetlimit.AllToWire(limits[:min(len(limits), mostLimits)])
}

// takeRelaysLimits takes the limits whose counts a relay keeps.
func (c *Core) takeRelaysLimits(told []*v1.NamedLimit) {
	for _, limit := range told[:min(len(told), mostLimits)] {
		if limit.GetNamed() {
			c.limits.told[limit.GetBackEnd()] = toldLimit{limit: limit, at: c.now}
		} else {
			delete(c.limits.told, limit.GetBackEnd())
		}
	}
}

// relaysLimits is what relays are told of limits: those that other relays have told of lately.
func (c *Core) relaysLimits() []*v1.NamedLimit {
	var limits []*v1.NamedLimit
	for _, backEnd := range sortedKeys(c.limits.told) {
		known := c.limits.told[backEnd]
		if c.now-known.at >= toldLimitMemory {
			delete(c.limits.told, backEnd)
		} else if len(limits) < mostLimits {
			limits = append(limits, known.limit)
		}
	}
	return limits
}
