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
	// readyPause is the time between two readiness probes of the relays; after two failed probes a relay gets no new
	// connections.
	readyPause = 500 * time.Millisecond
	// longestPause is the longest time between two attempts of a client.
	longestPause = 60 * time.Millisecond
	// abandonShare is the share of attempts whose connection the client closes before the response.
	abandonShare = 0.05
	// longRequestShare is the share of requests with a body that are long in a run with LongRequests, longRequestBytes their length.
	longRequestShare, longRequestBytes = 0.06, 1 << 20
	// poisonPause is the time between two attempts of a request that crashes its back ends.
	poisonPause = 300 * time.Millisecond
)

// loadBalancer assigns clients to relays that are ready, as the platform's load balancer does.
type loadBalancer struct {
	site         *site
	mutex        sync.Mutex
	missedProbes map[string]int
	// hotRelay is the relay to which most new connections go; nil for none.
	hotRelay *relayProcess
}

// probeRelays probes the readiness of all relays until the context ends.
func (b *loadBalancer) probeRelays(ctx context.Context) {
	for ctx.Err() == nil {
		for _, relay := range b.site.relays {
			limited, cancel := context.WithTimeout(ctx, readyPause)
			ready := standin.IsReady(limited, relay.ready)
			cancel()
			b.mutex.Lock()
			if b.missedProbes[relay.Name]++; ready {
				b.missedProbes[relay.Name] = 0
			}
			b.mutex.Unlock()
		}
		sleep(ctx, readyPause)
	}
}

// pickRelay picks a relay for a client's next connection. When fewer than half of the relays are ready, it picks among
// all of them.
func (b *loadBalancer) pickRelay(random *rand.Rand) *relayProcess {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if hot := b.hotRelay; hot != nil && b.missedProbes[hot.Name] < 2 && random.Float64() < hotRelayShare {
		return hot
	}
	var ready []*relayProcess
	for _, relay := range b.site.relays {
		if b.missedProbes[relay.Name] < 2 {
			ready = append(ready, relay)
		}
	}
	if 2*len(ready) < len(b.site.relays) {
		ready = b.site.relays
	}
	return ready[random.IntN(len(ready))]
}

// traffic runs all clients of a run.
type traffic struct {
	site         *site
	loadBalancer *loadBalancer
	running      sync.WaitGroup
	// clients are those of runClient; mutex guards them.
	mutex   sync.Mutex
	clients []*standin.Client
}

// start starts the clients, which send until the context ends.
func (t *traffic) start(ctx context.Context) {
	t.running.Go(func() { t.loadBalancer.probeRelays(ctx) })
	for number := range t.site.options.Clients {
		t.running.Go(func() { t.runClient(ctx, number) })
	}
	if t.site.options.Pressure {
		t.startTenants(ctx)
	}
	t.startPrompts(ctx)
	for number := range t.site.options.Poisons {
		t.running.Go(func() { t.sendPoison(ctx, number) })
	}
}

// runClient sends requests of all kinds. The client keeps its relay until that one is unreachable, and now and then
// picks another.
func (t *traffic) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.site.options.Seed, uint64(number)))
	client := t.newClient()
	relay := t.loadBalancer.pickRelay(random)
	for count := 0; ctx.Err() == nil; count++ {
		attempt := standin.Attempt{
			ID: fmt.Sprintf("%04x%012x", number, count), Front: relay.Name, Address: relay.front,
			Route: []string{standin.RoutePage, standin.RouteUnsafe, standin.RouteStream, standin.RouteOnce}[random.IntN(4)],
		}
		if t.site.options.resumesLater() && random.IntN(2) == 0 {
			attempt.Route = standin.RouteStream
		}
		if t.site.options.Moves && attempt.Route == standin.RouteStream && random.IntN(2) == 0 {
			attempt.Route = standin.RouteNarrow
		}
		t.drawContent(&attempt, random)
		sent := client.Send(context.WithoutCancel(ctx), attempt)
		switch {
		case t.site.options.resumesLater():
			t.takeUpLater(ctx, client, attempt, sent, random)
		case t.site.options.Versions:
			t.takeUp(ctx, client, attempt, sent, random)
		}
		if sent.Status == 0 && sent.ClosedAt == 0 || random.Float64() < t.loadBalancer.reconnectShare() {
			relay = t.loadBalancer.pickRelay(random)
		}
		sleep(ctx, time.Duration(random.Int64N(int64(longestPause))))
	}
}

