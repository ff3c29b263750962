package retrybudget

import "time"

// Reservation is one retry that is taken from a budget before it is known whether it will be sent. It is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	window *serviceWindow
	// service and bucket say where the retry is counted.
	service    string
	bucket     int64
	isReturned bool
}

// Reserve takes one retry from the budget, as TrySpend does; nil if there is none. It counts from now on, unless Return is
// called.
func (b *Budget) Reserve(now time.Duration, service string) *Reservation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.advance(now, service)
	if !b.canSpend(window) {
		return nil
	}
	window.retries[len(window.retries)-1]++
	return &Reservation{budget: b, window: window, service: service, bucket: window.firstBucket + bucketCount}
}

// Return returns a retry that was not sent to the budget. Further calls have no effect.
func (r *Reservation) Return(now time.Duration) {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	if r.isReturned || r.budget.services[r.service] != r.window {
		return // the counts were reset since
	}
	r.isReturned = true
	if index := r.bucket - r.budget.advance(now, r.service).firstBucket; index >= 0 {
		r.window.retries[index]--
	}
}
