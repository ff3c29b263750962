package check

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// AfterFinalFault reports how soon a run's processes serve after its final fault, as times since the last of them was back.
type AfterFinalFault struct {
	Kind   string `json:"kind"`
	Before string `json:"before"`
	// Quorum is the time until more than half of the controllers know a leader, All the time until all processes are ready, Read
	// the time until the newest acknowledged configuration is read, Served until a request is served that was sent since.
	Quorum, All, Read, Served ElapsedTime
	// NeverReady holds the names of the processes that were never ready.
	NeverReady []string `json:"never_ready"`
}

// ElapsedTime is a time since the last process was back; nil for never.
type ElapsedTime *time.Duration

// format formats an elapsed time.
func format(elapsed ElapsedTime) string {
	if elapsed == nil {
		return "never"
	}
	return fmt.Sprintf("%.3f s", (*elapsed).Seconds())
}

// String formats the report on one line.
func (a AfterFinalFault) String() string {
	return fmt.Sprintf("final fault: %s, after %s; a leader at more than half after %s, all processes ready after %s, configuration read after %s, first request served after %s",
		a.Kind, a.Before, format(a.Quorum), format(a.All), format(a.Read), format(a.Served))
}

// MeasureFinalFault reports how soon the processes serve after the final fault; nil for a run without one.
func MeasureFinalFault(recorded *history.History) *AfterFinalFault {
	final := recorded.FinalFault
	if final == nil {
		return nil
	}
	since := func(at time.Duration) ElapsedTime { elapsed := max(0, at-final.BackAt); return &elapsed }
	measured := &AfterFinalFault{Kind: final.Kind, Before: final.Before}
	var controllers, all []time.Duration
	for _, name := range slices.Sorted(maps.Keys(final.ReadyAt)) {
		at := final.ReadyAt[name]
		if at == 0 {
			measured.NeverReady = append(measured.NeverReady, name)
			continue
		}
		all = append(all, at)
		if recorded.Controllers[name] {
			controllers = append(controllers, at)
		}
	}
	slices.Sort(controllers)
	if quorum := countControllers(final, recorded)/2 + 1; len(controllers) >= quorum {
		measured.Quorum = since(controllers[quorum-1])
	}
	if len(measured.NeverReady) == 0 && len(all) > 0 {
		measured.All = since(slices.Max(all))
	}
	if at, read := firstReadAfter(recorded, final.BackAt); read {
		measured.Read = since(at)
	}
	for _, sending := range recorded.Sendings {
		isEarlier := measured.Served == nil || sending.EndedAt-final.BackAt < *measured.Served
		if sending.SentAt > final.BackAt && sending.Succeeded() && isEarlier {
			measured.Served = since(sending.EndedAt)
		}
	}
	return measured
}

// countControllers returns the number of controllers when the final fault struck.
func countControllers(final *history.FinalFault, recorded *history.History) int {
	count := 0
	for name := range final.ReadyAt {
		if recorded.Controllers[name] {
			count++
		}
	}
	return count
}

// lateAfterFinalFault finds that after the final fault a process is not ready, or the newest acknowledged configuration is not
// read, within the recovery time, or that most controllers know no leader within twice the contact time.
func lateAfterFinalFault(recorded *history.History) []Finding {
	measured := MeasureFinalFault(recorded)
	if measured == nil {
		return nil
	}
	isLate := func(elapsed ElapsedTime, bound time.Duration) bool { return elapsed == nil || *elapsed > bound }
	back, bounds := recorded.FinalFault.BackAt, recorded.Bounds
	var findings []Finding
	if isLate(measured.All, bounds.Recovery) {
		findings = append(findings, newFinding(Recover, back+bounds.Recovery, "not all processes were ready in time after the final fault: all after %s, never ready: %v", format(measured.All), measured.NeverReady))
	}
	if isLate(measured.Quorum, 2*bounds.Contact) {
		findings = append(findings, newFinding(Recover, back+2*bounds.Contact, "more than half of the controllers knew a leader after %s after the final fault", format(measured.Quorum)))
	}
	if isLate(measured.Read, bounds.Recovery) {
		findings = append(findings, newFinding(Config, back+bounds.Recovery, "the newest configuration was read after %s after the final fault", format(measured.Read)))
	}
	if isLate(measured.Served, bounds.Recovery) {
		findings = append(findings, newFinding(Recover, back+bounds.Recovery, "the first request was served after %s after the final fault", format(measured.Served)))
	}
	return findings
}
