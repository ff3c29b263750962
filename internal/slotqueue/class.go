package slotqueue

// class divides the requests of a level; the lower class goes first.
type class int

const (
	// returning requests came back at their promised time.
	returning class = iota
	// newcomer requests are all others: they redeem no promise.
	newcomer
	classCount
)
