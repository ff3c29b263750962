package quarantine

import "time"

const (
	// PartThreshold is the number of replicas that must crash under a part before it is quarantined. Requests share parts, so
	// that it is higher than for requests.
	PartThreshold = 3
	// SoundPartThreshold is the same for a part with which requests ran soundly before its first crash. The users allow
	// five crashes.
	SoundPartThreshold = 5
	// hearingTime is how long a part must have had enough crashes before it is quarantined. Meanwhile all nodes are asked
	// whether requests with it run soundly.
	hearingTime = 1200 * time.Millisecond
	// hearingRuns is the number of sound runs with other parts that must be reported meanwhile before a part is quarantined that
	// was sound before. While no replica serves, nothing could clear it.
	hearingRuns = 10
)

// PartHearing decides on the leader which suspected parts are quarantined. It exists only there; a new leader hears all nodes
// again. Times are durations since an origin and must not decrease.
type PartHearing struct {
	hearings map[Signature]*hearing
	// soundRuns counts the sound runs that nodes have reported.
	soundRuns uint64
}

// hearing is what is known about one suspected part.
type hearing struct {
	// firstCrashAt is when the first of its crashes was observed.
	firstCrashAt time.Duration
	// wasSound is true if a request with the part ran soundly before the first crash.
	wasSound bool
	// isOpen is true while the part has enough crashes, since openedAt, when soundRunsAtOpening sound runs were reported.
	isOpen             bool
	openedAt           time.Duration
	soundRunsAtOpening uint64
}

// NewPartHearing returns the PartHearing of a new leader.
func NewPartHearing() *PartHearing { return &PartHearing{hearings: map[Signature]*hearing{}} }

// RecordSoundRuns records that nodes have reported this number of sound runs.
func (h *PartHearing) RecordSoundRuns(count uint32) { h.soundRuns += uint64(count) }

// RecordSoundPart records that a request with a suspected part ran soundly until the given time ago. It reports whether that clears
// the part: the run ended after its first crash.
func (h *PartHearing) RecordSoundPart(now time.Duration, part Signature, ago time.Duration) (isCleared bool) {
	heard := h.hearings[part]
	if heard == nil {
		return false
	}
	if now-ago > heard.firstCrashAt {
		return true
	}
	heard.wasSound = true
	return false
}

// Observe updates the hearings from the ledger, and returns the parts that are to be quarantined now: of those that were heard
// long enough, the ones with the most crashes that no quarantined part explains. Others may follow once these are.
func (h *PartHearing) Observe(now time.Duration, ledger *Ledger) []Signature {
	h.removeReleased(ledger)
	blame := newBlame(ledger)
	var guilty []Signature
	highest := 0
	for _, suspect := range ledger.Suspects() {
		if !suspect.Signature.IsPart() || suspect.IsQuarantined() {
			continue
		}
		crashes := blame.crashes(suspect)
		if !h.update(now, suspect.Signature, crashes) || crashes < highest {
			continue
		}
		if crashes > highest {
			highest, guilty = crashes, nil
		}
		guilty = append(guilty, suspect.Signature)
	}
	return guilty
}

// update updates the hearing of a part with the given number of crashes. It reports whether the part was heard long enough.
func (h *PartHearing) update(now time.Duration, part Signature, crashes int) bool {
	heard := h.hearings[part]
	if heard == nil {
		heard = &hearing{firstCrashAt: now}
		h.hearings[part] = heard
	}
	threshold := PartThreshold
	if heard.wasSound {
		threshold = SoundPartThreshold
	}
	if crashes < threshold {
		heard.isOpen = false
		return false
	}
	if !heard.isOpen {
		heard.isOpen, heard.openedAt, heard.soundRunsAtOpening = true, now, h.soundRuns
	}
	hasOpportunity := !heard.wasSound || h.soundRuns-heard.soundRunsAtOpening >= hearingRuns
	return hasOpportunity && now-heard.openedAt >= hearingTime
}

// removeReleased removes the hearings of parts that the ledger does not contain any more.
func (h *PartHearing) removeReleased(ledger *Ledger) {
	for part := range h.hearings {
		if ledger.Suspect(part) == nil {
			delete(h.hearings, part)
		}
	}
}
