package check

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// operatorCall is the longest time that an operator waits for one controller. A call that began so long before the end of
	// the contact time can be answered within it.
	operatorCall = time.Second
	// minTriesAfterCut is the least number of first tries in the contact time after the controllers are in contact again.
	minTriesAfterCut = 20
)

// ControllerCuts reports on the cuts among the controllers.
type ControllerCuts struct {
	// All counts the cuts, Undisturbed those after whose end no other fault struck a controller within the contact time.
	All         int `json:"all"`
	Undisturbed int `json:"undisturbed"`
	// LongestToAck and LongestToRead are the longest times from the end of an undisturbed cut until a change was acknowledged,
	// and until the newest acknowledged configuration was read. NeverAcked and NeverRead count those after which that never
	// happened.
	LongestToAck  time.Duration `json:"longest_to_ack"`
	LongestToRead time.Duration `json:"longest_to_read"`
	NeverAcked    int           `json:"never_acked"`
	NeverRead     int           `json:"never_read"`
}

// String formats the report on one line.
func (c ControllerCuts) String() string {
	return fmt.Sprintf("cuts among controllers: %d, %d of them undisturbed; from the end of these at most %.3f s until a change is acknowledged (after %d of them never), %.3f s until the newest configuration is read (after %d never)",
		c.All, c.Undisturbed, c.LongestToAck.Seconds(), c.NeverAcked, c.LongestToRead.Seconds(), c.NeverRead)
}

// CountControllerCuts reports on the cuts among the controllers.
func CountControllerCuts(recorded *history.History) ControllerCuts {
	cuts := cutsAmongControllers(recorded)
	counted := ControllerCuts{All: len(cuts)}
	for _, cut := range cuts {
		if !isUndisturbed(recorded, cut) {
			continue
		}
		counted.Undisturbed++
		if at, acked := firstAckAfter(recorded, cut.To); acked {
			counted.LongestToAck = max(counted.LongestToAck, at-cut.To)
		} else {
			counted.NeverAcked++
		}
		if at, read := firstReadAfter(recorded, cut.To); read {
			counted.LongestToRead = max(counted.LongestToRead, at-cut.To)
		} else {
			counted.NeverRead++
		}
	}
	return counted
}

// cutsAmongControllers returns one fault for each cut, sorted by their ends. The faults of one cut have the same times.
func cutsAmongControllers(recorded *history.History) []history.Fault {
	var cuts []history.Fault
	for _, fault := range recorded.Faults {
		isSame := func(other history.Fault) bool { return other.From == fault.From && other.To == fault.To }
		if fault.Kind == history.CutController && !slices.ContainsFunc(cuts, isSame) {
			cuts = append(cuts, fault)
		}
	}
	slices.SortFunc(cuts, func(a, b history.Fault) int { return cmp.Compare(a.To, b.To) })
	return cuts
}

// isUndisturbed reports whether no other fault struck a controller from the end of the cut until twice the contact time after it.
func isUndisturbed(recorded *history.History, cut history.Fault) bool {
	return !slices.ContainsFunc(recorded.Faults, func(fault history.Fault) bool {
		isSame := fault.Kind == history.CutController && fault.From == cut.From && fault.To == cut.To
		return recorded.Controllers[fault.Target] && !isSame && fault.To > cut.To && fault.From < cut.To+2*recorded.Bounds.Contact
	})
}

// firstAckAfter returns when the first change was acknowledged after the given time.
func firstAckAfter(recorded *history.History, after time.Duration) (at time.Duration, acked bool) {
	for _, change := range recorded.Changes {
		if change.AckedAt > after && (!acked || change.AckedAt < at) {
			at, acked = change.AckedAt, true
		}
	}
	return at, acked
}

// firstReadAfter returns when the first read returned the newest configuration that had been acknowledged by the given time, or
// a newer one. The read was sent after that time.
func firstReadAfter(recorded *history.History, after time.Duration) (at time.Duration, read bool) {
	newest := newestAcked(recorded, after)
	for _, read := range recorded.Reads {
		if read.SentAt > after && read.Status == http.StatusOK && read.Number >= newest {
			return read.At, true
		}
	}
	return 0, false
}

// unreachableAfterCut finds that within the contact time after the end of a cut among the controllers no change is acknowledged
// that the operator sends, or no read returns the newest acknowledged configuration; and that in the contact time after that,
// less than half of the clients' first tries are served. The bounds do not depend on the length of the cut.
func unreachableAfterCut(recorded *history.History) []Finding {
	var findings []Finding
	for _, cut := range cutsAmongControllers(recorded) {
		if !isUndisturbed(recorded, cut) {
			continue
		}
		due := cut.To + recorded.Bounds.Contact
		length := (cut.To - cut.From).Seconds()
		if at, acked := firstAckAfter(recorded, cut.To); (!acked || at > due) && wasChangeSent(recorded, cut.To, due) {
			findings = append(findings, newFinding(Config, due, "no change was acknowledged within %s after controllers had been cut from each other for %.3f s", recorded.Bounds.Contact, length))
		}
		if at, read := firstReadAfter(recorded, cut.To); (!read || at > due) && wasReadSent(recorded, cut.To, due) {
			findings = append(findings, newFinding(Config, due, "the newest configuration was not read within %s after controllers had been cut from each other for %.3f s", recorded.Bounds.Contact, length))
		}
		if share := servedBetween(recorded, due, due+recorded.Bounds.Contact); share.All >= minTriesAfterCut && 2*share.Served < share.All {
			findings = append(findings, newFinding(Recover, due, "first tries after controllers had been cut from each other for %.3f s: %s", length, share))
		}
	}
	return findings
}

// wasChangeSent reports whether the operator was sending a valid change after the cut early enough to be acknowledged when due.
func wasChangeSent(recorded *history.History, after, due time.Duration) bool {
	return slices.ContainsFunc(recorded.Changes, func(change history.Change) bool {
		isOpen := change.AckedAt == 0 || change.AckedAt > after
		return !change.Invalid && isOpen && change.SentAt+operatorCall <= due && change.EndedAt > after
	})
}

// wasReadSent reports whether the operator sent a read after the cut early enough to be answered when due.
func wasReadSent(recorded *history.History, after, due time.Duration) bool {
	return slices.ContainsFunc(recorded.Reads, func(read history.Read) bool {
		return read.SentAt > after && read.SentAt+operatorCall <= due
	})
}
