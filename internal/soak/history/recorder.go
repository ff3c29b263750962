package history

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Recorder takes down what is seen while a run goes on.
type Recorder struct {
	origin time.Time
	mutex  sync.Mutex
	kept   History
}

// NewRecorder begins a history now.
func NewRecorder(bounds Bounds, routes map[string]Route, controllers map[string]bool) *Recorder {
	return &Recorder{origin: time.Now(), kept: History{Bounds: bounds, Routes: routes, Controllers: controllers}}
}

// Now is the time since the run began.
func (r *Recorder) Now() time.Duration { return time.Since(r.origin) }

// Sending takes an attempt that has ended.
func (r *Recorder) Sending(sending Sending) { add(r, &r.kept.Sendings, sending) }

// Arrival takes a request that a back end has done with.
func (r *Recorder) Arrival(arrival Arrival) { add(r, &r.kept.Arrivals, arrival) }

// Change takes a configuration whose sending has ended.
func (r *Recorder) Change(change Change) { add(r, &r.kept.Changes, change) }

// Read takes a reading of the configuration.
func (r *Recorder) Read(read Read) { add(r, &r.kept.Reads, read) }

// Order takes an order as it reached a back end.
func (r *Recorder) Order(order Order) { add(r, &r.kept.Orders, order) }

// Listed takes a change of the list.
func (r *Recorder) Listed(listing Listing) { add(r, &r.kept.Listings, listing) }

// Limited takes the limit that a back end names from now on.
func (r *Recorder) Limited(limit Limit) { add(r, &r.kept.Limits, limit) }

// Fault takes a fault that has ended.
func (r *Recorder) Fault(fault Fault) { add(r, &r.kept.Faults, fault) }

// add takes an entry of one kind.
func add[Entry any](r *Recorder, kept *[]Entry, entry Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*kept = append(*kept, entry)
}

// History returns what was taken down, sorted by time.
func (r *Recorder) History() *History {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := r.kept
	kept.Sendings = sorted(kept.Sendings, func(s Sending) time.Duration { return s.SentAt })
	kept.Arrivals = sorted(kept.Arrivals, func(a Arrival) time.Duration { return a.At })
	noteMachines(&kept)
	kept.Changes = sorted(kept.Changes, func(c Change) time.Duration { return c.SentAt })
	kept.Reads = sorted(kept.Reads, func(r Read) time.Duration { return r.At })
	kept.Orders = sorted(kept.Orders, func(o Order) time.Duration { return o.At })
	kept.Listings = sorted(kept.Listings, func(l Listing) time.Duration { return l.At })
	kept.Limits = sorted(kept.Limits, func(l Limit) time.Duration { return l.At })
	kept.Faults = sorted(kept.Faults, func(f Fault) time.Duration { return f.From })
	return &kept
}

// noteMachines notes for each arrival which relay took it: an attempt is sent to one relay.
func noteMachines(kept *History) {
	fronts := make(map[string]string, len(kept.Sendings))
	for _, sending := range kept.Sendings {
		fronts[sending.ID] = sending.Front
	}
	for index, arrival := range kept.Arrivals {
		kept.Arrivals[index].Machine = fronts[arrival.ID]
	}
}

// sorted returns a copy in the order of time.
func sorted[Entry any](entries []Entry, at func(Entry) time.Duration) []Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b Entry) int { return cmp.Compare(at(a), at(b)) })
}
