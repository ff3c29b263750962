// Package bodybudget bounds the memory that bodies of messages take together. Short bodies are free. A longer one
// reserves its bytes before they are read, and waits for them if too many are in use; meanwhile its client waits as well.
package bodybudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// FreeBytes is the size up to which a body needs no reservation.
	FreeBytes = 16 << 10
	// maxWait is how long a body waits for a reservation, at most.
	maxWait = time.Second
)

// ErrExhausted means that other bodies have used the whole budget for too long.
var ErrExhausted = errors.New("other bodies take all memory that is set aside for them")

// Budget is the memory for bodies that are being read, or that are held until their requests are answered. It is safe for
// concurrent use.
type Budget struct {
	total int64
	free  *semaphore.Weighted
}

// New returns a budget of the given number of bytes.
func New(total int64) *Budget {
	return &Budget{total: total, free: semaphore.NewWeighted(total)}
}

// Reservation is the part of a budget that one body uses. Release may be called by another goroutine than Grow.
type Reservation struct {
	budget   *Budget
	mutex    sync.Mutex
	reserved int64
}

// NewReservation returns a reservation that covers FreeBytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow extends the reservation to a body of the given size. It waits for other bodies to be released, and returns ErrExhausted if
// that takes too long; the reservation is then as before. A body that is larger than the budget reserves all of it.
func (r *Reservation) Grow(size int) error {
	return r.grow(size, func(needed int64) bool {
		limited, cancel := context.WithTimeout(context.Background(), maxWait)
		defer cancel()
		return r.budget.free.Acquire(limited, needed) == nil
	})
}

// TryGrow is Grow without the wait.
func (r *Reservation) TryGrow(size int) error { return r.grow(size, r.budget.free.TryAcquire) }

// grow acquires what a body of the given size needs beyond the reservation.
func (r *Reservation) grow(size int, acquire func(needed int64) bool) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	needed := min(int64(size), r.budget.total) - r.reserved
	if size <= FreeBytes || needed <= 0 {
		return nil
	}
	if !acquire(needed) {
		return ErrExhausted
	}
	r.reserved += needed
	return nil
}

// Release returns the reservation to the budget. It may be called more than once.
func (r *Reservation) Release() { r.Shrink(0) }

// Shrink returns what a body of the given size does not need.
func (r *Reservation) Shrink(size int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if size <= FreeBytes {
		size = 0
	}
	if surplus := r.reserved - int64(size); surplus > 0 {
		r.budget.free.Release(surplus)
		r.reserved -= surplus
	}
}
