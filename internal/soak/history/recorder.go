package history

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Recorder records events while a run is under way.
type Recorder struct {
	origin  time.Time
	mutex   sync.Mutex
	history History
}

// NewRecorder returns a recorder whose history begins now.
func NewRecorder(bounds Bounds, routes map[string]Route, controllers map[string]bool) *Recorder {
	return &Recorder{origin: time.Now(), history: History{Bounds: bounds, Routes: routes, Controllers: controllers}}
}

// SetSlotOwner records which relay owns the shared slots.
func (r *Recorder) SetSlotOwner(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.SlotOwner = name
}

// AddController records that a controller replaces another one.
func (r *Recorder) AddController(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.Controllers[name] = true
}

// SetFinalFault records the fault that ends the run.
func (r *Recorder) SetFinalFault(fault FinalFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.FinalFault = &fault
}

// Now returns the time since the run began.
func (r *Recorder) Now() time.Duration { return time.Since(r.origin) }

// AddSending records a client's attempt that has ended.
func (r *Recorder) AddSending(sending Sending) { appendEntry(r, &r.history.Sendings, sending) }

// AddArrival records a request that a back end has finished.
func (r *Recorder) AddArrival(arrival Arrival) { appendEntry(r, &r.history.Arrivals, arrival) }

// AddChange records a configuration whose submission has ended.
func (r *Recorder) AddChange(change Change) { appendEntry(r, &r.history.Changes, change) }

// AddRead records a read of the configuration.
func (r *Recorder) AddRead(read Read) { appendEntry(r, &r.history.Reads, read) }

// AddOrder records an order that reached a back end.
func (r *Recorder) AddOrder(order Order) { appendEntry(r, &r.history.Orders, order) }

// AddListing records a change of the platform's list.
func (r *Recorder) AddListing(listing Listing) { appendEntry(r, &r.history.Listings, listing) }

// AddLimit records the limit that a back end announces from now on.
func (r *Recorder) AddLimit(limit Limit) { appendEntry(r, &r.history.Limits, limit) }

// AddFault records a fault that has ended.
func (r *Recorder) AddFault(fault Fault) { appendEntry(r, &r.history.Faults, fault) }

// appendEntry appends an entry to one list of the history.
func appendEntry[Entry any](r *Recorder, entries *[]Entry, entry Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*entries = append(*entries, entry)
}

// History returns a copy of the recorded events, sorted by time.
func (r *Recorder) History() *History {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sortedHistory := r.history
	sortedHistory.Sendings = sortedByTime(sortedHistory.Sendings, func(s Sending) time.Duration { return s.SentAt })
	sortedHistory.Arrivals = sortedByTime(sortedHistory.Arrivals, func(a Arrival) time.Duration { return a.At })
	setMachines(&sortedHistory)
	sortedHistory.Changes = sortedByTime(sortedHistory.Changes, func(c Change) time.Duration { return c.SentAt })
	sortedHistory.Reads = sortedByTime(sortedHistory.Reads, func(r Read) time.Duration { return r.At })
	sortedHistory.Orders = sortedByTime(sortedHistory.Orders, func(o Order) time.Duration { return o.At })
	sortedHistory.Listings = sortedByTime(sortedHistory.Listings, func(l Listing) time.Duration { return l.At })
	sortedHistory.Limits = sortedByTime(sortedHistory.Limits, func(l Limit) time.Duration { return l.At })
	sortedHistory.Faults = sortedByTime(sortedHistory.Faults, func(f Fault) time.Duration { return f.From })
	return &sortedHistory
}

// setMachines sets the relay of each arrival: the one to which the client sent the attempt with the arrival's
// identity.
func setMachines(recorded *History) {
	fronts := make(map[string]string, len(recorded.Sendings))
	for _, sending := range recorded.Sendings {
		fronts[sending.ID] = sending.Front
	}
	for index, arrival := range recorded.Arrivals {
		recorded.Arrivals[index].Machine = fronts[arrival.ID]
	}
}

// sortedByTime returns a copy of the entries, sorted by time; entries of the same time keep their order.
func sortedByTime[Entry any](entries []Entry, at func(Entry) time.Duration) []Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b Entry) int { return cmp.Compare(at(a), at(b)) })
}
