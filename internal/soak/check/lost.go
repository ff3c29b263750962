package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// lost finds requests that maintenance cut off although no unplanned fault happened near them, and finds that the
// last configuration that was read is older than the newest one that was acknowledged.
func lost(recorded *history.History) []Finding {
	findings := cutByMaintenance(recorded)
	newest := newestAcked(recorded, 1<<62)
	for index := len(recorded.Reads) - 1; index >= 0; index-- {
		if read := recorded.Reads[index]; read.Status == 200 {
			if read.Number < newest {
				findings = append(findings, newFinding(Lost, read.At, "configuration %d was acknowledged, the last one that was read is %d", newest, read.Number))
			}
			break
		}
	}
	return findings
}

// cutByMaintenance finds requests that a relay has read, or may have, and that ended without an answer beside maintenance of
// the relay. Without a connection, nothing was read.
func cutByMaintenance(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	for _, sending := range recorded.Sendings {
		took := sending.EndedAt - sending.SentAt
		wasRead := len(arrivals[sending.ID]) > 0 || sending.Connected && took > recorded.Bounds.LossSlack
		if sending.Status != 0 || !wasRead || sending.ClosedAt != 0 || sending.ResetAt != 0 || took >= sending.Deadline || hasCrashed(arrivals[sending.ID]) {
			continue
		}
		if planned, unplanned := faultsNear(recorded, sending); planned && !unplanned {
			findings = append(findings, newFinding(Lost, sending.EndedAt, "request %s at %s was cut off by maintenance", sending.ID, sending.Front))
		}
	}
	return findings
}

// hasCrashed reports whether a back end crashed under the request.
func hasCrashed(arrivals []history.Arrival) bool {
	for _, arrival := range arrivals {
		if arrival.Crashed {
			return true
		}
	}
	return false
}

// faultsNear reports whether maintenance of a request's relay, and whether any unplanned fault, was under way at some
// time from the contact time before the request until its end. Back ends that stand still are no fault.
func faultsNear(recorded *history.History, sending history.Sending) (planned, unplanned bool) {
	for _, fault := range recorded.Faults {
		overlaps := fault.From <= sending.EndedAt && fault.To+recorded.Bounds.Contact >= sending.SentAt
		switch {
		case !overlaps:
		case fault.Kind.IsDisruption():
			unplanned = true
		case fault.Target == sending.Front:
			planned = true
		}
	}
	return planned, unplanned
}

// newestAcked returns the highest number of the configurations that were acknowledged by the given time; 0 for none.
func newestAcked(recorded *history.History, by time.Duration) uint64 {
	newest := uint64(0)
	for _, change := range recorded.Changes {
		if change.AckedAt > 0 && change.AckedAt <= by {
			newest = max(newest, change.Number)
		}
	}
	return newest
}
