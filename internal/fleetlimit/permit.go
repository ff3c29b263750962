package fleetlimit

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
)

// RankCount is the number of urgency ranks of requests; rank 0 is the most urgent.
const RankCount = 10

// PermitRequest requests a permit for one request.
type PermitRequest struct {
	// BackEnd is the hash of the identity of one incarnation of a back end.
	BackEnd uint64
	// Limit is the limit as the requesting process knows it. LimitFromBackEnd is true if the back end itself named it to
	// that process, and that no other process has sent it a limit since.
	Limit            backpressure.Limit
	LimitFromBackEnd bool
	// RequesterID identifies the requesting process.
	RequesterID uint64
	// Rank is the urgency rank of the request, 0 the most urgent.
	Rank int
	// MustResume is true if the request can only run on this back end: a suspended run has its KV cache there.
	MustResume bool
}

// PermitResponse is the response to a PermitRequest.
type PermitResponse struct {
	// Granted is true if the request may be sent now.
	Granted bool
	// Wait is how long the process should wait before it requests a permit again; 0 if the permit was granted.
	Wait time.Duration
	// Limit is the limit as the responding process knows it; the zero value if there is none any more.
	Limit backpressure.Limit
}

// BackEndLimit is the limit of one back end; a zero Limit means that it has none any more.
type BackEndLimit struct {
	BackEnd uint64
	Limit   backpressure.Limit
}
