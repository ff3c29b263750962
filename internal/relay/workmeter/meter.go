// Package workmeter sums the time for which requests keep back ends busy, as controllers plan stages and replicas by it.
package workmeter

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Meter sums the time that requests keep prefill and decoding engines busy, by
// service, for the plan of the engines' stages. It is safe for concurrent use.
type Meter struct {
	mutex    sync.Mutex
	since    time.Duration
	services map[string]*serviceWork
	reported []*v1.RoleDemand
}

// serviceWork is the engine time of one service in the window that runs.
type serviceWork struct {
	prefill, decode time.Duration
	// whole is the time for which requests that are answered whole would fill all slots of one back end.
	whole time.Duration
	// running is how many decoding engines the streams that run now would fill; decode counts
	// them up to countedTo.
	running   float64
	countedTo time.Duration
	// ran and ranSquared are sums over the runs that have ended, in seconds and their squares;
	// older runs count less.
	ran, ranSquared float64
}

// runMemory is by how much each run that ends makes the older ones count less.
const runMemory = 0.995

// reportWindow is the time over which work is summed.
const reportWindow = time.Second

// New returns a meter that knows of no work.
func New() *Meter { return &Meter{services: map[string]*serviceWork{}} }

// Read notes time that a request of a service asks of prefill engines.
func (m *Meter) Read(service string, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.of(service).prefill += took
}

// Generate notes time that a request of a service asks of decoding engines.
func (m *Meter) Generate(service string, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.of(service).decode += took
}

// Answer notes for how long a request that is answered whole has kept one of a back end's slots.
func (m *Meter) Answer(service string, took time.Duration, slots int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.of(service).whole += took / time.Duration(max(slots, 1))
}

// Run notes that a stream begins to fill a slot of a decoding engine with so many slots, or to
// wait for one; the function that it returns notes its end.
func (m *Meter) Run(now time.Duration, service string, slots int) (ended func(now time.Duration)) {
	share := 1 / float64(max(slots, 1))
	m.change(now, service, share)
	return func(ended time.Duration) {
		m.change(ended, service, -share)
		m.ended(service, ended-now)
	}
}

// ended notes how long a run has kept its slot.
func (m *Meter) ended(service string, took time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.of(service)
	work.ran = runMemory*work.ran + took.Seconds()
	work.ranSquared = runMemory*work.ranSquared + took.Seconds()*took.Seconds()
}

// Residence is how long those that fill slots at a moment keep them, on average: long runs fill
// slots for longer and so count for more. Half of that weighted mean is taken, which is the mean
// where lengths spread as they do without memory. It is 0 before any run has ended.
func (m *Meter) Residence(service string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.of(service)
	if work.ran <= 0 {
		return 0
	}
	return time.Duration(work.ranSquared / work.ran / 2 * float64(time.Second))
}

// change changes how many decoding engines a service's streams fill.
func (m *Meter) change(now time.Duration, service string, by float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.of(service)
	work.countTo(now)
	work.running = max(work.running+by, 0)
}

// of returns the work of a service. The mutex is held.
func (m *Meter) of(service string) *serviceWork {
	work := m.services[service]
	if work == nil {
		work = &serviceWork{}
		m.services[service] = work
	}
	return work
}

// countTo counts the streams that run up to a time.
func (w *serviceWork) countTo(now time.Duration) {
	w.decode += time.Duration(w.running * float64(now-w.countedTo))
	w.countedTo = now
}

// Report returns the work of the last whole window.
func (m *Meter) Report(now time.Duration) []*v1.RoleDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window := now - m.since
	if window < reportWindow {
		return m.reported
	}
	m.reported = nil
	for service, work := range m.services {
		work.countTo(now)
		m.reported = append(m.reported, &v1.RoleDemand{
			Service: service, WindowMs: uint32(window.Milliseconds()),
			PrefillMs: uint64(work.prefill.Milliseconds()), DecodeMs: uint64(work.decode.Milliseconds()), WholeMs: uint64(work.whole.Milliseconds()),
		})
		work.prefill, work.decode, work.whole = 0, 0, 0
	}
	slices.SortFunc(m.reported, func(a, b *v1.RoleDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	m.since = now
	return m.reported
}
