package check

import (
	"slices"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

const (
	// crashPart is the prefix of the IDs of parts that crash each back end.
	crashPart = "dead"
	// partCrashesAllowed is how many back ends may crash under one part of prompts, partRequestsAllowed how many requests with
	// it may reach back ends after that.
	partCrashesAllowed  = 5
	partRequestsAllowed = 3
	// minSoundPrompts is the least number of sound prompts with the same first part, and of other streams, whose served shares are
	// compared.
	minSoundPrompts = 20
)

// deadlyPartOf returns the part of a request's prompt that crashes back ends; empty for none.
func deadlyPartOf(sending history.Sending) string {
	index := slices.IndexFunc(sending.SharedParts, func(part string) bool { return strings.HasPrefix(part, crashPart) })
	if index < 0 {
		return ""
	}
	return sending.SharedParts[index]
}

// partCrashTimes returns when back ends crashed under each deadly part, in order.
func partCrashTimes(recorded *history.History) map[string][]time.Duration {
	sent := sendingsByID(recorded)
	crashes := map[string][]time.Duration{}
	for _, arrival := range recorded.Arrivals {
		if part := deadlyPartOf(sent[arrival.ID]); part != "" && arrival.Crashed {
			crashes[part] = append(crashes[part], arrival.EndedAt)
		}
	}
	for _, times := range crashes {
		slices.Sort(times)
	}
	return crashes
}

// overPartLimit finds parts of prompts with which too many requests reach back ends after the fifth crash. Requests count if their relay was
// in contact with the controllers and the contact time had passed since.
func overPartLimit(recorded *history.History) []Finding {
	sent, crashes, late := sendingsByID(recorded), partCrashTimes(recorded), map[string]int{}
	var findings []Finding
	for _, arrival := range recorded.Arrivals {
		part := deadlyPartOf(sent[arrival.ID])
		if part == "" || len(crashes[part]) < partCrashesAllowed {
			continue
		}
		isLate := arrival.At > crashes[part][partCrashesAllowed-1]+recorded.Bounds.Contact
		if !isLate || !recorded.IsInContact(arrival.Machine, arrival.At) {
			continue
		}
		if late[part]++; late[part] == partRequestsAllowed+1 {
			findings = append(findings, newFinding(Budget, arrival.At, "request %s with part %s, under which %d back ends ended, reached %s: %d such requests later than %s after the fifth",
				arrival.ID, part, len(crashes[part]), arrival.Replica, late[part], recorded.Bounds.Contact))
		}
	}
	return findings
}

// lostSoundPrompts finds that sound prompts with the same first part as prompts that crash back ends are served less than half as
// often as other streams of the same time, from twice the contact time after the fifth crash on.
func lostSoundPrompts(recorded *history.History) []Finding {
	var findings []Finding
	for part, crashes := range partCrashTimes(recorded) {
		if counts := countSoundPrompts(recorded, part, crashes[min(len(crashes), partCrashesAllowed)-1]+2*recorded.Bounds.Contact); counts.breaksLost() {
			findings = append(findings, newFinding(Lost, crashes[0], "sound prompts with the same first part as those with part %s: %s; other streams: %s", part, counts.sound, counts.others))
		}
	}
	return findings
}

// promptCounts counts the first tries of sound prompts with one first part, and of streams with no shared parts.
type promptCounts struct{ sound, others Share }

// breaksLost reports whether the sound prompts are served less than half as often as the others.
func (c promptCounts) breaksLost() bool {
	return c.sound.All >= minSoundPrompts && c.others.All >= minSoundPrompts && 2*c.sound.Served*c.others.All < c.others.Served*c.sound.All
}

// countSoundPrompts counts the streams that were sent after a time to relays in contact with the controllers.
func countSoundPrompts(recorded *history.History, part string, after time.Duration) promptCounts {
	first, crashing := firstPartsOf(recorded, part), crashingContents(recorded)
	var counts promptCounts
	for _, sending := range recorded.Sendings {
		hasLeft := sending.ClosedAt > 0 || sending.LeftAt > 0
		isResumed := sending.Resumes != ""
		if sending.SentAt < after || !recorded.Routes[sending.Route].Stream || hasLeft || isResumed || crashing[sending.Content] || !recorded.IsInContact(sending.Front, sending.SentAt) {
			continue
		}
		switch {
		case deadlyPartOf(sending) != "":
		case len(sending.SharedParts) == 0:
			counts.others = counts.others.with(sending.Succeeded())
		case first[sending.SharedParts[0]]:
			counts.sound = counts.sound.with(sending.Succeeded())
		}
	}
	return counts
}

// firstPartsOf returns the first parts of the prompts with a deadly part.
func firstPartsOf(recorded *history.History, part string) map[string]bool {
	first := map[string]bool{}
	for _, sending := range recorded.Sendings {
		if deadlyPartOf(sending) == part {
			first[sending.SharedParts[0]] = true
		}
	}
	return first
}
