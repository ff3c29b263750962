package check

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// crashesAllowed is how many back ends one request may crash, retriesAllowed how many further back ends it may reach
	// after that.
	crashesAllowed = 3
	retriesAllowed = 3
	// toleratedOverAttempts is how many requests may run on more back ends than their route allows.
	toleratedOverAttempts = 3
)

// overCrashLimit finds requests that reach further back ends although three have crashed under them.
func overCrashLimit(seen *history.History) []Finding {
	contents := map[string]string{}
	for _, sending := range seen.Sendings {
		contents[sending.ID] = sending.Content
	}
	ended, later, third := map[string]int{}, map[string]int{}, map[string]time.Duration{}
	var findings []Finding
	for _, arrival := range seen.Arrivals {
		content := contents[arrival.ID]
		if content == "" {
			continue
		}
		since, known := third[content]
		if known && arrival.At > since+seen.Bounds.Contact && seen.IsInContact(arrival.Machine, arrival.At) {
			later[content]++
			if later[content] == retriesAllowed+1 {
				findings = append(findings, newFinding(Budget, arrival.At, "request %s, under which %d back ends had ended, reached %s: retry %d", arrival.ID, ended[content], arrival.Replica, later[content]))
			}
		}
		if arrival.Crashed {
			ended[content]++
			if ended[content] == crashesAllowed {
				third[content] = arrival.EndedAt
			}
		}
	}
	return findings
}

// overAttemptLimit finds requests that ran on more back ends than their route allows. Back ends that crashed under the
// request do not count.
func overAttemptLimit(seen *history.History) []Finding {
	arrivals := arrivalsByID(seen)
	var findings []Finding
	over := 0
	for _, sending := range seen.Sendings {
		ran := 0
		for _, run := range runsOf(arrivals[sending.ID]) {
			if !run.Crashed {
				ran++
			}
		}
		if most := seen.Routes[sending.Route].MaxAttempts; most > 0 && ran > most {
			over++
			if over == toleratedOverAttempts+1 {
				findings = append(findings, newFinding(Budget, sending.SentAt, "request %s ran on %d back ends, its route allows %d; %d such requests", sending.ID, ran, most, over))
			}
		}
	}
	return findings
}

// overRetryBudget finds time windows with more attempts beyond the first of each request than the retry budget allows.
func overRetryBudget(seen *history.History) []Finding {
	window := seen.Bounds.RetryWindow
	if window <= 0 {
		return nil
	}
	first := map[string]bool{}
	var again []time.Duration
	for _, arrival := range seen.Arrivals {
		if arrival.ReadOnly {
			continue
		}
		if first[arrival.ID] {
			again = append(again, arrival.At)
		}
		first[arrival.ID] = true
	}
	for last, at := range again {
		begin := last
		for begin > 0 && again[begin-1] > at-window {
			begin--
		}
		most := 0
		for _, since := range []time.Duration{at - window, at - window - window/2, at - 2*window} {
			most = max(most, sentBetween(seen, since, since+window))
		}
		allowed := seen.Bounds.RetryRatio*float64(most) + seen.Bounds.RetrySlack
		if count := last - begin + 1; float64(count) > allowed {
			return []Finding{newFinding(Budget, at, "%d sendings beyond the first within %s, %.1f are allowed", count, window, allowed)}
		}
	}
	return nil
}

// sentBetween counts the attempts that clients sent after from and not later than to.
func sentBetween(seen *history.History, from, to time.Duration) int {
	count := 0
	for _, sending := range seen.Sendings {
		if sending.SentAt > from && sending.SentAt <= to {
			count++
		}
	}
	return count
}
