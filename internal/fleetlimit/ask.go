package fleetlimit

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// RankCount is the number of ranks of requests, 0 the most urgent.
const RankCount = 10

// PermitRequest asks for a permit for one request.
type PermitRequest struct {
	// BackEnd is the hash of one start of a back end.
	BackEnd uint64
	// Limit is what the asking process holds for the limit; Heard tells that the back end itself has named it to that
	// process since it was told anything else.
	Limit            backpressure.Limit
	LimitFromBackEnd bool
	// RequesterID identifies the asking process.
	RequesterID uint64
	// Rank is the request's, 0 the most urgent.
	Rank int
	// MustResume tells that the request must go on at this back end: a run that stands still has its memory there.
	MustResume bool
}

// PermitResponse is what becomes of an Ask.
type PermitResponse struct {
	// Granted tells that the request may go there now.
	Granted bool
	// Wait is how long the asking process had better not ask again; 0 where it was granted.
	Wait time.Duration
	// Limit is the limit as it is known here; the zero value where there is none any more.
	Limit backpressure.Limit
}

// BackEndLimit is the limit of one back end, or that it has none any more.
type BackEndLimit struct {
	BackEnd uint64
	Limit   backpressure.Limit
}
