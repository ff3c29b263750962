package slots

import (
	"sync"

	"github.com/hazelpitch/hazelpitch/internal/slotqueue"
)

// holdings records the slots that this relay holds and its unanswered requests, by service. It is safe for concurrent use.
type holdings struct {
	// changed holds a value when slots were released that have not been reported yet.
	changed chan struct{}
	// refreshDue holds a value when all held slots must be reported again.
	refreshDue chan struct{}

	mutex     sync.Mutex
	byService map[string]*serviceHoldings
	// sequence counts the reports of all services.
	sequence uint64
}

func newHoldings() *holdings {
	return &holdings{changed: make(chan struct{}, 1), refreshDue: make(chan struct{}, 1), byService: map[string]*serviceHoldings{}}
}

// begin records a new request with the number that open returns. The number is drawn while the mutex is held, since a
// report must not count a number as answered that has been drawn but is not recorded yet.
func (h *holdings) begin(service string, open func() uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	entry := h.byService[service]
	if entry == nil {
		entry = newServiceHoldings()
		h.byService[service] = entry
	}
	entry.begin(open())
}

// hold records that a request was granted a slot.
func (h *holdings) hold(service string, number, backEnd uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	entry := h.byService[service]
	delete(entry.pending, number)
	entry.held[number] = backEnd
}

// end records that a request ended without a slot.
func (h *holdings) end(service string, number uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.byService[service].pending, number)
}

// release records that a slot is no longer needed; it does nothing for a slot that is not held.
func (h *holdings) release(service string, number uint64, result slotqueue.Result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	entry := h.byService[service]
	if entry == nil || !entry.release(number, result) {
		return
	}
	signal(h.changed)
}

// takeReports returns the due reports by service: of all services with slots if isRefresh is true, otherwise of those with
// slots that were released and not reported.
func (h *holdings) takeReports(isRefresh bool) map[string][]slotqueue.Report {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reports := map[string][]slotqueue.Report{}
	for service, entry := range h.byService {
		if taken := entry.takeReports(isRefresh, &h.sequence); len(taken) > 0 {
			reports[service] = taken
		}
		if entry.isIdle() {
			delete(h.byService, service)
		}
	}
	return reports
}
