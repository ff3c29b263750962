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

// tenantSender sends the requests of one tenant to the service with few slots, at times more than it carries.
type tenantSender struct {
	traffic *traffic
	tenant  standin.Tenant
	client  *standin.Client
	number  int
	random  *rand.Rand
}

// startTenants starts to send the requests of all tenants of the service with few slots.
func (t *traffic) startTenants(ctx context.Context) {
	for number, tenant := range standin.Tenants() {
		sender := &tenantSender{
			traffic: t, tenant: tenant, client: standin.NewClient(t.site.recorder), number: number,
			random: rand.New(rand.NewPCG(t.site.options.Seed, uint64(9000+number))),
		}
		t.running.Go(func() { sender.run(ctx) })
	}
}

// run sends requests at random intervals until the context ends.
func (s *tenantSender) run(ctx context.Context) {
	for count := 0; ctx.Err() == nil; count++ {
		sleep(ctx, time.Duration(s.random.ExpFloat64()/s.rate()*float64(time.Second)))
		next := s.newCaller(count)
		s.traffic.running.Go(func() { next.run(ctx) })
	}
}

// rate returns the requests per second that the tenant currently sends, without retries.
func (s *tenantSender) rate() float64 {
	share := s.tenant.LoadShare
	if s.traffic.site.recorder.Now()%pressurePeriod < pressureLength {
		share = s.tenant.PressedShare
	}
	return share * s.traffic.site.options.fewCapacity()
}

// newCaller draws a request and the reaction to refusals of the client that sends it.
func (s *tenantSender) newCaller(count int) *caller {
	attempt := standin.Attempt{
		Route: []string{standin.RouteFew, standin.RouteFewUnsafe}[s.random.IntN(2)], Tenant: s.tenant,
		Request: fmt.Sprintf("9%03x%08x", s.number, count), // begins the identities of all attempts
	}
	if attempt.Route == standin.RouteFewUnsafe || s.random.Float64() >= identicalReadShare {
		attempt.Body = fmt.Sprint("request ", s.random.Uint64())
	}
	return &caller{
		traffic: s.traffic, client: s.client, attempt: attempt, behaviour: drawRetryBehaviour(s.random), random: rand.New(rand.NewPCG(s.random.Uint64(), 1)),
		started: time.Now(),
	}
}
