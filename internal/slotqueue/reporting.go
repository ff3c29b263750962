package slotqueue

import (
	"maps"
	"slices"
	"time"
)

// ApplyReport applies the report of one relay. A report that is older than one applied before is ignored.
func (q *Queue) ApplyReport(now time.Duration, report Report) {
	q.setNow(now)
	if !q.relays.admits(q.now, report.Relay) {
		return
	}
	relay := q.relays.state(report.Relay)
	if relay.hasReported && report.Sequence <= relay.sequence {
		return
	}
	relay.sequence, relay.hasReported, relay.reportedAt = report.Sequence, true, q.now
	q.applyReleased(relay, report)
	listed := q.applyHeld(relay, report)
	q.endUnlisted(relay, report, listed)
	relay.answeredUpTo = max(relay.answeredUpTo, report.AnsweredUpTo)
}

// applyReleased releases the slots that a report lists as released. A deputy also learns from the results of slots that
// no earlier report has listed, because they were used between two reports.
func (q *Queue) applyReleased(relay *relayState, report Report) {
	for _, number := range slices.Sorted(maps.Keys(report.Released)) {
		q.withdraw(relay.queued[number])
		if relay.held[number] == nil && number > relay.answeredUpTo {
			q.recordResult(report.Released[number])
			continue
		}
		q.Release(q.now, RequestID{Relay: report.Relay, Number: number}, report.Released[number])
	}
}

// applyHeld records the slots that a report lists as held, and returns their numbers. A request that is still queued
// here got its slot from another owner.
func (q *Queue) applyHeld(relay *relayState, report Report) map[uint64]bool {
	listed := make(map[uint64]bool, len(report.Held))
	for _, held := range report.Held {
		if _, isReleased := report.Released[held.Number]; isReleased {
			continue
		}
		listed[held.Number] = true
		q.withdraw(relay.queued[held.Number])
		q.applyHeldSlot(relay, report.Relay, held)
	}
	return listed
}

// withdraw removes a queued request that its relay no longer awaits, if there is one. Late repetitions are not queued
// again.
func (q *Queue) withdraw(queued *entry) {
	if queued == nil {
		return
	}
	q.dequeue(queued)
	q.finalDecisions.add(Decision{ID: queued.ID, Outcome: Refused, Reason: ReasonNotAwaited}, queued.DeadlineAt)
}

func (q *Queue) applyHeldSlot(relay *relayState, relayID uint64, held Held) {
	known := relay.held[held.Number]
	if known == nil && q.grants.isFull() {
		return
	}
	if known == nil {
		q.hold(&grant{
			id: RequestID{Relay: relayID, Number: held.Number}, backEnd: held.BackEnd, since: q.now,
			leaseUntil: q.now + maximumLease, confirmedAt: q.now,
		})
		return
	}
	if known.backEnd != held.BackEnd {
		q.grants.move(known, held.BackEnd)
		q.mayGrant = true
	}
}

// showsReleased reports whether a report that does not list a grant shows that its slot is free. A slot that was listed
// before is, also while an older request of the relay holds AnsweredUpTo down.
func (r *Report) showsReleased(unlisted *grant) bool {
	number := unlisted.id.Number
	isCovered := !r.IsCut || len(r.Held) > 0 && number < r.Held[len(r.Held)-1].Number
	return number <= r.AnsweredUpTo || unlisted.isReported && isCovered
}

// endUnlisted ends the grants of a relay that its report no longer lists, drops its queued requests that have had their
// final answer elsewhere, and confirms its other grants.
func (q *Queue) endUnlisted(relay *relayState, report Report, listed map[uint64]bool) {
	for _, number := range slices.Sorted(maps.Keys(relay.held)) {
		if listed[number] || !report.showsReleased(relay.held[number]) {
			q.grants.confirm(q.now, relay.held[number], listed[number])
			continue
		}
		q.endGrant(relay.held[number])
	}
	for _, number := range slices.Sorted(maps.Keys(relay.queued)) {
		if number <= report.AnsweredUpTo {
			q.withdraw(relay.queued[number])
		}
	}
}
