package simulation

import (
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// claimLifetime is how long a claim is stored.
const claimLifetime = 10 * time.Minute

// claimKeys is the number of keys that callers draw from at a time, small enough that several gateways receive the
// same key.
const claimKeys = 8

// claimant makes a gateway run requests that may run at most once. Callers send each key through several gateways.
type claimant struct {
	gateway  *gateway
	attempts int
}

func newClaimant(g *gateway) *claimant { return &claimant{gateway: g} }

// runNext begins a request with a key that other gateways may use at the same time.
func (c *claimant) runNext() {
	world := c.gateway.world
	if world.lulls > 0 {
		return
	}
	epoch := int(world.now / (5 * time.Second))
	key := fmt.Sprintf("key-%d-%d", epoch, world.random.IntN(claimKeys))
	c.attempts++
	attempt := fmt.Sprintf("%s/%d/%d", c.gateway.name, c.gateway.incarnation, c.attempts)
	c.beginClaim(key, attempt, 3)
}

// beginClaim claims the key; after a lost or failed response it repeats the call with the same attempt.
func (c *claimant) beginClaim(key, attempt string, tries int) {
	g := c.gateway
	now := g.clock.wallOriginMs + g.local().Milliseconds()
	request := &v1.BeginClaimRequest{Claim: &v1.BeginClaim{
		Tenant: "tenant-0", Kind: "registration", Key: key, BodyHash: []byte("body"), Gateway: g.name,
		GatewayIncarnation: g.incarnation, Attempt: attempt, ExpiresAtMs: now + claimLifetime.Milliseconds(),
	}}
	g.world.callController(&g.host, g.leaderOrAny(), controlTimeout,
		func(id control.CallID) control.Input { return control.BeginClaimReceived{Call: id, Request: request} },
		func(answer controllerAnswer, answered bool) {
			response, ok := answer.response.(*v1.BeginClaimResponse)
			switch {
			case answered && ok && response.GetState() == v1.ClaimState_CLAIM_STATE_GRANTED:
				c.run(key, attempt)
			case answered && ok:
			case tries > 0:
				g.followLeader(answer.err)
				c.beginClaim(key, attempt, tries-1)
			}
		})
}

// run runs the request and records the outcome.
func (c *claimant) run(key, attempt string) {
	g := c.gateway
	g.world.checks.checkClaimRan(g, key, attempt)
	g.after(g.world.drawDuration(time.Second), func() { c.finishClaim(key, attempt, 3) })
}

// finishClaim records the outcome; after a lost or failed response it repeats the call.
func (c *claimant) finishClaim(key, attempt string, tries int) {
	g := c.gateway
	request := &v1.FinishClaimRequest{Claim: &v1.FinishClaim{
		Tenant: "tenant-0", Kind: "registration", Key: key, Attempt: attempt, Status: 200, Body: []byte(attempt),
	}}
	g.world.callController(&g.host, g.leaderOrAny(), controlTimeout,
		func(id control.CallID) control.Input { return control.FinishClaimReceived{Call: id, Request: request} },
		func(answer controllerAnswer, answered bool) {
			if (!answered || answer.err != nil) && tries > 0 {
				g.followLeader(answer.err)
				c.finishClaim(key, attempt, tries-1)
			}
		})
}
