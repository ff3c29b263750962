package crashguard

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// applySuspectParts applies the list of suspect parts of prompts in a statement. Controllers of former builds send none; the last
// list then remains valid for localQuarantineTime. The mutex must be held.
func (g *Guard) applySuspectParts(statement Statement) {
	if !statement.TellsParts {
		return
	}
	for _, part := range g.parts.apply(g.options.Now(), statement.Parts) {
		g.options.Observer.RequestQuarantined(part)
	}
}

// recordPartSupport records whether controllers tell which parts of prompts are suspect. The mutex must be held.
func (g *Guard) recordPartSupport(isTold bool) {
	if !isTold && !g.parts.isUntold {
		g.parts.untoldSince = g.options.Now()
	}
	g.parts.isUntold = !isTold
}

// QuarantinedPartCount returns the number of parts of prompts that the controllers list as quarantined.
func (g *Guard) QuarantinedPartCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for _, part := range g.parts.listed {
		if part.isQuarantined {
			count++
		}
	}
	return count
}

// TakeSoundRuns returns what the controllers must learn of sound runs at this node; nil for nothing. The number of runs is
// reported once.
func (g *Guard) TakeSoundRuns() *v1.SoundRuns {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.parts.takeSoundRuns(g.options.Now())
}

// RecordUndeclaredEnd records that a back end has ended an answer by closing its connection, so that the answer may be whole, and
// checks whether the back end has crashed. If it serves, the request's parts have not crashed it. It blocks meanwhile.
func (g *Guard) RecordUndeclaredEnd(content quarantine.Content, replica Replica) {
	endedAt := g.options.Now()
	g.RecordBrokenRun(content, replica, probeTimeout)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	state := g.replicas[replica.ID]
	if state == nil || state.crashed || state.servingAt < endedAt {
		return
	}
	g.release(g.parts.recordSoundRun(endedAt, content.Parts))
}

// RetryAfter returns when a quarantined request may be sent again: about the time of the next trial.
func (g *Guard) RetryAfter(content quarantine.Content) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wait := QuarantineRetryAfter
	for _, part := range content.Parts {
		wait = max(wait, g.parts.trialIn(g.options.Now(), part))
	}
	return wait
}

// isPartQuarantined reports whether requests with a part must not be sent to any back end. The mutex must be held.
func (g *Guard) isPartQuarantined(part quarantine.Signature) bool {
	now := g.options.Now()
	return g.parts.isListedQuarantined(now, part) || g.isLeaderSilent && g.parts.isLocallySuspected(now, part)
}
