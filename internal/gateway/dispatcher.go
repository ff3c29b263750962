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
// so a mutex costs less than a separate goroutine.
type dispatcher struct {
	clock  clock
	mutex  sync.Mutex
	router *routing.Router
	// permits requests permits for back ends that set limits.
	permits *permits
	path    *pathWatch
}

func newDispatcher(clock clock, config settings.Gateway, permits *permits, path *pathWatch, onRestart func(former routing.BackEnd)) (*dispatcher, error) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(config.Name)) // never fails, by its documentation
	router, err := routing.New(routing.Config{Zone: config.Zone, ZoneLatency: config.ZoneLatency, Seed: seed.Sum64(), OnRestart: onRestart})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &dispatcher{clock: clock, router: router, permits: permits, path: path}, nil
}

// pickOnce chooses the back ends of a request, without requesting permits.
func (d *dispatcher) pickOnce(request routing.Request, excluded []string) (routing.Choice, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.Pick(d.clock.now(), request, excluded)
}

// observe reports an event at a back end to the router.
func (d *dispatcher) observe(observation routing.Observation) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.Observe(d.clock.now(), observation)
}

// observeReport passes the state that a back end reports in the headers of an answer to the router.
func (d *dispatcher) observeReport(backEnd, exchange string, report upstream.Report) {
	if report.State == "" && report.Load == "" && report.Backoff == 0 && report.Limit == nil {
		return
	}
	d.observe(routing.AnswerHeaders{
		BackEnd: backEnd, Exchange: exchange, State: report.State, Role: report.Role, Load: parseLoad(report.Load), Backoff: report.Backoff, Limit: report.Limit,
	})
}

// isInBackoff reports whether a back end has asked this gateway to stop sending for now.
func (d *dispatcher) isInBackoff(backEnd routing.BackEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.Backoff(d.clock.now(), backEnd) > 0
}

// hasRestarted reports whether the router knows a later incarnation of a back end than the given one.
func (d *dispatcher) hasRestarted(backEnd routing.BackEnd) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.router.HasRestarted(backEnd)
}

func (d *dispatcher) setBackEnds(backEnds []routing.BackEnd) {
	d.path.setBackEnds(backEnds)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.SetBackEnds(backEnds)
}

func (d *dispatcher) confirmDirectory(at time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.router.Confirm(at)
}

// loadFields is the number of fields of enginecontract.HeaderEngineLoad.
const loadFields = 3

// parseLoad parses enginecontract.HeaderEngineLoad. It returns nil when the header is absent or malformed.
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
