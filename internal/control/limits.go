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
	// relayLimitTTL is how long the leader sends a limit to relays after the last report of that limit by the relay
	// that owns it. Owners report with each watch, at most 5 s apart.
	relayLimitTTL = 15 * time.Second
	// maximumLimits is the maximum number of limits in one message.
	maximumLimits = 256
)

// PermitRequested is a gateway's request for a permit: the right to send one request to a back end that has set a rate
// limit for all gateways together. The answer is a TakePermitResponse.
type PermitRequested struct {
	Call    CallID
	Request *v1.TakePermitRequest
}

func (PermitRequested) isInput() {}

// backEndLimits tracks the rate limits that back ends have set. None of it is replicated: a new leader starts without
// limits, and grants permits only once the previous leader's lease has expired.
type backEndLimits struct {
	// gatewayCounts counts the permits granted to gateways; the leader is the limit owner for gateways.
	gatewayCounts *fleetlimit.LimitCounters
	// relayLimits are the last reports of the limits that relays own, by the identity of the back end.
	relayLimits map[uint64]relayLimit
}

// relayLimit is a limit that a relay has reported.
type relayLimit struct {
	limit      *v1.NamedLimit
	receivedAt time.Duration
}

func newBackEndLimits() backEndLimits {
	return backEndLimits{gatewayCounts: fleetlimit.NewLimitCounters(), relayLimits: map[uint64]relayLimit{}}
}

// handlePermitRequested grants or denies a permit.
func (c *Core) handlePermitRequested(received PermitRequested) {
	if !c.requireLeader(received.Call) {
		return
	}
	request := received.Request
	backEndLimit, valid := fleetlimit.FromWire(request.GetLimit())
	if !valid {
		c.refuse(received.Call, trace.BadParameter("%g requests a second are no limit; send a number of 0 or more", request.GetLimit().GetPerSecond()))
		return
	}
	permitRequest := fleetlimit.PermitRequest{
		BackEnd: backEndLimit.BackEnd, Limit: backEndLimit.Limit, LimitFromBackEnd: request.GetHeard(),
		RequesterID: xxhash.Sum64String(request.GetNode().GetName()), Rank: int(min(request.GetRank(), fleetlimit.RankCount-1)), MustResume: request.GetOwed(),
	}
	answer := c.limits.gatewayCounts.HandleRequest(c.now, permitRequest, fleetlimit.FullFraction, retryJitter(permitRequest.RequesterID, c.now))
	c.answer(Answer{Call: received.Call, Response: &v1.TakePermitResponse{
		Granted: answer.Granted, WaitUs: uint64(answer.Wait.Microseconds()), Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: permitRequest.BackEnd, Limit: answer.Limit}),
	}})
}

// retryJitter returns a number in [0, 1) that spreads the times at which gateways retry.
func retryJitter(requesterID uint64, now time.Duration) float64 {
	const steps = 1 << 16
	content := binary.BigEndian.AppendUint64(nil, requesterID)
	return float64(xxhash.Sum64(binary.BigEndian.AppendUint64(content, uint64(now)))%steps) / steps
}

// recordGatewayLimits records the limits that back ends have set in answers to a gateway.
func (c *Core) recordGatewayLimits(reported []*v1.NamedLimit) {
	for _, limit := range reported[:min(len(reported), maximumLimits)] {
		if backEndLimit, valid := fleetlimit.FromWire(limit); valid {
			c.limits.gatewayCounts.SetLimit(c.now, backEndLimit.BackEnd, backEndLimit.Limit)
		}
	}
}

// limitsForGateways returns the limits that are sent to gateways.
func (c *Core) limitsForGateways() []*v1.NamedLimit {
	limits := c.limits.gatewayCounts.Limits(c.now)
	return fleetlimit.LimitsToWire(limits[:min(len(limits), maximumLimits)])
}

// recordRelayLimits records the limits that a relay owns, and removes those that the relay reports as no longer set.
func (c *Core) recordRelayLimits(reported []*v1.NamedLimit) {
	for _, limit := range reported[:min(len(reported), maximumLimits)] {
		if limit.GetNamed() {
			c.limits.relayLimits[limit.GetBackEnd()] = relayLimit{limit: limit, receivedAt: c.now}
		} else {
			delete(c.limits.relayLimits, limit.GetBackEnd())
		}
	}
}

// limitsForRelays returns the limits that are sent to relays: those that a relay has reported within relayLimitTTL.
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
