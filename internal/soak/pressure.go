package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// pressurePeriod is the time between the starts of two overloads of the service with few slots, pressureLength how long
	// each lasts.
	pressurePeriod = 10 * time.Second
	pressureLength = 6 * time.Second
	// identicalReadShare is the share of requests that are identical reads of their tenant.
	identicalReadShare = 0.2
)

// pressure sends the requests of one tenant to the service with few slots, at times more than it carries.
type pressure struct {
	traffic *traffic
	tenant  standin.Tenant
	client  *standin.Client
	number  int
	random  *rand.Rand
}

// startPressure starts the tenants.
func (t *traffic) startPressure(ctx context.Context) {
	for number, tenant := range standin.Tenants() {
		sender := &pressure{
			traffic: t, tenant: tenant, client: standin.NewClient(t.site.recorder), number: number,
			random: rand.New(rand.NewPCG(t.site.options.Seed, uint64(9000+number))),
		}
		t.running.Go(func() { sender.run(ctx) })
	}
}

// run sends requests at random intervals until the context ends.
func (p *pressure) run(ctx context.Context) {
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, time.Duration(p.random.ExpFloat64()/p.rate()*float64(time.Second)))
		next := p.newCaller(count)
		p.traffic.running.Go(func() { next.run(ctx) })
	}
}

// rate returns the requests per second that the tenant currently sends, without retries.
func (p *pressure) rate() float64 {
	share := p.tenant.LoadShare
	if p.traffic.site.recorder.Now()%pressurePeriod < pressureLength {
		share = p.tenant.PressedShare
	}
	return share * p.traffic.site.options.fewCapacity()
}

// newCaller draws a request and the reaction to refusals of the client that sends it.
func (p *pressure) newCaller(count int) *caller {
	attempt := standin.Attempt{
		Route: []string{standin.RouteFew, standin.RouteFewUnsafe}[p.random.IntN(2)], Tenant: p.tenant,
		Request: fmt.Sprintf("9%03x%08x", p.number, count), // begins the identities of all attempts
	}
	if attempt.Route == standin.RouteFewUnsafe || p.random.Float64() >= identicalReadShare {
		attempt.Body = fmt.Sprint("request ", p.random.Uint64())
	}
	return &caller{
		traffic: p.traffic, client: p.client, attempt: attempt, behaviour: drawRetryBehaviour(p.random), random: rand.New(rand.NewPCG(p.random.Uint64(), 1)),
		started: time.Now(),
	}
}
