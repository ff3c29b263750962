package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

const (
	// readyPause is the time between two questions whether relays want connections; after two that were
	// missed a relay gets none.
	readyPause = 500 * time.Millisecond
	// longestPause is the longest time between two attempts of a client.
	longestPause = 60 * time.Millisecond
	// leaving is the part of a client's attempts that it gives up.
	leaving = 0.05
	// poisonPause is the time between two attempts of a request that ends its back ends.
	poisonPause = 300 * time.Millisecond
)

// entrance gives out relays that want connections, as the platform's does.
type entrance struct {
	site   *site
	mutex  sync.Mutex
	missed map[string]int
}

// watch asks all relays until the context ends.
func (e *entrance) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, relay := range e.site.relays {
			limited, cancel := context.WithTimeout(ctx, readyPause)
			ready := standin.IsReady(limited, relay.ready)
			cancel()
			e.mutex.Lock()
			if e.missed[relay.Name]++; ready {
				e.missed[relay.Name] = 0
			}
			e.mutex.Unlock()
		}
		sleep(ctx, readyPause)
	}
}

// pick picks a relay for a client's next connection.
func (e *entrance) pick(random *rand.Rand) *relayProcess {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var wanted []*relayProcess
	for _, relay := range e.site.relays {
		if e.missed[relay.Name] < 2 {
			wanted = append(wanted, relay)
		}
	}
	if 2*len(wanted) < len(e.site.relays) {
		wanted = e.site.relays
	}
	return wanted[random.IntN(len(wanted))]
}

// traffic is all clients of a run.
type traffic struct {
	site     *site
	entrance *entrance
	running  sync.WaitGroup
}

// start starts the clients, which send until the context ends.
func (t *traffic) start(ctx context.Context) {
	t.running.Go(func() { t.entrance.watch(ctx) })
	for number := range t.site.options.Clients {
		t.running.Go(func() { t.client(ctx, number) })
	}
	for number := range t.site.options.Poisons {
		t.running.Go(func() { t.poison(ctx, number) })
	}
}

// client sends requests of all kinds, mostly to the relay that it was given, until that one is gone.
func (t *traffic) client(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.site.options.Seed, uint64(number)))
	client := standin.NewClient(t.site.recorder)
	relay := t.entrance.pick(random)
	for count := 0; ctx.Err() == nil; count++ {
		attempt := standin.Attempt{
			ID: fmt.Sprintf("%04x%012x", number, count), Front: relay.Name, Address: relay.front,
			Route: []string{standin.RoutePage, standin.RouteUnsafe, standin.RouteStream, standin.RouteOnce}[random.IntN(4)],
		}
		t.fill(&attempt, random)
		sent := client.Send(context.WithoutCancel(ctx), attempt)
		if sent.Status == 0 && sent.ClosedAt == 0 || random.Float64() < 0.05 {
			relay = t.entrance.pick(random)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(longestPause))))
	}
}

// fill draws what an attempt carries.
func (t *traffic) fill(attempt *standin.Attempt, random *rand.Rand) {
	if attempt.Route != standin.RoutePage {
		attempt.Body = fmt.Sprint("request ", random.Uint64())
	}
	if standin.Routes()[attempt.Route].Stream {
		attempt.PromptTokens = 10 + random.IntN(8000)
	}
	if random.Float64() < leaving {
		attempt.CloseAfter = time.Duration(1+random.IntN(80)) * time.Millisecond
	}
}

// poison sends one request that ends its back ends again and again, at any relay.
func (t *traffic) poison(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.site.options.Seed, uint64(1000+number)))
	client := standin.NewClient(t.site.recorder)
	route := []string{standin.RouteStream, standin.RouteUnsafe, standin.RouteOnce}[number%3]
	for count := 0; ctx.Err() == nil; count++ {
		relay := t.entrance.pick(random)
		client.Send(context.WithoutCancel(ctx), standin.Attempt{
			ID: fmt.Sprintf("dead%04x%08x", number, count), Route: route, Front: relay.Name, Address: relay.front,
			Body: fmt.Sprint(standin.CrashBody, " ", number), PromptTokens: 100,
		})
		sleep(ctx, poisonPause)
	}
}

// operate sends configurations, one after another and sometimes two at once, and reads them back.
func (s *site) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 2000))
	number := uint64(firstNumber)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(300+random.IntN(1200))*time.Millisecond)
		number += uint64(1 + random.IntN(3))
		change := s.change(number, random)
		s.operator.Put(ctx, change.Change, change.content, random.IntN(s.options.Controllers))
		s.operator.Read(ctx, random.IntN(s.options.Controllers))
	}
}

// firstNumber is the number of the first configuration.
const firstNumber = 1

// drawnChange is a configuration with its content.
type drawnChange struct {
	history.Change
	content string
}

// change draws a configuration: one in eight must never be taken.
func (s *site) change(number uint64, random *rand.Rand) drawnChange {
	if random.IntN(8) == 0 {
		return drawnChange{history.Change{Number: number, Invalid: true}, standin.InvalidConfiguration(number)}
	}
	pages := []string{standin.ServicePages, standin.ServiceOther}[random.IntN(2)]
	return drawnChange{history.Change{Number: number, Services: standin.ServicesByRoute(pages)}, standin.Configuration(number, pages)}
}

// sleep waits, or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
