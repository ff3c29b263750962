package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/scenario"
	"github.com/hazelpitch/hazelpitch/internal/virtualtime"
)

// world is the state of one run: engines, gateways, the controller and the requests between them.
type world struct {
	options  Options
	scenario *scenario.Scenario
	now      time.Duration
	agenda   virtualtime.EventQueue
	engines  []*engine
	byName   map[string]*engine
	gateways []*gateway // one in each zone
	control  *controller
	recorder *recorder
	declared []declaredTokens // by kind
}

func newWorld(options Options) (*world, error) {
	w := &world{options: options, scenario: &options.Scenario, byName: map[string]*engine{}}
	if err := w.addEngines(); err != nil {
		return nil, err
	}
	for i := range w.scenario.Zones {
		gateway, err := newGateway(w, i)
		if err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, gateway)
	}
	w.declared = declareTokens(len(w.scenario.Kinds), options.Arrivals)
	w.control = newController(w)
	w.recorder = newRecorder(w)
	return w, nil
}

func (w *world) addEngines() error {
	all := w.scenario.Engines()
	for _, service := range w.scenario.Services {
		var serviceEngines []scenario.Engine
		for _, engine := range all {
			if engine.Service == service.Name {
				serviceEngines = append(serviceEngines, engine)
			}
		}
		if w.options.Policy.InitialRoles != nil {
			if roles := w.options.Policy.InitialRoles(service.Name, serviceEngines); roles != nil {
				for i := range serviceEngines {
					serviceEngines[i].Role = roles[i]
				}
			}
		}
		for _, declared := range serviceEngines {
			created, err := newEngine(w, declared, service.EngineProfile())
			if err != nil {
				return trace.Wrap(err)
			}
			w.engines = append(w.engines, created)
			w.byName[declared.Name] = created
		}
	}
	return nil
}

// run simulates all arrivals and the grace period after them.
func (w *world) run() {
	end := w.scenario.Duration + gracePeriod
	w.scheduleFaults()
	w.scheduleEvery(w.reportInterval(), end, w.sampleLoads)
	w.scheduleEvery(expireInterval, end, func() {
		for _, gateway := range w.gateways {
			gateway.expireWaiting()
		}
	})
	w.scheduleEvery(reportInterval, end, func() {
		for _, gateway := range w.gateways {
			gateway.syncDirectory()
			gateway.sendReport()
		}
	})
	w.scheduleEvery(planInterval, w.scenario.Duration, func() { w.control.plan() })
	w.scheduleEvery(time.Second, w.scenario.Duration, func() { w.recorder.recordSample(w) })
	w.sampleLoads()
	for _, gateway := range w.gateways {
		gateway.syncDirectory()
	}
	w.scheduleArrival(0)
	for {
		at, found := w.nextTime()
		if !found || at > end {
			return
		}
		w.now = at
		for _, engine := range w.engines {
			engine.advance(at)
		}
		w.agenda.RunUntil(at)
	}
}

// scheduleArrival schedules one arrival, which schedules the next, to keep the agenda small.
func (w *world) scheduleArrival(number int) {
	if number >= len(w.options.Arrivals) {
		return
	}
	arrival := &w.options.Arrivals[number]
	w.agenda.Schedule(arrival.At, func() {
		w.gateways[arrival.Zone].receiveRequest(w.newRequest(arrival))
		w.scheduleArrival(number + 1)
	})
}

func (w *world) scheduleEvery(interval, until time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		if w.now+interval <= until {
			w.agenda.Schedule(w.now+interval, again)
		}
	}
	w.agenda.Schedule(interval, again)
}

func (w *world) scheduleAfter(delay time.Duration, action func()) {
	w.agenda.Schedule(w.now+delay, action)
}

func (w *world) nextTime() (time.Duration, bool) {
	best, found := w.agenda.NextTime()
	for _, engine := range w.engines {
		if at, busy := engine.nextEvent(); busy && (!found || at < best) {
			best, found = at, true
		}
	}
	return max(best, w.now), found
}

func (w *world) reportInterval() time.Duration {
	if w.scenario.Reports.Interval > 0 {
		return w.scenario.Reports.Interval
	}
	return reportInterval
}

func (w *world) sampleLoads() {
	for _, engine := range w.engines {
		engine.sampleLoad()
	}
}

// latency returns the one-way latency between two zones.
func (w *world) latency(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return w.scenario.Latency.BetweenZones
}
