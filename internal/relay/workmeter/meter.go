// Package workmeter sums up how long requests occupy back ends; controllers plan stages and replicas by these sums.
package workmeter

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Meter sums up, per service, the time for which requests occupy prefill and decoding engines. Controllers plan the
// engines' stages by it. It is safe for concurrent use.
type Meter struct {
	mutex       sync.Mutex
	windowStart time.Duration
	services    map[string]*serviceWork
	lastReport  []*v1.RoleDemand
}

// serviceWork is the engine time that one service used in the current window.
type serviceWork struct {
	prefill, decode time.Duration
	// wholeAnswers is the time for which non-streaming requests would occupy all slots of one back end.
	wholeAnswers time.Duration
	// runningEngines is how many decoding engines the running streams would fill. decode includes their time up to
	// accountedUntil.
	runningEngines float64
	accountedUntil time.Duration
	// runSeconds and runSecondsSquared are the sums of the durations of ended runs, in seconds, and of their squares, with
	// exponential decay.
	runSeconds, runSecondsSquared float64
}

// runDecay is the factor that each ended run applies to the sums of the earlier runs.
const runDecay = 0.995

// reportWindow is the length of the window over which work is summed up.
const reportWindow = time.Second

// New returns a Meter without any work.
func New() *Meter { return &Meter{services: map[string]*serviceWork{}} }

// AddPrefill adds time that a request of a service needs on prefill engines.
func (m *Meter) AddPrefill(service string, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.workOf(service).prefill += duration
}

// AddDecode adds time that a request of a service needs on decoding engines.
func (m *Meter) AddDecode(service string, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.workOf(service).decode += duration
}

// AddWholeAnswer adds the time for which a non-streaming request occupied one of a back end's slots.
func (m *Meter) AddWholeAnswer(service string, duration time.Duration, slots int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.workOf(service).wholeAnswers += duration / time.Duration(max(slots, 1))
}

// BeginRun records that a stream begins to occupy, or to wait for, one slot of a decoding engine with the given number of
// slots. The caller must call the returned function once when the stream ends.
func (m *Meter) BeginRun(now time.Duration, service string, slots int) (end func(now time.Duration)) {
	share := 1 / float64(max(slots, 1))
	m.addRunning(now, service, share)
	return func(endedAt time.Duration) {
		m.addRunning(endedAt, service, -share)
		m.recordRun(service, endedAt-now)
	}
}

// recordRun records for how long an ended run occupied its slot.
func (m *Meter) recordRun(service string, duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.workOf(service)
	work.runSeconds = runDecay*work.runSeconds + duration.Seconds()
	work.runSecondsSquared = runDecay*work.runSecondsSquared + duration.Seconds()*duration.Seconds()
}

// SlotHoldTime estimates for how much longer the runs that occupy slots at a given moment keep them, on average. It
// returns half the mean duration weighted by duration, because long runs are more likely to be found in a slot; for
// exponentially distributed durations this equals their mean. It returns 0 before the first run has ended.
func (m *Meter) SlotHoldTime(service string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.workOf(service)
	if work.runSeconds <= 0 {
		return 0
	}
	return time.Duration(work.runSecondsSquared / work.runSeconds / 2 * float64(time.Second))
}

// addRunning adds by, which may be negative, to the number of decoding engines that a service's running streams fill.
func (m *Meter) addRunning(now time.Duration, service string, by float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.workOf(service)
	work.accountUntil(now)
	work.runningEngines = max(work.runningEngines+by, 0)
}

// workOf returns the work of a service. The mutex is held.
func (m *Meter) workOf(service string) *serviceWork {
	work := m.services[service]
	if work == nil {
		work = &serviceWork{}
		m.services[service] = work
	}
	return work
}

// accountUntil adds the time of the running streams up to now.
func (w *serviceWork) accountUntil(now time.Duration) {
	w.decode += time.Duration(w.runningEngines * float64(now-w.accountedUntil))
	w.accountedUntil = now
}

// Report returns the work of the last complete window.
func (m *Meter) Report(now time.Duration) []*v1.RoleDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window := now - m.windowStart
	if window < reportWindow {
		return m.lastReport
	}
	m.lastReport = nil
	for service, work := range m.services {
		work.accountUntil(now)
		m.lastReport = append(m.lastReport, &v1.RoleDemand{
			Service: service, WindowMs: uint32(window.Milliseconds()),
			PrefillMs: uint64(work.prefill.Milliseconds()), DecodeMs: uint64(work.decode.Milliseconds()), WholeMs: uint64(work.wholeAnswers.Milliseconds()),
		})
		work.prefill, work.decode, work.wholeAnswers = 0, 0, 0
	}
	slices.SortFunc(m.lastReport, func(a, b *v1.RoleDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	m.windowStart = now
	return m.lastReport
}
