package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A relay dies with a slot: the lease must end by itself, at the latest 5 s after the grant, and free the slot.
func TestLeaseOutlivesItsHolder(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	require.Equal(t, maximumLease, queue.Submit(settled, newTestRequest(1)).Lease)
	waiting := newTestRequest(1)
	waiting.ID.Relay++
	require.Equal(t, Queued, queue.Submit(settled, waiting).Outcome)
	require.Empty(t, queue.Advance(settled))
	at, needed := queue.NextAt()
	require.True(t, needed)
	require.Equal(t, settled+relaySilence, at, "a relay that reports nothing for 2 s loses its grants")
	require.Empty(t, queue.Advance(at-1))
	decided := queue.Advance(at)
	require.Len(t, decided, 1)
	require.Equal(t, Granted, decided[0].Outcome)
	require.EqualValues(t, 1, queue.ExpiredLeases())

	short := with(newTestRequest(2), func(r *Request) { r.DeadlineAt = at + 100*time.Millisecond })
	queue.SetBackEnds(at, []BackEnd{{Hash: 1, Slots: 2}})
	require.Equal(t, 100*time.Millisecond, queue.Submit(at, short).Lease, "a lease ends with the deadline")
	queue.Advance(at + 100*time.Millisecond)
	require.Equal(t, 1, queue.HeldCount())
}

// The grant's answer was lost and its relay gave up: its reports go on, and the slot must be free when the lease ends.
func TestGrantThatNoReportListsEndsWithItsLease(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(5))
	for sequence := uint64(1); sequence < 20; sequence++ {
		now := settled + time.Duration(sequence)*250*time.Millisecond
		queue.ApplyReport(now, Report{Relay: relay, Sequence: sequence, AnsweredUpTo: 4})
		queue.Advance(now)
		require.Equal(t, 1, queue.HeldCount())
	}
	queue.Advance(settled + maximumLease)
	require.Zero(t, queue.HeldCount())
}

// Reports keep the grants that they list beyond their lease, and end the others that were answered.
func TestReportsConfirmAndEndGrants(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 4})
	for number := uint64(1); number <= 3; number++ {
		queue.Submit(settled, newTestRequest(number))
	}
	now := settled + 100*time.Millisecond
	report := Report{Relay: relay, Sequence: 2, AnsweredUpTo: 2, Held: []Held{{Number: 1, BackEnd: 1}}}
	queue.ApplyReport(now, report)
	require.Contains(t, queue.grants.byID, RequestID{relay, 1}, "listed")
	require.NotContains(t, queue.grants.byID, RequestID{relay, 2}, "not listed any more")
	require.Contains(t, queue.grants.byID, RequestID{relay, 3}, "its answer is on its way")
	queue.ApplyReport(now, Report{Relay: relay, Sequence: 1, AnsweredUpTo: 3})
	require.Equal(t, 2, queue.HeldCount(), "an older report that arrives later changes nothing")
	for range 50 {
		now += 250 * time.Millisecond
		report.Sequence++
		queue.ApplyReport(now, report)
		queue.Advance(now)
	}
	require.Equal(t, 1, queue.HeldCount())
	report.Sequence++
	report.Held, report.Released = nil, map[uint64]Result{1: {ServiceTime: 20 * time.Millisecond}}
	queue.ApplyReport(now, report)
	require.Zero(t, queue.HeldCount())
	require.Equal(t, 20*time.Millisecond, queue.serviceTime.mean)
}

// All reports of a relay are lost for 2 s: it loses its grants, and its next report repairs the state.
func TestNextReportRepairsWhatLostReportsChanged(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	now := settled + relaySilence
	queue.Advance(now)
	require.Zero(t, queue.HeldCount())
	queue.ApplyReport(now, Report{Relay: relay, Sequence: 9, AnsweredUpTo: 1, Held: []Held{{Number: 1, BackEnd: 1}}})
	require.Equal(t, 1, queue.HeldCount())
	require.Equal(t, Queued, queue.Submit(now, newTestRequest(2)).Outcome)
}

