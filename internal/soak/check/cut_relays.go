package check

import (
	"fmt"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// A cut breaks the rule only if more than toleratedFailures plus one in toleratedPart of all first tries fail at the relays that
	// are cut off.
	toleratedFailures = 10
	toleratedPart     = 50
)

// TryCounts counts clients' first tries while some relays were cut off from all back ends: at these relays, and at the
// others.
type TryCounts struct {
	Cut    Share `json:"cut"`
	Others Share `json:"others"`
}

// String formats the counts.
func (c TryCounts) String() string {
	return fmt.Sprintf("%s at these relays, %s at the others", c.Cut, c.Others)
}

// with returns the counts with one more try.
func (c TryCounts) with(isCut, isServed bool) TryCounts {
	if isCut {
		c.Cut = c.Cut.with(isServed)
	} else {
		c.Others = c.Others.with(isServed)
	}
	return c
}

// breaksRecover reports whether the tries at the relays that are cut off are served less than two thirds as often as those
// at the others, and more of them fail than are tolerated.
func (c TryCounts) breaksRecover() bool {
	failed, all := c.Cut.All-c.Cut.Served, c.Cut.All+c.Others.All
	isRarer := 3*c.Cut.Served*c.Others.All < 2*c.Others.Served*c.Cut.All
	return isRarer && toleratedPart*(failed-toleratedFailures) > all
}

// FirstTries counts the first tries from the contact time after a relay was cut off until its cut ended.
type FirstTries struct {
	// All counts those at any relay, InContact those at relays that were otherwise in contact with the controllers.
	All       TryCounts `json:"all"`
	InContact TryCounts `json:"in_contact"`
	// cuts holds those in contact by the time at which the cut began.
	cuts map[time.Duration]TryCounts
}

// String formats the counts on one line.
func (t FirstTries) String() string {
	return fmt.Sprintf("first tries while relays were cut off from back ends: %s; of relays in contact: %s", t.All, t.InContact)
}

// CountFirstTries counts clients' first tries while relays were cut off from back ends. It leaves out clients that left, and
// requests that crash back ends.
func CountFirstTries(recorded *history.History) FirstTries {
	counted := FirstTries{cuts: map[time.Duration]TryCounts{}}
	cuts, crashing, sent := cutsFromBackEnds(recorded), crashingContents(recorded), map[string]bool{}
	for _, sending := range recorded.Sendings {
		isFirst := sending.Request == "" || !sent[sending.Request]
		sent[sending.Request] = true
		began, isCut := cutAt(cuts, recorded.Bounds.Contact, sending)
		hasLeft := sending.ClosedAt > 0 || sending.LeftAt > 0
		if began < 0 || !isFirst || hasLeft || crashing[sending.Content] {
			continue
		}
		if !isCut && recorded.WasCutFromBackEnds(sending.Front, sending.SentAt-recorded.Bounds.Contact, sending.SentAt) {
			continue // cut off too recently to be one of these relays, or of the others
		}
		isServed := sending.Succeeded() && sending.Whole
		counted.All = counted.All.with(isCut, isServed)
		if recorded.IsInContact(sending.Front, sending.SentAt, history.CutFromBackEnds) {
			counted.InContact = counted.InContact.with(isCut, isServed)
			counted.cuts[began] = counted.cuts[began].with(isCut, isServed)
		}
	}
	return counted
}

// cutsFromBackEnds returns the cuts of relays from back ends, sorted by their beginning.
func cutsFromBackEnds(recorded *history.History) []history.Fault {
	var cuts []history.Fault
	for _, fault := range recorded.Faults {
		if fault.Kind == history.CutFromBackEnds {
			cuts = append(cuts, fault)
		}
	}
	return cuts
}

// cutAt returns when the cut began that had lasted for the contact time when a request was sent; below 0 for none. Relays
// that are cut off together count as one cut. isCut is true if the request's own relay was cut off so long.
func cutAt(cuts []history.Fault, contact time.Duration, sending history.Sending) (began time.Duration, isCut bool) {
	began = -1
	for _, cut := range cuts {
		if sending.SentAt < cut.From+contact || sending.SentAt > cut.To {
			continue
		}
		if began < 0 {
			began = cut.From
		}
		isCut = isCut || cut.Target == sending.Front
	}
	return began, isCut
}

// crashingContents returns the contents of requests that crashed back ends.
func crashingContents(recorded *history.History) map[string]bool {
	crashed, contents := map[string]bool{}, map[string]bool{}
	for _, arrival := range recorded.Arrivals {
		if arrival.Crashed {
			crashed[arrival.ID] = true
		}
	}
	for _, sending := range recorded.Sendings {
		if crashed[sending.ID] {
			contents[sending.Content] = true
		}
	}
	return contents
}

// unservedWhileCut finds that relays that are cut off from back ends serve too few of the clients' first tries, in one cut
// or over the run.
func unservedWhileCut(recorded *history.History) []Finding {
	tries := CountFirstTries(recorded)
	var findings []Finding
	for began, counts := range tries.cuts {
		if counts.breaksRecover() {
			findings = append(findings, newFinding(Recover, began+recorded.Bounds.Contact, "first tries while relays were cut off from back ends since %.3f s: %s", began.Seconds(), counts))
		}
	}
	if len(findings) == 0 && tries.InContact.breaksRecover() {
		findings = append(findings, newFinding(Recover, 0, "first tries in all cuts from back ends together: %s", tries.InContact))
	}
	return findings
}
