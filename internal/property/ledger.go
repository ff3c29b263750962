package property

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// maximumGatewayAttempts is how often a gateway may begin one repeatable request.
const maximumGatewayAttempts = 4

// epoch is when the time of a synctest bubble begins; histories are relative to it.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// ledger records the outcomes that callers observed. It is safe for concurrent use.
type ledger struct {
	mutex    sync.Mutex
	attempts map[*request][]*attempt
}

func newLedger() *ledger { return &ledger{attempts: map[*request][]*attempt{}} }

func (l *ledger) add(finished *attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts[finished.request] = append(l.attempts[finished.request], finished)
}

// requests returns the requests sorted by number.
func (l *ledger) requests() []*request {
	sorted := make([]*request, 0, len(l.attempts))
	for each := range l.attempts {
		sorted = append(sorted, each)
	}
	slices.SortFunc(sorted, func(a, b *request) int { return a.number - b.number })
	return sorted
}

// check compares the outcomes with the executions and returns the violations.
func (l *ledger) check(executions map[string]int) []Violation {
	var violations []Violation
	for _, each := range l.requests() {
		violations = append(violations, l.checkRuns(each, executions[each.mark])...)
		for _, sent := range l.attempts[each] {
			violations = append(violations, checkAnswer(sent)...)
		}
	}
	return violations
}

// checkRuns compares the verdicts on all attempts of one request with its executions.
func (l *ledger) checkRuns(of *request, runs int) []Violation {
	var violations []Violation
	notRun, ran, history := 0, 0, ""
	for _, sent := range l.attempts[of] {
		switch sent.verdict {
		case verdict.NotRun.String():
			notRun++
		case verdict.Ran.String():
			ran++
		}
	}
	for _, sent := range l.attempts[of] {
		history += fmt.Sprintf("; %v to %v: %d %s %s", sent.began.Sub(epoch), sent.ended.Sub(epoch), sent.status, sent.verdict, sent.code)
	}
	mayRun := len(l.attempts[of]) - notRun
	summary := fmt.Sprintf("request %d (%s, key %q): %d attempts, %d with verdict not run, %d with verdict ran; it ran %d times%s",
		of.number, of.kind, of.key, len(l.attempts[of]), notRun, ran, runs, history)
	bound := mayRun
	switch {
	case of.isClaimed():
		bound = min(mayRun, 1)
	case !of.runsAtMostOnce():
		bound = mayRun * maximumGatewayAttempts
	}
	switch {
	case runs > 0 && mayRun == 0:
		violations = append(violations, Violation{FalseNotRun, summary})
	case runs > bound && !of.runsAtMostOnce():
		violations = append(violations, Violation{RepeatedTooOften, summary})
	case runs > bound:
		violations = append(violations, Violation{RunTwice, summary})
	}
	if runs > 0 && mayRun > 0 && of.isClaimed() && l.deniesEarlierRun(of) {
		violations = append(violations, Violation{FalseNotRun, summary + ", before an attempt with verdict not run"})
	}
	if ran > 0 && runs == 0 {
		violations = append(violations, Violation{FalseRan, summary})
	}
	return violations
}

// deniesEarlierRun reports whether an attempt got the verdict "not run" although all attempts that may have run had
// ended before it began. For a request with an idempotency key, the verdict also covers the earlier attempts.
func (l *ledger) deniesEarlierRun(of *request) bool {
	var last time.Time // end of the last attempt that may have run
	for _, sent := range l.attempts[of] {
		if sent.verdict != verdict.NotRun.String() && sent.ended.After(last) {
			last = sent.ended
		}
	}
	return slices.ContainsFunc(l.attempts[of], func(sent *attempt) bool {
		return sent.verdict == verdict.NotRun.String() && sent.began.After(last)
	})
}

// checkAnswer compares the text of one response with the expected text.
func checkAnswer(sent *attempt) []Violation {
	of := sent.request
	what := fmt.Sprintf("request %d (%s): got %q, expected %q", of.number, of.kind, sent.text, of.expected)
	switch {
	case sent.text == of.expected:
		return nil
	case !strings.HasPrefix(of.expected, sent.text):
		return []Violation{{MixedAnswer, what}}
	case sent.complete:
		return []Violation{{ShortAnswer, what}}
	default:
		return nil
	}
}
