package crashguard

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// look is what is known of a back end at which runs broke.
type look struct {
	// broken are the runs that broke and are not told of, oldest first.
	broken []brokenRun
	// done is closed when the look under way has ended; nil for none.
	done chan struct{}
	// aliveAt is when the back end was last seen to serve after a run had broken.
	aliveAt time.Duration
	// ended tells that the back end is known to have ended, since endedAt.
	ended   bool
	endedAt time.Duration
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	signature quarantine.Signature
	at        time.Duration
}

// mostBroken bounds the runs that are remembered of one back end.
const mostBroken = 256

// RecordBrokenRun notes that the connection broke on which a back end ran a request, and finds out whether the
// back end has ended. With a wait it returns once that is known and agreed on, or the wait has passed;
// it reports whether the request is held then.
func (g *Guard) RecordBrokenRun(signature quarantine.Signature, replica Replica, wait time.Duration) (held bool) {
	g.mutex.Lock()
	if g.ranWellLately(signature) {
		g.mutex.Unlock()
		return false
	}
	now := g.options.Now()
	current := g.noteRun(signature, replica.ID, now)
	var told <-chan struct{}
	switch {
	case current.ended:
		told = g.tell(replica.ID, current)
	case current.done != nil:
		told = current.done
	case current.aliveAt == 0 || now-current.aliveAt >= aliveFor:
		current.done = make(chan struct{})
		told = current.done
		go g.look(replica, current)
	}
	g.mutex.Unlock()
	if told != nil && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-told:
		case <-timer.C:
		}
	}
	return g.IsQuarantined(signature)
}

// RecordSilentRun notes that a back end that ran a request has not been heard of for long. It may have ended,
// or the way there is cut: the run counts only once the back end is known to have ended.
func (g *Guard) RecordSilentRun(signature quarantine.Signature, replica string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.ranWellLately(signature) {
		return
	}
	if current := g.noteRun(signature, replica, g.options.Now()); current.ended {
		g.tell(replica, current)
	}
}

// noteRun remembers a run that broke. The mutex is held.
func (g *Guard) noteRun(signature quarantine.Signature, replica string, now time.Duration) *look {
	g.forgetLooks(now)
	current := g.looks[replica]
	if current == nil {
		current = &look{}
		g.looks[replica] = current
	}
	current.broken = append(current.broken, brokenRun{signature: signature, at: now})
	current.broken = current.broken[max(len(current.broken)-mostBroken, 0):]
	return current
}

// look finds out whether a back end serves, and tells the leader when it does not.
func (g *Guard) look(replica Replica, current *look) {
	limited, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sight := g.options.Probe(limited, replica)
	g.mutex.Lock()
	done := current.done
	current.done = nil
	var told <-chan struct{}
	switch sight {
	case ProbeServing:
		current.aliveAt = g.options.Now()
	case ProbeGone:
		told = g.noteEnded(replica.ID, current)
	case ProbeUnclear: // it may be seen later
	}
	g.mutex.Unlock()
	if told != nil {
		<-told
	}
	close(done)
}

// RecordCrash notes that a back end is known to have ended: nothing serves at its address, or another one.
func (g *Guard) RecordCrash(replica string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current := g.looks[replica]
	if current == nil || current.ended {
		return
	}
	g.noteEnded(replica, current)
}

// noteEnded notes that a back end has ended, and has its broken runs told. The mutex is held.
func (g *Guard) noteEnded(replica string, current *look) <-chan struct{} {
	current.ended, current.endedAt = true, g.options.Now()
	return g.tell(replica, current)
}

// tell has the broken runs of a back end that has ended told to the leader. The channel is closed once
// that is done; nil where there is nothing to tell. The mutex is held.
func (g *Guard) tell(replica string, current *look) <-chan struct{} {
	now, hash := g.options.Now(), xxhash.Sum64String(replica)
	told := &report{done: make(chan struct{})}
	for _, run := range current.broken {
		if now-run.at >= breakMemory || g.ranWellLately(run.signature) {
			continue
		}
		told.ends = append(told.ends, &v1.ReplicaEnd{Signature: run.signature[:], Replica: hash})
		g.noteEnd(run.signature, hash, now)
	}
	current.broken = nil
	if len(told.ends) == 0 {
		return nil
	}
	g.options.Observer.ReplicaCrashed(replica, len(told.ends))
	if len(g.unreported) >= mostUnreported {
		close(g.unreported[0].done) // it is given up; those who wait go by what is known here
		g.unreported = g.unreported[1:]
	}
	g.unreported = append(g.unreported, told)
	g.wakeRun()
	return told.done
}

// noteEnd remembers an end here, so that a request is held also while no controller answers.
func (g *Guard) noteEnd(signature quarantine.Signature, replica uint64, now time.Duration) {
	ended, known := g.ended.get(signature)
	if !known {
		ended = map[uint64]bool{}
		g.ended.put(signature, ended)
	}
	ended[replica] = true
	if len(ended) >= quarantine.QuarantineThreshold {
		g.local.put(signature, now+localHold)
	}
}

// forgetLooks forgets the back ends at which no run broke lately.
func (g *Guard) forgetLooks(now time.Duration) {
	for id, old := range g.looks {
		if old.done == nil && now-old.lastAt() >= breakMemory {
			delete(g.looks, id)
		}
	}
}

// lastAt is when something was last learnt of the back end.
func (l *look) lastAt() time.Duration {
	last := max(l.aliveAt, l.endedAt)
	if len(l.broken) > 0 {
		last = max(last, l.broken[len(l.broken)-1].at)
	}
	return last
}
