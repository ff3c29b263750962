package fleetlimit

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// Ranks is the number of ranks of requests, 0 the most urgent.
const Ranks = 10

// Ask asks for a permit for one request.
type Ask struct {
	// BackEnd is the hash of one start of a back end.
	BackEnd uint64
	// Limit is what the asking process holds for the limit; Heard tells that the back end itself has named it to that
	// process since it was told anything else.
	Limit backpressure.Limit
	Heard bool
	// Asker identifies the asking process.
	Asker uint64
	// Rank is the request's, 0 the most urgent.
	Rank int
	// Owed tells that the request must go on at this back end: a run that stands still has its memory there.
	Owed bool
}

// Answer is what becomes of an Ask.
type Answer struct {
	// Granted tells that the request may go there now.
	Granted bool
	// Wait is how long the asking process had better not ask again; 0 where it was granted.
	Wait time.Duration
	// Limit is the limit as it is known here; the zero value where there is none any more.
	Limit backpressure.Limit
}

// Named is the limit of one back end, or that it has none any more.
type Named struct {
	BackEnd uint64
	Limit   backpressure.Limit
}
