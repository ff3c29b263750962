package placement

import "time"

// ReservationLifetime is how long work that was assigned to an engine counts there before the
// relay that asked has told of it: the answer's way, the begin of the work and the notice's way.
const ReservationLifetime = 300 * time.Millisecond

// QueryID names one question of one relay.
type QueryID struct {
	// Relay is the identity of the relay's start, Number that of its question.
	Relay, Number uint64
}

// Reservation is work that was assigned to an engine and of which its relay has not told yet.
type Reservation struct {
	Engine uint64
	Work   Work
	// PendingBlocks are the parts of the prompt that the engine will read anew for it.
	PendingBlocks []BlockHash

	at time.Duration
}

// Reservations are an owner's assignments that relays have not told of. They are not safe for
// concurrent use.
type Reservations struct {
	open map[QueryID]Reservation
	// work is what is reserved at each engine.
	work map[uint64]Work
}

// NewReservations returns none.
func NewReservations() *Reservations {
	return &Reservations{open: map[QueryID]Reservation{}, work: map[uint64]Work{}}
}

// Add reserves; what the asker had reserved before is given up and returned.
func (r *Reservations) Add(now time.Duration, asker QueryID, reserved Reservation) (former Reservation, had bool) {
	former, had = r.Release(asker)
	reserved.at = now
	r.open[asker] = reserved
	r.work[reserved.Engine] = r.work[reserved.Engine].Plus(reserved.Work)
	return former, had
}

// Release ends a reservation, since its work counts otherwise now or will never begin.
func (r *Reservations) Release(asker QueryID) (ended Reservation, had bool) {
	ended, had = r.open[asker]
	if !had {
		return Reservation{}, false
	}
	delete(r.open, asker)
	left := r.work[ended.Engine].Minus(ended.Work)
	if left == (Work{}) {
		delete(r.work, ended.Engine)
	} else {
		r.work[ended.Engine] = left
	}
	return ended, true
}

// Expire ends the reservations of which nothing was told in time, and returns them.
func (r *Reservations) Expire(now time.Duration) (expired []Reservation) {
	for asker, reserved := range r.open {
		if now-reserved.at >= ReservationLifetime {
			r.Release(asker)
			expired = append(expired, reserved)
		}
	}
	return expired
}

// ReservedWork is the work that is reserved at an engine.
func (r *Reservations) ReservedWork(engine uint64) Work { return r.work[engine] }