// maxTakeUps is how often a client takes up one stream.
const maxTakeUps = 2

// takeUp takes up a stream that broke off within it, at any relay, after its last event.
func (t *traffic) takeUp(ctx context.Context, client *standin.Client, attempt standin.Attempt, sent history.Sending, random *rand.Rand) {
	for number := range maxTakeUps {
		last := standin.LastEvent(sent.Body)
		if route := standin.Routes()[attempt.Route]; !route.Resumable || sent.LeftAt > 0 || sent.Whole || last == 0 && attempt.LastEvent == 0 {
			return
		}
		if attempt.Resumes == "" {
			attempt.Resumes = sent.ID
		}
		relay := t.loadBalancer.pickRelay(random)
		attempt.ID, attempt.Front, attempt.Address = fmt.Sprintf("%s-%d", attempt.Resumes, number+1), relay.Name, relay.front
		attempt.LastEvent, attempt.CloseAfter = max(last, attempt.LastEvent), 0
		sent = client.Send(context.WithoutCancel(ctx), attempt)
	}
}

// drawContent draws the body, the prompt length and the abandonment of an attempt.
func (t *traffic) drawContent(attempt *standin.Attempt, random *rand.Rand) {
	if attempt.Route != standin.RoutePage {
		attempt.Body = fmt.Sprint("request ", random.Uint64())
		if t.site.options.LongRequests && random.Float64() < longRequestShare {
			attempt.PaddingBytes = longRequestBytes
		}
	}
	if standin.Routes()[attempt.Route].Stream {
		attempt.PromptTokens = 10 + random.IntN(8000)
		attempt.Events = t.site.drawEvents(attempt.Route, random)
	}
	if random.Float64() < abandonShare {
		attempt.CloseAfter = time.Duration(1+random.IntN(80)) * time.Millisecond
	}
}

// sendPoison sends one request that crashes its back ends, again and again, to any relay.
func (t *traffic) sendPoison(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.site.options.Seed, uint64(1000+number)))
	client := standin.NewClient(t.site.recorder)
	route := []string{standin.RouteStream, standin.RouteUnsafe, standin.RouteOnce}[number%3]
	for count := 0; ctx.Err() == nil; count++ {
		relay := t.loadBalancer.pickRelay(random)
		client.Send(context.WithoutCancel(ctx), standin.Attempt{
			ID: fmt.Sprintf("dead%04x%08x", number, count), Route: route, Front: relay.Name, Address: relay.front,
			Body: fmt.Sprint(standin.CrashBody, " ", number), PromptTokens: 100,
		})
		sleep(ctx, poisonPause)
	}
}

// operate submits configurations one after another until the context ends, and reads each back from a random controller.
func (s *site) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 2000))
	number := uint64(firstNumber)
	s.lastNumber = number
	if s.moves != nil {
		s.moves.begin()
	}
	for ctx.Err() == nil {
		s.awaitChange(ctx, random)
		number += uint64(1 + random.IntN(3))
		s.lastNumber = number
		change := s.drawChange(number, random)
		s.operator.Put(ctx, change.Change, change.content, random.IntN(s.options.Controllers))
		s.operator.Read(ctx, random.IntN(s.options.Controllers))
	}
}

// firstNumber is the number of the first configuration.
const firstNumber = 1

// drawnChange is a drawn configuration with its content.
type drawnChange struct {
	history.Change
	content string
}

// drawChange draws a configuration; one in eight is invalid and must never be accepted.
func (s *site) drawChange(number uint64, random *rand.Rand) drawnChange {
	if random.IntN(8) == 0 {
		return drawnChange{history.Change{Number: number, Invalid: true}, standin.InvalidConfiguration(number)}
	}
	pages := []string{standin.ServicePages, standin.ServiceOther}[random.IntN(2)]
	contents := s.contents(pages)
	contents.IdleRoutes = s.options.idleRoutes()
	return drawnChange{contents.Change(number), standin.Configuration(number, contents)}
}

// sleep blocks for the given time, or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
