package crashguard

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/pause"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

const (
	// reportTimeout limits one call to the leader, which is then retried.
	reportTimeout = 600 * time.Millisecond
	// reportPause is the wait before a failed call to the leader is retried. It doubles up to silentReportPause where nobody
	// answers, and up to refusedReportPause where a controller answers with an error: it may be overloaded, or its version may
	// not support the call.
	reportPause        = 100 * time.Millisecond
	silentReportPause  = 300 * time.Millisecond
	refusedReportPause = 2 * time.Second
	// maximumUnreported limits the pending reports of back-end crashes.
	maximumUnreported = 256
)

// report is a report to the leader about one crashed back end.
type report struct {
	ends []*v1.ReplicaEnd
	// partEnds are the same by the parts of the requests' prompts.
	partEnds []*v1.ReplicaEnd
	// done is closed once the leader has answered.
	done chan struct{}
}

// Run sends reports to the leader until the context ends.
func (g *Guard) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for wait := reportPause; ctx.Err() == nil; {
			err := g.flush(ctx)
			if err == nil {
				break
			}
			pause.For(ctx, wait)
			wait = min(2*wait, maximumPause(err))
		}
	}
}

// maximumPause returns the longest wait after a call to the leader that failed with the error.
func maximumPause(err error) time.Duration {
	if connect.IsWireError(err) {
		return refusedReportPause
	}
	return silentReportPause
}

// flush sends all pending reports of crashes and of successes to the leader. An error means that some remain.
func (g *Guard) flush(ctx context.Context) error {
	g.mutex.Lock()
	reports, released := g.unreported, g.unreleased
	g.unreported, g.unreleased = nil, nil
	g.isSending = true
	g.mutex.Unlock()
	err := errors.Join(g.sendReports(ctx, reports), g.sendReleases(ctx, released))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isSending = false
	return err
}

// HasUnreported reports whether the leader has not yet acknowledged all crashes and successes.
func (g *Guard) HasUnreported() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isSending || len(g.unreported) > 0 || len(g.unreleased) > 0
}

// sendReports reports crashed back ends to the leader, all in one call, which must be retried after an error.
func (g *Guard) sendReports(ctx context.Context, reports []*report) error {
	if len(reports) == 0 {
		return nil
	}
	var ends, partEnds []*v1.ReplicaEnd
	for _, each := range reports {
		ends = append(ends, each.ends...)
		partEnds = append(partEnds, each.partEnds...)
	}
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	quarantined, err := g.options.Leader.ReportReplicaEnds(limited, ends, partEnds)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isLeaderSilent = err != nil
	if err != nil {
		g.options.Observer.LeaderCallFailed(err)
		g.unreported = append(reports, g.unreported...)
		return err
	}
	for _, bytes := range quarantined {
		if signature, valid := quarantine.SignatureFromBytes(bytes); valid {
			g.quarantineLocally(signature)
		}
	}
	for _, each := range reports {
		close(each.done)
	}
	return nil
}

// quarantineLocally quarantines a request that the leader has just reported as quarantined, until the full list arrives.
func (g *Guard) quarantineLocally(signature quarantine.Signature) {
	if !g.isQuarantinedLocked(signature) {
		g.options.Observer.RequestQuarantined(signature)
	}
	if _, isListed := g.quarantined[signature]; !isListed {
		g.localQuarantine.set(signature, g.options.Now()+localQuarantineTime)
	}
}

// sendReleases reports quarantined requests, and suspect parts of prompts, that have succeeded to the leader. After an error
// the rest must be sent again.
func (g *Guard) sendReleases(ctx context.Context, released []quarantine.Signature) error {
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
		return err
	}
	return nil
}
