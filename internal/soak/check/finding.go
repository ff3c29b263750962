package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Rule is the name of a rule.
type Rule string

// Rules.
const (
	Mixed   Rule = "MIXED"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Unasked Rule = "UNASKED"
	Order   Rule = "ORDER"
	Lost    Rule = "LOST"
	Drain   Rule = "DRAIN"
	Config  Rule = "CONFIG"
	Budget  Rule = "BUDGET"
	One     Rule = "ONE"
	Gone    Rule = "GONE"
	Recover Rule = "RECOVER"
	Route   Rule = "ROUTE"
	Limit   Rule = "LIMIT"
	Starved Rule = "STARVED"
	Return  Rule = "RETURN"
)

// Finding is one violation of a rule.
type Finding struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String formats the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", f.Rule, f.At.Seconds(), f.Text)
}

// checker finds the violations of one rule.
type checker func(*history.History) []Finding

// safetyCheckers holds the checkers of rules that hold at any speed of the machine, timedCheckers those of rules with a time
// bound.
var (
	safetyCheckers = []checker{mixed, twice, refused, unasked, order, unaskedJoins, overstatedEnds, mixedVersions, overAttemptLimit, one, atUnknownAddresses, unansweredByStopping, cutAnswers}
	timedCheckers  = []checker{lost, drain, config, gone, recovered, overCrashLimit, overRetryBudget, sentDuringBackoff, sentAfterLeavingAnswer, limits, starved, unservedReturns, neverAnswered, unservedWhileCut, lostStreams, overPartLimit, lostSoundPrompts, unservedAtHotRelay, missingFinalRead, unreachableAfterCut, lateAfterFinalFault}
)

// Safety returns the violations of rules without time bounds, sorted by time.
func Safety(recorded *history.History) []Finding { return run(safetyCheckers, recorded) }

// All returns the violations of all rules, sorted by time.
func All(recorded *history.History) []Finding {
	return run(append(slices.Clone(safetyCheckers), timedCheckers...), recorded)
}

func run(checkers []checker, recorded *history.History) []Finding {
	var findings []Finding
	for _, check := range checkers {
		findings = append(findings, check(recorded)...)
	}
	return slices.SortedStableFunc(slices.Values(findings), func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
}

// newFinding returns a finding with a formatted text.
func newFinding(rule Rule, at time.Duration, format string, arguments ...any) Finding {
	return Finding{Rule: rule, At: at, Text: fmt.Sprintf(format, arguments...)}
}

// sendingsByID returns the attempts by request identity.
func sendingsByID(recorded *history.History) map[string]history.Sending {
	sendings := make(map[string]history.Sending, len(recorded.Sendings))
	for _, sending := range recorded.Sendings {
		sendings[sending.ID] = sending
	}
	return sendings
}

// arrivalsByID returns the arrivals by request identity.
func arrivalsByID(recorded *history.History) map[string][]history.Arrival {
	arrivals := map[string][]history.Arrival{}
	for _, arrival := range recorded.Arrivals {
		arrivals[arrival.ID] = append(arrivals[arrival.ID], arrival)
	}
	return arrivals
}