// A new owner does not know the slots that other relays hold: it must grant only half of the slots until they have
// reported, and none that they reported.
func TestNewOwnerWhileOtherRelaysHoldSlots(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 6}, BackEnd{Hash: 2, Slots: 6})
	queue.Advance(settled)
	queue.BeginOwnership(settled)
	granted := 0
	for number := uint64(1); number <= 20; number++ {
		if queue.Submit(settled, newTestRequest(number)).Outcome == Granted {
			granted++
		}
	}
	require.Equal(t, 6, granted)
	report := Report{Relay: relay + 1, Sequence: 1, AnsweredUpTo: 5}
	for number := uint64(1); number <= 5; number++ {
		report.Held = append(report.Held, Held{Number: number, BackEnd: 1 + number%2})
	}
	queue.ApplyReport(settled+100*time.Millisecond, report)
	require.Empty(t, queue.Advance(settled+100*time.Millisecond))
	at, needed := queue.NextAt()
	require.True(t, needed)
	require.Equal(t, settled+takeoverPeriod, at)
	require.Len(t, queue.Advance(at), 1, "12 slots, of which 6 were granted and 5 reported")
}

// The owner did not answer in time and a relay got its slot from the deputy: the owner must not grant it a second one.
func TestRequestThatAnotherOwnerHasServedLeavesTheQueue(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1}, BackEnd{Hash: 2, Slots: 1})
	require.EqualValues(t, 1, queue.Submit(settled, newTestRequest(1)).BackEnd)
	queue.Submit(settled, newTestRequest(2))
	for number := uint64(3); number <= 5; number++ {
		require.Equal(t, Queued, queue.Submit(settled, newTestRequest(number)).Outcome)
	}
	queue.ApplyReport(settled, Report{Relay: relay, Sequence: 1, AnsweredUpTo: 4, Held: []Held{{1, 3}, {2, 2}, {3, 4}}})
	require.Equal(t, 1, queue.QueuedCount(), "the first has its slot elsewhere, the second had another final answer")
	require.Equal(t, map[uint64]int{2: 1, 3: 1, 4: 1}, queue.grants.byBackEnd, "the reported back end counts")
	decided := queue.Advance(settled)
	require.Len(t, decided, 1)
	require.EqualValues(t, 5, decided[0].ID.Number)
	require.Equal(t, ReasonNotAwaited, queue.Submit(settled, newTestRequest(4)).Reason)

	queue.Submit(settled, newTestRequest(6))
	queue.ApplyReport(settled, Report{Relay: relay, Sequence: 2, AnsweredUpTo: 4, Released: map[uint64]Result{6: {}}})
	require.Zero(t, queue.QueuedCount())
	require.Equal(t, ReasonNotAwaited, queue.Submit(settled, newTestRequest(6)).Reason, "it was used and released elsewhere")
}

// A deputy must know the service time of requests that began and ended between two reports.
func TestDeputyLearnsFromReports(t *testing.T) {
	deputy := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	report := Report{Relay: relay, Sequence: 1, AnsweredUpTo: 1, Released: map[uint64]Result{1: {ServiceTime: 400 * time.Millisecond}}}
	deputy.ApplyReport(settled, report)
	report.Sequence++
	deputy.ApplyReport(settled, report)
	require.Equal(t, 400*time.Millisecond, deputy.serviceTime.mean)
	require.Equal(t, 1, deputy.serviceTime.samples, "a repeated release counts once")
}

