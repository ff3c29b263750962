package slots

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/relay/datagram"
	"github.com/hazelpitch/hazelpitch/internal/relay/peerhealth"
	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

const service = "service"

// usualTime is how long the back ends of the tests work on a request.
const usualTime = 20 * time.Millisecond

// testRelay is the Slots of one relay of a fleet.
type testRelay struct {
	*Slots
	connection *fakeConnection
	dropped    *prometheus.CounterVec
}

// testFleet is a fleet of relays before one service.
type testFleet struct {
	t       *testing.T
	began   time.Time
	network *fakeNetwork
	// relays are ordered so that the owner of the service's slots comes first and its deputy second.
	relays []*testRelay

	mutex    sync.Mutex
	backEnds []slotqueue.BackEnd
	// inUse counts the requests at each back end, and mostInUse is the highest number at any back end so far.
	inUse     map[uint64]int
	mostInUse int
	served    int
}

// inFleet runs a test with a fleet of relays in virtual time.
func inFleet(t *testing.T, relays, backEnds, slots int, run func(t *testing.T, fleet *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &testFleet{t: t, began: time.Now(), network: newFakeNetwork(), inUse: map[uint64]int{}}
		for index := range backEnds {
			fleet.backEnds = append(fleet.backEnds, slotqueue.BackEnd{Hash: uint64(index + 1), Slots: slots})
		}
		var addresses []string
		for index := range relays {
			relay := fleet.start(index)
			fleet.relays = append(fleet.relays, relay)
			addresses = append(addresses, relay.address())
		}
		slices.Sort(addresses)
		for _, relay := range fleet.relays {
			relay.SetRelays(addresses)
		}
		owners := fleet.relays[0].OwnersOf(service)
		rank := func(relay *testRelay) int {
			if index := slices.Index(owners, relay.address()); index >= 0 {
				return index
			}
			return len(owners)
		}
		slices.SortStableFunc(fleet.relays, func(a, b *testRelay) int { return rank(a) - rank(b) })
		time.Sleep(time.Second) // the owner is no longer new
		run(t, fleet)
	})
}

// start starts the Slots of one relay.
func (f *testFleet) start(index int) *testRelay {
	address := fmt.Sprintf("10.0.%d.%d:7380", index/250, index%250)
	connection := f.network.connect(address)
	f.t.Cleanup(func() { _ = connection.Close() })
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "dropped"}, []string{"reason"})
	relay := &testRelay{connection: connection, dropped: dropped}
	_, factory := metrics.NewRegistry("relay", address, "zone")
	peers := peerhealth.New(func(string, time.Duration) {})
	relay.Slots = New(Config{
		Socket: datagram.New(connection, dropped), Incarnation: uint64(index + 1),
		Now: func() time.Duration { return time.Since(f.began) }, Draw: func() float64 { return 0.5 },
		Peers: peers, AnswerTimeout: peers.Timeout, Services: func() []string { return []string{service} },
		BackEnds: func(string) []slotqueue.BackEnd { return f.listed() },
		Event:    func(events.Event) *zerolog.Event { return nil }, DecisionEvent: func(events.Event) *zerolog.Event { return nil },
		Metrics: NewMetrics(factory, func() *Slots { return relay.Slots }),
	})
	go relay.config.Socket.Receive(func(received *v1.RelayDatagram, from string) { relay.handle(received, from) })
	go func() { _ = relay.Run(f.t.Context()) }()
	return relay
}

func (r *testRelay) handle(received *v1.RelayDatagram, from string) {
	switch content := received.GetContent().(type) {
	case *v1.RelayDatagram_SlotRequest:
		r.HandleRequest(content.SlotRequest, from)
	case *v1.RelayDatagram_SlotAnswer:
		r.HandleAnswer(content.SlotAnswer)
	case *v1.RelayDatagram_SlotReport:
		r.HandleReport(content.SlotReport)
	case *v1.RelayDatagram_SlotPromises:
		r.HandlePromises(content.SlotPromises, from)
	}
}

// kill ends a relay's communication for good.
func (r *testRelay) kill() { _ = r.connection.Close() }

func (r *testRelay) now() time.Duration { return r.config.Now() }

// withOwned calls look with the queue of the service at this relay, which must be its owner or deputy.
func (r *testRelay) withOwned(look func(owned *ownedService)) {
	r.granter.mutex.Lock()
	defer r.granter.mutex.Unlock()
	look(r.granter.services[service])
}

// promisesDue returns the number of promises that this relay knows of as owner or deputy.
func (r *testRelay) promisesDue() (count int) {
	now := r.now()
	r.withOwned(func(owned *ownedService) { count = owned.plan.DueUntil(now, now+time.Minute) })
	return count
}

// ownsSlots reports whether this relay grants the slots of the service.
func (r *testRelay) ownsSlots() (owns bool) {
	r.withOwned(func(owned *ownedService) { owns = owned != nil })
	return owns
}

// request returns a request with a target in 0.5 s and a deadline in 2 s.
func (r *testRelay) request() Request {
	now := r.now()
	return Request{Service: service, TargetAt: now + 500*time.Millisecond, DeadlineAt: now + 2*time.Second}
}

func (f *testFleet) owner() *testRelay  { return f.relays[0] }
func (f *testFleet) deputy() *testRelay { return f.relays[1] }

func (f *testFleet) listed() []slotqueue.BackEnd {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.backEnds)
}

// use occupies a granted back end.
func (f *testFleet) use(backEnd uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inUse[backEnd]++
	f.mostInUse = max(f.mostInUse, f.inUse[backEnd])
}

func (f *testFleet) endUse(backEnd uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inUse[backEnd]--
	f.served++
}

func (f *testFleet) counts() (served, mostInUse int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.served, f.mostInUse
}

// serve lets a relay serve one request: it acquires a slot, uses it for usualTime and releases it.
func (f *testFleet) serve(relay *testRelay, request Request) Outcome {
	grant, outcome := relay.Acquire(request, nil)
	if outcome.Kind == Granted {
		f.use(grant.BackEnd)
		time.Sleep(usualTime)
		f.endUse(grant.BackEnd)
		relay.Release(grant, slotqueue.Result{ServiceTime: usualTime, Slowdown: 1})
	}
	return outcome
}

// serveAtOnce lets each of the relays serve a number of requests at the same time, and returns the outcomes.
func (f *testFleet) serveAtOnce(relays []*testRelay, each int) map[Kind]int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	outcomes := map[Kind]int{}
	for _, relay := range relays {
		for range each {
			group.Go(func() {
				outcome := f.serve(relay, relay.request())
				mutex.Lock()
				defer mutex.Unlock()
				outcomes[outcome.Kind]++
			})
		}
	}
	group.Wait()
	return outcomes
}

// waitWithin waits until a condition holds, for at most the given length of virtual time.
func (f *testFleet) waitWithin(limit time.Duration, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		require.True(f.t, time.Now().Before(end), "the condition does not become true in time")
	}
}

// reportTime is how long the release of a slot takes to arrive at the owners.
const reportTime = batchDelay + networkDelay + time.Millisecond

// noSlotsInUse reports whether the owner and the deputy know of no slot in use.
func (f *testFleet) noSlotsInUse() bool {
	return f.owner().granter.heldCount() == 0 && f.deputy().granter.heldCount() == 0
}
