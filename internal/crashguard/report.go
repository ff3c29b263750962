package crashguard

import (
	"context"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

const (
	// reportTimeout ends a call to the leader, which is then made again.
	reportTimeout = 600 * time.Millisecond
	// reportPause is the wait before a call is made again. It doubles up to longestReportPause: the leader's build may
	// not know the call.
	reportPause        = 100 * time.Millisecond
	longestReportPause = 2 * time.Second
	// mostUnreported bounds the ends of back ends that wait to be told.
	mostUnreported = 256
)

// report is what is told to the leader of one back end that has ended.
type report struct {
	ends []*v1.ReplicaEnd
	// done is closed once the leader has answered.
	done chan struct{}
}

// Run tells the leader what was found until the context ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for wait := reportPause; ctx.Err() == nil && !g.flush(ctx); wait = min(2*wait, longestReportPause) {
			pause.For(ctx, wait)
		}
	}
}

// flush tells what waits; it reports whether nothing is left.
func (g *Guard) flush(ctx context.Context) bool {
	g.mutex.Lock()
	reports, released := g.unreported, g.unreleased
	g.unreported, g.unreleased = nil, nil
	g.mutex.Unlock()
	sent := g.sendReports(ctx, reports)
	return g.sendReleases(ctx, released) && sent
}

// sendReports tells of ended back ends, all in one call; false when that has to be done again.
func (g *Guard) sendReports(ctx context.Context, reports []*report) bool {
	if len(reports) == 0 {
		return true
	}
	var ends []*v1.ReplicaEnd
	for _, each := range reports {
		ends = append(ends, each.ends...)
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	held, err := g.options.Leader.ReportReplicaEnds(limited, ends)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil {
		g.options.Observer.LeaderCallFailed(err)
		g.unreported = append(reports, g.unreported...)
		return false
	}
	for _, bytes := range held {
		if signature, valid := quarantine.SignatureFromBytes(bytes); valid {
			g.hold(signature)
		}
	}
	for _, each := range reports {
		close(each.done)
	}
	return true
}

// hold holds a request that the leader has just said to be held; the list of all follows.
func (g *Guard) hold(signature quarantine.Signature) {
	if !g.isHeld(signature) {
		g.options.Observer.RequestQuarantined(signature)
	}
	if _, told := g.told[signature]; !told {
		g.local.put(signature, g.options.Now()+localHold)
	}
}

// sendReleases tells of requests that ran well; false when that has to be done again.
func (g *Guard) sendReleases(ctx context.Context, released []quarantine.Signature) bool {
	for index, signature := range released {
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		err := g.options.Leader.ReleaseRequest(limited, signature[:])
		cancel()
		if err == nil {
			continue
		}
		g.options.Observer.LeaderCallFailed(err)
		g.mutex.Lock()
		g.unreleased = append(released[index:], g.unreleased...)
		g.mutex.Unlock()
		return false
	}
	return true
}
