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
	// maximumUnplaced limits the requests stored individually until the true time is known.
	maximumUnplaced = 4096
	// maximumCounts limits the counts that await acknowledgement, about 5 MB. Beyond it the counts of the oldest window are
	// dropped. That is two hours of one-minute windows for 500 tenants.
	maximumCounts = 1 << 16
)

// Meter counts the requests that start to run. It is safe for concurrent use. Moments are durations since the origin of the
// process's monotonic clock.
type Meter struct {
	// relay is the random identity of this incarnation of the relay.
	relay uint64
	// wake receives a value when there are counts to report.
	wake chan struct{}

	mutex sync.Mutex
	time  trueTime
	// window is the length of the windows; 0 while usage reporting is disabled.
	window   time.Duration
	counts   map[countKey]uint64
	unplaced []requestStart
	sequence uint64
	// pendingReport is the report that is sent until it is acknowledged; nil without one.
	pendingReport *v1.UsageReport
}

// countKey is what requests are counted by: the window in which they started and their tenant.
type countKey struct {
	window usage.Window
	tenant string
}

// requestStart is the start of one request.
type requestStart struct {
	moment time.Duration
	tenant string
}

// NewMeter returns the Meter of one incarnation of a relay.
func NewMeter(relay uint64) *Meter {
	return &Meter{relay: relay, wake: make(chan struct{}, 1), counts: map[countKey]uint64{}}
}

// CountRequest counts a request of a tenant that started to run at the given moment.
func (m *Meter) CountRequest(moment time.Duration, tenant string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.window == 0 || !m.time.known {
		if len(m.unplaced) < maximumUnplaced {
			m.unplaced = append(m.unplaced, requestStart{moment: moment, tenant: tenant})
		}
		return
	}
	m.countInWindow(requestStart{moment: moment, tenant: tenant})
	m.wakeReporter()
}

// countInWindow counts a request in its window.
func (m *Meter) countInWindow(request requestStart) {
	m.counts[countKey{usage.WindowAt(m.time.at(request.moment), m.window), request.tenant}]++
	if len(m.counts) > maximumCounts {
		m.dropOldest()
	}
}

// dropOldest deletes the counts of the oldest window.
func (m *Meter) dropOldest() {
	oldest := usage.Window(math.MaxInt64)
	for key := range m.counts {
		oldest = min(oldest, key.window)
	}
	maps.DeleteFunc(m.counts, func(key countKey, _ uint64) bool { return key.window == oldest })
}

// wakeReporter signals the Reporter that there are counts to report.
func (m *Meter) wakeReporter() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// UpdateTime applies a message of the leader that was received at now. trueTimeMs is the true time, 0 if the leader does
// not know it. window is the length of the windows, 0 to disable usage reporting.
func (m *Meter) UpdateTime(now time.Duration, trueTimeMs int64, window time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.time.update(now, trueTimeMs)
	m.window = window
	if window == 0 {
		m.unplaced = nil
		return
	}
	if !m.time.known {
		return
	}
	for _, request := range m.unplaced {
		m.countInWindow(request)
	}
	if len(m.unplaced) > 0 {
		m.wakeReporter()
	}
	m.unplaced = nil
}

// NextReport returns the report to send: the last one until it is acknowledged, then a new one; nil if there is nothing
// to report.
func (m *Meter) NextReport() *v1.UsageReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.pendingReport != nil || len(m.counts) == 0 {
		return m.pendingReport
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
	m.pendingReport = report
	return report
}

// AcknowledgeReport records that the leader has received the pending report.
func (m *Meter) AcknowledgeReport() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pendingReport = nil
}

// UnreportedCount returns the number of requests that have not been reported and acknowledged.
func (m *Meter) UnreportedCount() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	unreported := uint64(len(m.unplaced))
	for _, count := range m.counts {
		unreported += count
	}
	for _, count := range m.pendingReport.GetCounts() {
		unreported += count.GetCount()
	}
	return unreported
}
