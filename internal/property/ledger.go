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

// epoch is when a bubble's time begins; histories count from it.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// ledger keeps what callers were told. It is safe for concurrent use.
type ledger struct {
	mutex    sync.Mutex
	attempts map[*request][]*attempt
}

func newLedger() *ledger { return &ledger{attempts: map[*request][]*attempt{}} }

func (l *ledger) add(told *attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts[told.request] = append(l.attempts[told.request], told)
}

// requests lists the requests in their order.
func (l *ledger) requests() []*request {
	listed := make([]*request, 0, len(l.attempts))
	for each := range l.attempts {
		listed = append(listed, each)
	}
	slices.SortFunc(listed, func(a, b *request) int { return a.number - b.number })
	return listed
}

// check holds what callers were told against what ran, and returns what does not agree.
func (l *ledger) check(executions map[string]int) []Violation {
	var found []Violation
	for _, each := range l.requests() {
		found = append(found, l.checkRuns(each, executions[each.mark])...)
		for _, told := range l.attempts[each] {
			found = append(found, checkAnswer(told)...)
		}
	}
	return found
}

// checkRuns holds the verdicts on all sendings of one request against its executions.
func (l *ledger) checkRuns(sent *request, runs int) []Violation {
	var found []Violation
	notRun, ran, history := 0, 0, ""
	for _, told := range l.attempts[sent] {
		switch told.verdict {
		case verdict.NotRun.String():
			notRun++
		case verdict.Ran.String():
			ran++
		}
	}
	for _, told := range l.attempts[sent] {
		history += fmt.Sprintf("; %v to %v: %d %s %s", told.began.Sub(epoch), told.ended.Sub(epoch), told.status, told.verdict, told.code)
	}
	mayRun := len(l.attempts[sent]) - notRun
	summary := fmt.Sprintf("request %d (%s, key %q): %d sendings, %d told not run, %d told ran; it ran %d times%s",
		sent.number, sent.kind, sent.key, len(l.attempts[sent]), notRun, ran, runs, history)
	bound := mayRun
	switch {
	case sent.isClaimed():
		bound = min(mayRun, 1)
	case !sent.runsAtMostOnce():
		bound = mayRun * maximumGatewayAttempts
	}
	switch {
	case runs > 0 && mayRun == 0:
		found = append(found, Violation{FalseNotRun, summary})
	case runs > bound && !sent.runsAtMostOnce():
		found = append(found, Violation{RepeatedTooOften, summary})
	case runs > bound:
		found = append(found, Violation{RunTwice, summary})
	}
	if runs > 0 && mayRun > 0 && sent.isClaimed() && l.deniesEarlierRun(sent) {
		found = append(found, Violation{FalseNotRun, summary + ", before one that was told not run"})
	}
	if ran > 0 && runs == 0 {
		found = append(found, Violation{FalseRan, summary})
	}
	return found
}

// deniesEarlierRun tells that a sending was told not run although all that may have run had ended
// before it began. Under a key the verdict covers the earlier sendings too.
func (l *ledger) deniesEarlierRun(of *request) bool {
	var last time.Time // end of the last sending that may have run
	for _, told := range l.attempts[of] {
		if told.verdict != verdict.NotRun.String() && told.ended.After(last) {
			last = told.ended
		}
	}
	return slices.ContainsFunc(l.attempts[of], func(told *attempt) bool {
		return told.verdict == verdict.NotRun.String() && told.began.After(last)
	})
}

// checkAnswer holds one answer against the request's own.
func checkAnswer(told *attempt) []Violation {
	of := told.request
	what := fmt.Sprintf("request %d (%s): got %q of %q", of.number, of.kind, told.text, of.expected)
	switch {
	case told.text == of.expected:
		return nil
	case !strings.HasPrefix(of.expected, told.text):
		return []Violation{{MixedAnswer, what}}
	case told.complete:
		return []Violation{{ShortAnswer, what}}
	default:
		return nil
	}
}
