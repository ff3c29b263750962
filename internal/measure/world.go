package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/admission"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/virtualtime"
)

const (
	serviceName    = "service"
	reportInterval = time.Second
	expireInterval = 50 * time.Millisecond
	// drainTime is the time after the last arrival in which requests may still complete.
	drainTime = time.Minute
)

// setup holds the settings of one run.
type setup struct {
	seed      uint64
	engines   int
	zones     int
	gateways  int
	reportLag time.Duration
	zoneDelay time.Duration // one way
	chooser   string
	// admission is nil when every request is sent at once, without admission.
	admission *admission.Config
	workloads []workload
}

// world is the state of one run: engines, gateways and the requests between them.
type world struct {
	setup    setup
	now      time.Duration
	agenda   virtualtime.EventQueue
	engines  []*enginemodel.Engine
	zones    []string // by engine
	index    map[string]int
	running  []map[string]*exchange // by engine, then by exchange ID
	gateways []*gateway
	requests []request
	// delayedReports holds the load report that the gateways have, then the newer ones, the oldest first.
	delayedReports [][]routing.BackEnd
	results        results
}

// exchange is one request that a gateway has sent to an engine.
type exchange struct {
	*request
	gateway      *gateway
	engine       int
	exchangeID   string
	startedAt    time.Duration
	firstTokenAt time.Duration
	cachedTokens int
}

func newWorld(setup setup) (*world, error) {
	w := &world{setup: setup, index: map[string]int{}, results: newResults()}
	random := rand.New(rand.NewPCG(setup.seed, 1))
	for i := range setup.engines {
		engine, err := enginemodel.New(enginemodel.DefaultProfile(), enginecontract.RoleMixed)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		w.engines = append(w.engines, engine)
		w.zones = append(w.zones, zoneName(i%setup.zones))
		w.index[engineName(i)] = i
		w.running = append(w.running, map[string]*exchange{})
	}
	for i := range setup.gateways {
		gateway, err := newGateway(w, i)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		w.gateways = append(w.gateways, gateway)
	}
	for _, workload := range setup.workloads {
		w.requests = append(w.requests, workload.generate(random, setup.gateways)...)
	}
	slices.SortStableFunc(w.requests, func(a, b request) int { return int(a.arrivesAt - b.arrivesAt) })
	for i := range w.requests {
		w.requests[i].number = i
	}
	return w, nil
}

func engineName(index int) string { return fmt.Sprintf("engine-%04d", index) }

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

// run simulates the whole workload and returns the results.
func (w *world) run() *results {
	last := w.requests[len(w.requests)-1].arrivesAt
	w.repeatUntil(reportInterval, last+drainTime, w.refreshReports)
	w.repeatUntil(expireInterval, last+drainTime, func() {
		for _, gateway := range w.gateways {
			gateway.expireWaiting()
		}
	})
	w.repeatUntil(100*time.Millisecond, last, w.sampleImbalance)
	w.refreshReports()
	for i := range w.requests {
		req := &w.requests[i]
		w.agenda.Schedule(req.arrivesAt, func() { w.gateways[req.gateway].receive(req) })
	}
	for {
		at, found := w.nextEventTime()
		if !found || at > last+drainTime {
			return &w.results
		}
		w.now = at
		for i := range w.engines {
			w.advanceEngine(i)
		}
		w.agenda.RunUntil(at)
	}
}

func (w *world) repeatUntil(interval, until time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		if w.now+interval < until {
			w.agenda.Schedule(w.now+interval, again)
		}
	}
	w.agenda.Schedule(interval, again)
}

func (w *world) nextEventTime() (time.Duration, bool) {
	best, found := w.agenda.NextTime()
	for _, engine := range w.engines {
		if at, busy := engine.NextEvent(); busy && (!found || at < best) {
			best, found = at, true
		}
	}
	return max(best, w.now), found
}

func (w *world) advanceEngine(index int) {
	engine := w.engines[index]
	if at, busy := engine.NextEvent(); !busy || at > w.now {
		return
	}
	for _, event := range engine.Advance(w.now) {
		current, found := w.running[index][event.ID]
		if !found {
			continue
		}
		switch event.Type {
		case enginemodel.EventFirstToken:
			current.gateway.recordFirstToken(current, event)
		case enginemodel.EventDone:
			delete(w.running[index], event.ID)
			current.gateway.complete(current)
		}
	}
}

// refreshReports reads every engine's load and passes the newest loads that are at least reportLag old, or
// the oldest ones, to the gateways.
func (w *world) refreshReports() {
	directory := make([]routing.BackEnd, len(w.engines))
	for i, engine := range w.engines {
		directory[i] = routing.BackEnd{
			Name: engineName(i), Service: serviceName, Zone: w.zones[i], Incarnation: 1,
			State: enginecontract.StateServing, Role: enginecontract.RoleMixed, ConfirmedAt: w.now,
			Load: loadOf(engine), LoadAt: w.now, HasLoad: true,
		}
	}
	w.delayedReports = append(w.delayedReports, directory)
	for len(w.delayedReports) > 1 && w.delayedReports[1][0].LoadAt <= w.now-w.setup.reportLag {
		w.delayedReports = w.delayedReports[1:]
	}
	for _, gateway := range w.gateways {
		gateway.chooser.setReports(w.now, w.delayedReports[0])
	}
}

func loadOf(engine *enginemodel.Engine) routing.Load {
	load := engine.Load()
	return routing.Load{Running: load.Running, Waiting: load.Waiting, WaitingPromptTokens: load.WaitingPromptTokens}
}

// latency returns the one-way latency between a gateway and an engine.
func (w *world) latency(gateway *gateway, engine int) time.Duration {
	if gateway.zone == w.zones[engine] {
		return 0
	}
	return w.setup.zoneDelay
}
