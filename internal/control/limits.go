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
	// relayLimitTTL is how long the leader tells of a limit that no relay has told of again: relays that keep counts
	// tell with each watch, 5 s apart at most.
	relayLimitTTL = 15 * time.Second
	// maximumLimits bounds the limits that one message tells of.
	maximumLimits = 256
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
	// gatewayCounts keeps the counts of gateways.
	gatewayCounts *fleetlimit.LimitCounters
	// relayLimits are the limits whose counts relays keep, with when a relay relayLimits of them last.
	relayLimits map[uint64]relayLimit
}

// relayLimit is a limit that a relay has told of.
type relayLimit struct {
	limit      *v1.NamedLimit
	receivedAt time.Duration
}

func newNamedLimits() namedLimits {
	return namedLimits{gatewayCounts: fleetlimit.NewLimitCounters(), relayLimits: map[uint64]relayLimit{}}
}

// handlePermitRequested grants a permit or denies it.
func (c *Core) handlePermitRequested(received PermitRequested) {
	if !c.requireLeader(received.Call) {
		return
	}
	request := received.Request
	named, valid := fleetlimit.FromWire(request.GetLimit())
	if !valid {
		c.refuse(received.Call, trace.BadParameter("%g requests a second are no limit; send a number of 0 or more", request.GetLimit().GetPerSecond()))
		return
	}
	ask := fleetlimit.PermitRequest{
		BackEnd: named.BackEnd, Limit: named.Limit, LimitFromBackEnd: request.GetHeard(),
		RequesterID: xxhash.Sum64String(request.GetNode().GetName()), Rank: int(min(request.GetRank(), fleetlimit.RankCount-1)), MustResume: request.GetOwed(),
	}
	answer := c.limits.gatewayCounts.HandleRequest(c.now, ask, fleetlimit.FullFraction, retryJitter(ask.RequesterID, c.now))
	c.answer(Answer{Call: received.Call, Response: &v1.TakePermitResponse{
		Granted: answer.Granted, WaitUs: uint64(answer.Wait.Microseconds()), Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: ask.BackEnd, Limit: answer.Limit}),
	}})
}

// retryJitter spreads the times at which gateways ask again.
func retryJitter(asker uint64, now time.Duration) float64 {
	const steps = 1 << 16
	content := binary.BigEndian.AppendUint64(nil, asker)
	return float64(xxhash.Sum64(binary.BigEndian.AppendUint64(content, uint64(now)))%steps) / steps
}

// recordGatewayLimits takes what back ends have named to a gateway.
func (c *Core) recordGatewayLimits(reported []*v1.NamedLimit) {
	for _, limit := range reported[:min(len(reported), maximumLimits)] {
		if named, valid := fleetlimit.FromWire(limit); valid {
			c.limits.gatewayCounts.SetLimit(c.now, named.BackEnd, named.Limit)
		}
	}
}

// limitsForGateways is what gateways are told of limits.
func (c *Core) limitsForGateways() []*v1.NamedLimit {
	limits := c.limits.gatewayCounts.Limits(c.now)
	return fleetlimit.LimitsToWire(limits[:min(len(limits), maximumLimits)])
}

// recordRelayLimits takes the limits whose counts a relay keeps.
func (c *Core) recordRelayLimits(reported []*v1.NamedLimit) {
	for _, limit := range reported[:min(len(reported), maximumLimits)] {
		if limit.GetNamed() {
			c.limits.relayLimits[limit.GetBackEnd()] = relayLimit{limit: limit, receivedAt: c.now}
		} else {
			delete(c.limits.relayLimits, limit.GetBackEnd())
		}
	}
}

// limitsForRelays is what relays are told of limits: those that other relays have told of lately.
func (c *Core) limitsForRelays() []*v1.NamedLimit {
	var limits []*v1.NamedLimit
	for _, backEnd := range sortedKeys(c.limits.relayLimits) {
		known := c.limits.relayLimits[backEnd]
		if c.now-known.receivedAt >= relayLimitTTL {
			delete(c.limits.relayLimits, backEnd)
		} else if len(limits) < maximumLimits {
			limits = append(limits, known.limit)
		}
	}
	return limits
}
