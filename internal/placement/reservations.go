package placement

import "time"

// ReservationLifetime is how long work assigned to an engine stays reserved until the querying relay reports it:
// time for the relay to receive the answer, start the work and send its load notice.
const ReservationLifetime = 300 * time.Millisecond

// QueryID identifies a placement query of a relay.
type QueryID struct {
	// Relay identifies the relay's incarnation; Number counts the queries of that incarnation.
	Relay, Number uint64
}

// Reservation is work that a placement answer assigned to an engine and that the querying relay has not reported yet.
type Reservation struct {
	Engine uint64
	Work   Work
	// PendingBlocks are the prefix blocks that the engine will prefill for the request and does not have cached.
	PendingBlocks []BlockHash

	addedAt time.Duration
}

// Reservations are a cell owner's assignments that relays have not reported yet. They are not safe for
// concurrent use.
type Reservations struct {
	byQuery map[QueryID]Reservation
	// work is the reserved work of each engine.
	work map[uint64]Work
}

// NewReservations returns an empty set.
func NewReservations() *Reservations {
	return &Reservations{byQuery: map[QueryID]Reservation{}, work: map[uint64]Work{}}
}

// Add adds the reservation for a query. It replaces the query's previous one, if any, and returns that.
func (r *Reservations) Add(now time.Duration, query QueryID, reservation Reservation) (previous Reservation, replaced bool) {
	previous, replaced = r.Release(query)
	reservation.addedAt = now
	r.byQuery[query] = reservation
	r.work[reservation.Engine] = r.work[reservation.Engine].Plus(reservation.Work)
	return previous, replaced
}

// Release removes the reservation for a query, since its work is reported now or will never start. found is false if
// there is none.
func (r *Reservations) Release(query QueryID) (released Reservation, found bool) {
	released, found = r.byQuery[query]
	if !found {
		return Reservation{}, false
	}
	delete(r.byQuery, query)
	remaining := r.work[released.Engine].Minus(released.Work)
	if remaining == (Work{}) {
		delete(r.work, released.Engine)
	} else {
		r.work[released.Engine] = remaining
	}
	return released, true
}

// Expire removes the reservations whose work was not reported in time, and returns them.
func (r *Reservations) Expire(now time.Duration) (expired []Reservation) {
	for query, reservation := range r.byQuery {
		if now-reservation.addedAt >= ReservationLifetime {
			r.Release(query)
			expired = append(expired, reservation)
		}
	}
	return expired
}

// ReservedWork returns the work that is reserved at an engine.
func (r *Reservations) ReservedWork(engine uint64) Work { return r.work[engine] }