// The configuration moves a tenant to another level while its requests wait and hold slots. Queued requests keep their
// level, and no flow may stay behind.
func TestConfigurationChangesLevelsMeanwhile(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	queue.Submit(settled, newTestRequest(1))
	queue.Submit(settled, with(newTestRequest(2), func(r *Request) { r.Level = 1 }))
	queue.Submit(settled, with(newTestRequest(3), func(r *Request) { r.Level = 99 }))
	queue.Submit(settled, with(newTestRequest(4), func(r *Request) { r.Level = 0 }))
	queue.Submit(settled, with(newTestRequest(5), func(r *Request) { r.Level = -1; r.TargetAt -= time.Second }))
	require.Equal(t, []uint64{5, 4, 2, 3}, grantedInTurn(t, queue, settled+50*time.Millisecond, 1))
	require.Zero(t, queue.waiting.flows)
}

// Back ends leave the list, shrink and return while they hold slots: no slot may be granted that is still in use.
func TestBackEndsChangeMeanwhile(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 2})
	queue.Submit(settled, newTestRequest(1))
	queue.Submit(settled, newTestRequest(2))
	queue.SetBackEnds(settled, nil)
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(3)).Outcome)
	queue.SetBackEnds(settled, []BackEnd{{Hash: 1, Slots: 1}})
	require.Empty(t, queue.Advance(settled))
	queue.Release(settled, RequestID{relay, 1}, Result{})
	require.Empty(t, queue.Advance(settled), "one slot is listed and one in use")
	queue.Release(settled, RequestID{relay, 2}, Result{})
	require.Len(t, queue.Advance(settled), 1)
}

// The report that released a slot is lost while an older request of the relay is queued at full load. The next report must
// free the slot: the older request keeps AnsweredUpTo below it until it gets a slot itself.
func TestLostReleaseBehindAQueuedRequest(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 1})
	other := with(newTestRequest(1), func(r *Request) { r.ID.Relay++ })
	require.Equal(t, Granted, queue.Submit(settled, other).Outcome)
	require.Equal(t, Queued, queue.Submit(settled, with(newTestRequest(1), func(r *Request) { r.Level = 1 })).Outcome)
	require.Equal(t, Queued, queue.Submit(settled, newTestRequest(2)).Outcome)
	queue.Release(settled, other.ID, Result{ServiceTime: 50 * time.Millisecond})
	decided := queue.Advance(settled)
	require.Len(t, decided, 1)
	require.EqualValues(t, 2, decided[0].ID.Number)

	now := settled + 250*time.Millisecond
	queue.ApplyReport(now, Report{Relay: relay, Sequence: 1})
	require.Equal(t, 1, queue.HeldCount(), "the grant is on its way")
	queue.ApplyReport(now, Report{Relay: relay, Sequence: 2, Held: []Held{{Number: 2, BackEnd: 1}}})
	require.Empty(t, queue.Advance(now))
	now += 250 * time.Millisecond // the report with sequence 3 is lost
	queue.ApplyReport(now, Report{Relay: relay, Sequence: 4})
	decided = queue.Advance(now)
	require.Len(t, decided, 1)
	require.Equal(t, Granted, decided[0].Outcome)
	require.EqualValues(t, 1, decided[0].ID.Number)
}

// A relay holds more slots than a report lists. A slot that moved behind the end of the list is still in use.
func TestSlotsBehindTheEndOfACutReportStayInUse(t *testing.T) {
	queue := newTestQueue(nil, BackEnd{Hash: 1, Slots: 9})
	queue.ApplyReport(settled, Report{Relay: relay, Sequence: 1, Held: []Held{{2, 1}, {3, 1}, {4, 1}}, IsCut: true})
	queue.ApplyReport(settled, Report{Relay: relay, Sequence: 2, Held: []Held{{1, 1}, {3, 1}}, IsCut: true})
	require.NotContains(t, queue.grants.byID, RequestID{relay, 2}, "it would be listed before 3")
	require.Contains(t, queue.grants.byID, RequestID{relay, 4})
	queue.ApplyReport(settled, Report{Relay: relay, Sequence: 3, Held: []Held{{1, 1}, {3, 1}}})
	require.NotContains(t, queue.grants.byID, RequestID{relay, 4})
}
