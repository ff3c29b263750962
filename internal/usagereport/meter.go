package usagereport

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

const (
	// mostUnplaced bounds the requests that are remembered one by one until the true time is known.
	mostUnplaced = 4096
	// mostCounts bounds the counts that wait until they are taken, some 5 MB of them; those of the oldest window give
	// way. That is two hours of windows of a minute for 500 tenants.
	mostCounts = 1 << 16
)

// Meter counts the requests that begin to run. It is safe for concurrent use. Moments are durations
// since the origin of the process's steady clock.
type Meter struct {
	// relay is the random identity of this process's start.
	relay uint64
	// wake gets an entry when there is something to tell.
	wake chan struct{}

	mutex sync.Mutex
	time  trueTime
	// window is the length of the windows; 0 while nobody wants to know.
	window   time.Duration
	counts   map[countKey]uint64
	unplaced []begin
	sequence uint64
	// underWay is the report that is sent until it is taken; nil for none.
	underWay *v1.UsageReport
}

// countKey is what requests are counted by.
type countKey struct {
	window usage.Window
	tenant string
}

// begin is one request that began to run.
type begin struct {
	moment time.Duration
	tenant string
}

// NewMeter returns the meter of a relay's start.
func NewMeter(relay uint64) *Meter {
	return &Meter{relay: relay, wake: make(chan struct{}, 1), counts: map[countKey]uint64{}}
}

// CountRequest counts a request of a tenant that began to run at a moment.
func (m *Meter) CountRequest(moment time.Duration, tenant string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.window == 0 || !m.time.known {
		if len(m.unplaced) < mostUnplaced {
			m.unplaced = append(m.unplaced, begin{moment: moment, tenant: tenant})
		}
		return
	}
	m.place(begin{moment: moment, tenant: tenant})
	m.signal()
}

// place counts a request in its window.
func (m *Meter) place(began begin) {
	m.counts[countKey{usage.WindowAt(m.time.at(began.moment), m.window), began.tenant}]++
	if len(m.counts) > mostCounts {
		m.dropOldest()
	}
}

// dropOldest forgets the counts of the oldest window.
func (m *Meter) dropOldest() {
	oldest := usage.Window(math.MaxInt64)
	for key := range m.counts {
		oldest = min(oldest, key.window)
	}
	maps.DeleteFunc(m.counts, func(key countKey, _ uint64) bool { return key.window == oldest })
}

// signal tells that there is something to tell.
func (m *Meter) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// UpdateTime takes the leader's word, just received: the true time, 0 while it knows none, and the length of
// the windows, 0 when nobody wants to know.
func (m *Meter) UpdateTime(now time.Duration, trueTimeMs int64, window time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.time.hear(now, trueTimeMs)
	m.window = window
	if window == 0 {
		m.unplaced = nil
		return
	}
	if !m.time.known {
		return
	}
	for _, began := range m.unplaced {
		m.place(began)
	}
	if len(m.unplaced) > 0 {
		m.signal()
	}
	m.unplaced = nil
}

// NextReport returns the report that is to be sent: the last one until it was taken; nil for none.
func (m *Meter) NextReport() *v1.UsageReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.underWay != nil || len(m.counts) == 0 {
		return m.underWay
	}
	m.sequence++
	report := &v1.UsageReport{Relay: m.relay, Sequence: m.sequence}
	for key, count := range m.counts {
		report.Counts = append(report.Counts, &v1.UsageCount{Window: int64(key.window), Tenant: key.tenant, Count: count})
	}
	slices.SortFunc(report.Counts, func(a, b *v1.UsageCount) int {
		return cmp.Or(cmp.Compare(a.GetWindow(), b.GetWindow()), cmp.Compare(a.GetTenant(), b.GetTenant()))
	})
	clear(m.counts)
	m.underWay = report
	return report
}

// AcknowledgeReport notes that the report under way was taken.
func (m *Meter) AcknowledgeReport() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.underWay = nil
}

// UnreportedCount returns how many requests have not been reported yet.
func (m *Meter) UnreportedCount() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unreported := uint64(len(m.unplaced))
	for _, count := range m.counts {
		unreported += count
	}
	for _, count := range m.underWay.GetCounts() {
		unreported += count.GetCount()
	}
	return unreported
}
