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

// overCrashLimit finds requests that reach more than retriesAllowed further back ends after three have crashed under
// them. An arrival counts if its relay was in contact with the controllers and Bounds.Contact had passed since the
// third crash, so that the relay must know of it.
func overCrashLimit(recorded *history.History) []Finding {
	contents := map[string]string{}
	for _, sending := range recorded.Sendings {
		contents[sending.ID] = sending.Content
	}
	crashCounts, retryCounts, thirdCrashAt := map[string]int{}, map[string]int{}, map[string]time.Duration{}
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		content := contents[arrival.ID]
		if content == "" {
			continue
		}
		since, known := thirdCrashAt[content]
		if known && arrival.At > since+recorded.Bounds.Contact && recorded.IsInContact(arrival.Machine, arrival.At) {
			retryCounts[content]++
			if retryCounts[content] == retriesAllowed+1 {
				findings = append(findings, newFinding(Budget, arrival.At, "request %s, under which %d back ends had ended, reached %s: retry %d", arrival.ID, crashCounts[content], arrival.Replica, retryCounts[content]))
			}
		}
		if arrival.Crashed {
			crashCounts[content]++
			if crashCounts[content] == crashesAllowed {
				thirdCrashAt[content] = arrival.EndedAt
			}
		}
	}
	return findings
}

// overAttemptLimit finds requests that ran on more back ends than their route allows. Back ends that crashed under the
// request do not count.
func overAttemptLimit(recorded *history.History) []Finding {
	arrivals := arrivalsByID(recorded)
	var findings []Finding
	overCount := 0
	for _, sending := range recorded.Sendings {
		ran := 0
		for _, run := range runsOf(arrivals[sending.ID]) {
			if !run.Crashed {
				ran++
			}
		}
		if most := recorded.Routes[sending.Route].MaxAttempts; most > 0 && ran > most {
			overCount++
			if overCount == toleratedOverAttempts+1 {
				findings = append(findings, newFinding(Budget, sending.SentAt, "request %s ran on %d back ends, its route allows %d; %d such requests", sending.ID, ran, most, overCount))
			}
		}
	}
	return findings
}

// overRetryBudget finds the first time window in which more attempts beyond the first of their request reached back
// ends than the retry budget allows.
func overRetryBudget(recorded *history.History) []Finding {
	window := recorded.Bounds.RetryWindow
	if window <= 0 {
		return nil
	}
	reached := map[string]bool{}
	var retriedAt []time.Duration
	for _, arrival := range recorded.Arrivals {
		if arrival.ReadOnly {
			continue
		}
		if reached[arrival.ID] {
			retriedAt = append(retriedAt, arrival.At)
		}
		reached[arrival.ID] = true
	}
	for last, at := range retriedAt {
		begin := last
		for begin > 0 && retriedAt[begin-1] > at-window {
			begin--
		}
		most := 0
		for _, since := range []time.Duration{at - window, at - window - window/2, at - 2*window} {
			most = max(most, sentBetween(recorded, since, since+window))
		}
		allowed := recorded.Bounds.RetryRatio*float64(most) + recorded.Bounds.RetrySlack
		if count := last - begin + 1; float64(count) > allowed {
			return []Finding{newFinding(Budget, at, "%d sendings beyond the first within %s, %.1f are allowed", count, window, allowed)}
		}
	}
	return nil
}

// sentBetween counts the attempts that clients sent after from and not later than to.
func sentBetween(recorded *history.History, from, to time.Duration) int {
	count := 0
	for _, sending := range recorded.Sendings {
		if sending.SentAt > from && sending.SentAt <= to {
			count++
		}
	}
	return count
}
