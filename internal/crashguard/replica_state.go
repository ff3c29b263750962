package crashguard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// replicaState is the state of a back end with broken runs.
type replicaState struct {
	// brokenRuns are the broken runs that have not been reported, oldest first.
	brokenRuns []brokenRun
	// probeDone is closed when the running probe has ended; nil if none is running.
	probeDone chan struct{}
	// servingAt is when the back end was last found serving after a broken run.
	servingAt time.Duration
	// crashed is true if the back end is known to have crashed, since crashedAt.
	crashed   bool
	crashedAt time.Duration
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	content quarantine.Content
	at      time.Duration
}

// maximumBrokenRuns limits the broken runs stored per back end.
const maximumBrokenRuns = 256

// RecordBrokenRun records that the connection to a back end broke while the back end ran a request, and checks whether the
// back end has crashed. With a positive wait it blocks until a crash has been reported to the leader, or for at most that
// duration. It reports whether the request is quarantined then.
func (g *Guard) RecordBrokenRun(content quarantine.Content, replica Replica, wait time.Duration) (quarantined bool) {
	g.mutex.Lock()
	if g.hasRecentSuccess(content.Request) {
		g.mutex.Unlock()
		return false
	}
	now := g.options.Now()
	current := g.recordRun(content, replica.ID, now)
	var reported <-chan struct{}
	switch {
	case current.crashed:
		reported = g.reportBrokenRuns(replica.ID, current)
	case current.probeDone != nil:
		reported = current.probeDone
	case current.servingAt == 0 || now-current.servingAt >= probeCacheTime:
		current.probeDone = make(chan struct{})
		reported = current.probeDone
		go g.probe(replica, current)
	}
	g.mutex.Unlock()
	if reported != nil && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-reported:
		case <-timer.C:
		}
	}
	return g.IsQuarantined(content)
}

// RecordSilentRun records that a back end has sent nothing for a long time while it ran a request. It may have crashed or
// be unreachable, so the run counts only once the back end is known to have crashed.
func (g *Guard) RecordSilentRun(content quarantine.Content, replica string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.hasRecentSuccess(content.Request) {
		return
	}
	if current := g.recordRun(content, replica, g.options.Now()); current.crashed {
		g.reportBrokenRuns(replica, current)
	}
}

// recordRun stores a broken run. The mutex must be held.
func (g *Guard) recordRun(content quarantine.Content, replica string, now time.Duration) *replicaState {
	g.removeStale(now)
	current := g.replicas[replica]
	if current == nil {
		current = &replicaState{}
		g.replicas[replica] = current
	}
	current.brokenRuns = append(current.brokenRuns, brokenRun{content: content, at: now})
	current.brokenRuns = current.brokenRuns[max(len(current.brokenRuns)-maximumBrokenRuns, 0):]
	return current
}

// probe checks whether a back end serves. If nothing serves at its address, it reports the broken runs to the leader.
func (g *Guard) probe(replica Replica, current *replicaState) {
	limited, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	result := g.options.Probe(limited, replica)
	g.mutex.Lock()
	done := current.probeDone
	current.probeDone = nil
	var reported <-chan struct{}
	switch result {
	case ProbeServing:
		current.servingAt = g.options.Now()
	case ProbeGone:
		reported = g.markCrashed(replica.ID, current)
	case ProbeUnclear: // a crash may be detected later
	}
	g.mutex.Unlock()
	if reported != nil {
		<-reported
	}
	close(done)
}

// RecordCrash records that a back end is known to have crashed: nothing, or another incarnation, serves at its address.
func (g *Guard) RecordCrash(replica string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current := g.replicas[replica]
	if current == nil || current.crashed {
		return
	}
	g.markCrashed(replica, current)
}

// markCrashed marks a back end as crashed and reports its broken runs. The returned channel is closed once the report is
// done; it is nil if there is nothing to report. The mutex must be held.
func (g *Guard) markCrashed(replica string, current *replicaState) <-chan struct{} {
	current.crashed, current.crashedAt = true, g.options.Now()
	return g.reportBrokenRuns(replica, current)
}

// reportBrokenRuns queues a report of the broken runs of a crashed back end. The returned channel is closed once the report
// is done; it is nil if there is nothing to report. The mutex must be held.
func (g *Guard) reportBrokenRuns(replica string, current *replicaState) <-chan struct{} {
	now, hash := g.options.Now(), xxhash.Sum64String(replica)
	pending := &report{done: make(chan struct{})}
	reportedParts := map[quarantine.Signature]bool{}
	for _, run := range current.brokenRuns {
		request := run.content.Request
		if now-run.at >= brokenRunRetention || g.hasRecentSuccess(request) {
			continue
		}
		pending.ends = append(pending.ends, &v1.ReplicaEnd{Signature: request[:], Replica: hash})
		g.recordLocalCrash(request, hash, now)
		for _, part := range run.content.Parts {
			if reportedParts[part] {
				continue
			}
			reportedParts[part] = true
			pending.partEnds = append(pending.partEnds, &v1.ReplicaEnd{Signature: part[:], Replica: hash})
			g.parts.recordCrash(now, part, hash)
		}
	}
	current.brokenRuns = nil
	if len(pending.ends) == 0 {
		return nil
	}
	g.options.Observer.ReplicaCrashed(replica, len(pending.ends))
	if len(g.unreported) >= maximumUnreported {
		close(g.unreported[0].done) // the report is dropped; waiting callers use the local state
		g.unreported = g.unreported[1:]
	}
	g.unreported = append(g.unreported, pending)
	g.wakeRun()
	return pending.done
}

// recordLocalCrash records that a replica crashed while it ran a request, so that this node quarantines the request even
// while no controller answers.
func (g *Guard) recordLocalCrash(signature quarantine.Signature, replica uint64, now time.Duration) {
	crashed, known := g.crashes.get(signature)
	if !known {
		crashed = map[uint64]bool{}
		g.crashes.set(signature, crashed)
	}
	crashed[replica] = true
	if len(crashed) >= quarantine.QuarantineThreshold {
		g.localQuarantine.set(signature, now+localQuarantineTime)
	}
}

// removeStale deletes the back ends without recently broken runs.
func (g *Guard) removeStale(now time.Duration) {
	for id, state := range g.replicas {
		if state.probeDone == nil && now-state.lastUpdate() >= brokenRunRetention {
			delete(g.replicas, id)
		}
	}
}

// lastUpdate returns the time of the last of these events of the back end: a broken run that is not reported yet, a
// probe that found it serving, or the crash; 0 if there was none.
func (s *replicaState) lastUpdate() time.Duration {
	last := max(s.servingAt, s.crashedAt)
	if len(s.brokenRuns) > 0 {
		last = max(last, s.brokenRuns[len(s.brokenRuns)-1].at)
	}
	return last
}
