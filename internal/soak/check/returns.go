package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// returnWindow is how long after the time that it was told a client still counts as returning as told.
	returnWindow = 250 * time.Millisecond
	// returnMinSample is the smallest number of returns of a run for which the served share is checked. A run with fewer
	// is too small to check; it breaks the rule as well where returns must be served.
	returnMinSample = 20
)

// Returns counts the clients that came back at the time they were told. It leaves out those whose relay, or the owner of
// the shared slots, had a fault since they were told. Served are those whose request a back end ran.
func Returns(recorded *history.History) Share {
	var share Share
	for _, sending := range recorded.Sendings {
		isAsTold := sending.DueAt > 0 && sending.SentAt <= sending.DueAt+returnWindow
		if !isAsTold || recorded.WasDisturbed(sending.RefusedAt, sending.EndedAt, sending.Front, recorded.SlotOwner) {
			continue
		}
		share = share.with(sending.WasRun())
	}
	return share
}

// unservedReturns finds that fewer of the clients that came back as told were served than Bounds.ReturnShare.
func unservedReturns(recorded *history.History) []Finding {
	required, share := recorded.Bounds.ReturnShare, Returns(recorded)
	switch {
	case required == 0:
		return nil
	case share.All < returnMinSample:
		return []Finding{newFinding(Return, 0, "only %d clients came back as told, at least %d are needed to check them", share.All, returnMinSample)}
	case !share.isAtLeast(required):
		return []Finding{newFinding(Return, 0, "%d of %d clients that came back as told were served, the share must be %.2f", share.Served, share.All, required)}
	default:
		return nil
	}
}
