package slotqueue

import "time"

// Queue grants the slots of one service. The package comment describes its concurrency contract.
type Queue struct {
	config Config
}

// New returns a Queue without back ends. It counts as new from its first call with a time on, see BeginOwnership.
func New(config Config) *Queue {
	config.setDefaults()
	return &Queue{config: config}
}

// BeginOwnership must be called when the Queue's relay becomes the owner of the slots of a service whose slots other
// relays may hold unknown to it: when its list of relays has changed, or when it is a deputy and gets requests because
// the owner does not answer. For 300 ms the Queue then grants only half of the slots, while relays report theirs.
func (q *Queue) BeginOwnership(now time.Duration) {}

// SetBackEnds replaces the back ends of the service. Grants of back ends that are not listed stay valid.
func (q *Queue) SetBackEnds(now time.Duration, backEnds []BackEnd) {}

// Submit decides on a request. A repetition of the same ID gets the same final decision, or Queued while it waits.
func (q *Queue) Submit(now time.Duration, request Request) Decision {
	return Decision{ID: request.ID}
}

// Cancel withdraws a request whose client has disconnected or whose relay no longer waits for it. A slot that was
// granted to it is released.
func (q *Queue) Cancel(now time.Duration, id RequestID) {}

// Release ends a grant. Unknown grants are ignored.
func (q *Queue) Release(now time.Duration, id RequestID, result Result) {}

// ApplyReport applies the report of one relay.
func (q *Queue) ApplyReport(now time.Duration, report Report) {}

// Advance expires leases, grants free slots and refuses requests that can no longer be completed. It returns the
// decisions on queued requests since its last call.
func (q *Queue) Advance(now time.Duration) []Decision { return nil }

// NextAt returns when Advance must be called next if nothing else happens before; needed is false if it need not be.
// A time that has passed means at once.
func (q *Queue) NextAt() (at time.Duration, needed bool) { return 0, false }

// QueuedCount returns the number of queued requests.
func (q *Queue) QueuedCount() int { return 0 }

// HeldCount returns the number of slots in use that the Queue knows of.
func (q *Queue) HeldCount() int { return 0 }

// ExpiredLeases returns the number of grants that have ended by the expiry of their lease.
func (q *Queue) ExpiredLeases() uint64 { return 0 }
