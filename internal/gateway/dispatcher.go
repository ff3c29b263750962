package gateway

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/upstream"
)

// dispatcher shares one routing.Router among the requests. A decision takes microseconds,
// so that a mutex costs less than a goroutine of its own.
type dispatcher struct {
	clock  clock
	mutex  sync.Mutex
	router *routing.Router
	// permits asks whether requests may go to back ends that name limits.
	permits *permits
}

func newDispatcher(clock clock, config settings.Gateway, permits *permits, restarted func(former routing.BackEnd)) (*dispatcher, error) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(config.Name)) // never fails, by its documentation
	router, err := routing.New(routing.Config{Zone: config.Zone, ZoneLatency: config.ZoneLatency, Seed: seed.Sum64(), OnRestart: restarted})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &dispatcher{clock: clock, router: router, permits: permits}, nil
}

// pickOnce chooses where to send a request.
func (d *dispatcher) pickOnce(request routing.Request, excluded []string) (routing.Choice, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.Pick(d.clock.now(), request, excluded)
}

// observe tells the router what happened at a back end.
func (d *dispatcher) observe(observation routing.Observation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.Observe(d.clock.now(), observation)
}

// observeReport tells the router what a back end said of itself in the answer to an exchange.
func (d *dispatcher) observeReport(backEnd, exchange string, report upstream.Report) {
	if report.State == "" && report.Load == "" && report.Backoff == 0 && report.Limit == nil {
		return
	}
	d.observe(routing.AnswerHeaders{
		BackEnd: backEnd, Exchange: exchange, State: report.State, Role: report.Role, Load: parseLoad(report.Load), Backoff: report.Backoff, Limit: report.Limit,
	})
}

// rests reports whether a back end has asked this gateway to be left alone for now.
func (d *dispatcher) rests(backEnd routing.BackEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.Backoff(d.clock.now(), backEnd) > 0
}

// hasRestarted reports whether a later incarnation of a back end is known.
func (d *dispatcher) hasRestarted(backEnd routing.BackEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.HasRestarted(backEnd)
}

func (d *dispatcher) setBackEnds(backEnds []routing.BackEnd) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.SetBackEnds(backEnds)
}

func (d *dispatcher) confirm(at time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.Confirm(at)
}

// loadFields is the number of fields of enginecontract.HeaderEngineLoad.
const loadFields = 3

// parseLoad reads enginecontract.HeaderEngineLoad; nil means absent or malformed.
func parseLoad(header string) *routing.Load {
	fields := strings.Split(header, ",")
	if len(fields) != loadFields {
		return nil
	}
	var numbers [loadFields]int64
	for i, field := range fields {
		number, err := strconv.ParseInt(field, 10, 64)
		if err != nil || number < 0 {
			return nil
		}
		numbers[i] = number
	}
	return &routing.Load{Running: int(numbers[0]), Waiting: int(numbers[1]), WaitingPromptTokens: numbers[2]}
}
