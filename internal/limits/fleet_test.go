package limits_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/limits"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/shares"
)

const (
	fleetStep      = 10 * time.Millisecond
	reportInterval = time.Second
	// urgentInterval is the minimum time between a report and an urgent one.
	urgentInterval = 100 * time.Millisecond
	// settledAfter is when the start phase has ended.
	settledAfter = 10 * time.Second
	meanTokens   = 2000
	holdTime     = time.Second
	fleetTenant  = "tenant"
)

// fleet simulates one tenant's requests to gateways and the leader's divider in virtual time. A
// report is answered one step after it was sent.
type fleet struct {
	random   *rand.Rand
	limit    limits.Limit
	offered  float64 // tokens per second
	divider  *shares.Divider
	gateways []*fleetGateway
	now      time.Duration
	// perStep are the tokens acquired in each step.
	perStep []float64
	// undivided gives every gateway the whole limit.
	undivided bool
	count     fleetCount
}

// fleetCount counts the requests by outcome.
type fleetCount struct {
	offered, refused int
	// offeredSettled and refusedSettled count the requests after the start phase.
	offeredSettled, refusedSettled int
	reports, waited                int
	longestWait                    time.Duration
}

type fleetGateway struct {
	name     string
	core     *limits.Core
	reportAt time.Duration
	isCutOff bool
	answer   []*v1.Share
	sentAt   time.Duration
	running  []runningCharge
	waiting  map[uint64]waitingRequest
}

type waitingRequest struct {
	tokens       int
	waitingSince time.Duration
}

type runningCharge struct {
	charge limits.Charge
	tokens int
	endsAt time.Duration
}

func newFleet(t testing.TB, gateways int, limit limits.Limit, offered float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), limit: limit, offered: offered, divider: shares.New(0, safeguard.Set{})}
	f.divider.StartLeading(0, true)
	for i := range gateways {
		core, err := limits.New(limits.Config{})
		require.NoError(t, err)
		offset := time.Duration(i) * reportInterval / time.Duration(gateways)
		f.gateways = append(f.gateways, &fleetGateway{name: fmt.Sprint("gateway-", i), core: core, reportAt: offset.Truncate(fleetStep), waiting: map[uint64]waitingRequest{}})
	}
	return f
}

func (f *fleet) run(until time.Duration) {
	for f.now < until {
		f.perStep = append(f.perStep, 0)
		for _, gateway := range f.gateways {
			f.applyAnswer(gateway)
			f.settle(gateway)
			f.report(gateway)
		}
		f.arrive()
		f.now += fleetStep
	}
}

func (f *fleet) applyAnswer(gateway *fleetGateway) {
	if gateway.answer != nil {
		gateway.core.ApplyShares(f.now, gateway.sentAt, gateway.answer)
		gateway.answer = nil
	}
	for _, decision := range gateway.core.Resolve(f.now) {
		waited := gateway.waiting[decision.ID]
		delete(gateway.waiting, decision.ID)
		f.count.longestWait = max(f.count.longestWait, f.now-waited.waitingSince)
		if decision.Err != nil {
			f.refuse()
			continue
		}
		f.start(gateway, decision.Charge, waited.tokens)
	}
}

func (f *fleet) settle(gateway *fleetGateway) {
	for len(gateway.running) > 0 && gateway.running[0].endsAt <= f.now {
		ended := gateway.running[0]
		gateway.running = gateway.running[1:]
		gateway.core.Settle(f.now, ended.charge, ended.tokens)
	}
}

// report sends the report that is due, or an urgent one.
func (f *fleet) report(gateway *fleetGateway) {
	if f.now >= gateway.reportAt {
		gateway.reportAt += reportInterval
		f.sendDemands(gateway, gateway.core.Demands(f.now))
		return
	}
	if f.now < gateway.sentAt+urgentInterval {
		return
	}
	if urgent := gateway.core.UrgentDemands(f.now); len(urgent) > 0 {
		f.sendDemands(gateway, urgent)
	}
}

func (f *fleet) sendDemands(gateway *fleetGateway, demands []*v1.ShareDemand) {
	if gateway.isCutOff {
		return
	}
	f.count.reports++
	gateway.sentAt = f.now
	fleetLimits := shares.Limits{TokensPerSecond: f.limit.TokensPerSecond, Concurrency: f.limit.Concurrency}
	for _, demand := range demands {
		share := f.divider.Divide(f.now, gateway.name, demand, fleetLimits)
		if f.undivided {
			share.TokensPerSecond, share.Concurrency = fleetLimits.TokensPerSecond, fleetLimits.Concurrency
		}
		gateway.answer = append(gateway.answer, share)
	}
}

// arrive offers this step's requests to gateways chosen uniformly at random.
func (f *fleet) arrive() {
	expected := f.offered / meanTokens * fleetStep.Seconds()
	for wait := f.random.ExpFloat64(); wait < expected; wait += f.random.ExpFloat64() {
		gateway := f.gateways[f.random.IntN(len(f.gateways))]
		f.offer(gateway, meanTokens/2+f.random.IntN(meanTokens))
	}
}

func (f *fleet) offer(gateway *fleetGateway, tokens int) {
	f.count.offered++
	if f.now >= settledAfter {
		f.count.offeredSettled++
	}
	id := uint64(f.count.offered)
	charge, err := gateway.core.Acquire(f.now, limits.Request{ID: id, Tenant: fleetTenant, Limit: f.limit, Tokens: tokens})
	if errors.Is(err, limits.ErrWaiting) {
		gateway.waiting[id] = waitingRequest{tokens, f.now}
		f.count.waited++
		return
	}
	if err != nil {
		f.refuse()
		return
	}
	f.start(gateway, charge, tokens)
}

func (f *fleet) refuse() {
	f.count.refused++
	if f.now >= settledAfter {
		f.count.refusedSettled++
	}
}

func (f *fleet) start(gateway *fleetGateway, charge limits.Charge, tokens int) {
	f.perStep[len(f.perStep)-1] += float64(tokens)
	gateway.running = append(gateway.running, runningCharge{charge, tokens, f.now + holdTime})
}

// peak returns the largest use of the limit over any window of this length, relative to the limit.
func (f *fleet) peak(window time.Duration) float64 {
	steps := int(window / fleetStep)
	var sum, most float64
	for i, tokens := range f.perStep {
		sum += tokens
		if i >= steps {
			sum -= f.perStep[i-steps]
		}
		most = max(most, sum)
	}
	return most / (float64(f.limit.TokensPerSecond) * window.Seconds())
}

// meanUse returns the mean use of the limit after the start phase, relative to the limit.
func (f *fleet) meanUse() float64 {
	var sum float64
	from := int(settledAfter / fleetStep)
	for _, tokens := range f.perStep[from:] {
		sum += tokens
	}
	return sum / (float64(f.limit.TokensPerSecond) * (f.now - settledAfter).Seconds())
}
