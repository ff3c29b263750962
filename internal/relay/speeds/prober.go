package speeds

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// probeInterval is the age of an engine's last report from which the engine is asked. It is shorter than the time for
	// which a report counts for the engine's speed at this moment.
	probeInterval = 200 * time.Millisecond
	// checkInterval is the time between two checks of the age of the engines' reports.
	checkInterval = 50 * time.Millisecond
	// silentInterval is how long the engines of a service are not asked after one of them has answered without its speed,
	// while none has ever reported it: the engines of most services do not.
	silentInterval = 30 * time.Second
	// failedInterval is how long one engine is not asked after a probe that failed, or brought no speed although other
	// engines of its service report it.
	failedInterval = time.Second
	// maxConcurrentProbes bounds the probes in progress.
	maxConcurrentProbes = 4
)

// Target is an engine that may be asked for its speed.
type Target struct {
	Service string
	Hash    uint64
	// Probe asks the engine for its relative time, which is 0 if the engine does not report it.
	Probe func(ctx context.Context) (relativeTime float64, err error)
}

// Prober asks engines for their relative time if they have not reported it for a while. Engines report it with answers to
// requests, but prefill engines do not, and before the first requests no engine has reported anything.
type Prober struct {
	Speeds *Speeds
	Now    func() time.Duration
	// Targets returns the engines for whose speed this relay is responsible.
	Targets func() []Target

	mutex sync.Mutex
	// silentUntil is the time until which the engines of a service are not asked, failedUntil that for single engines.
	silentUntil map[string]time.Duration
	failedUntil map[uint64]time.Duration
}

// Run probes engines until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.silentUntil, p.failedUntil = map[string]time.Duration{}, map[uint64]time.Duration{}
	for pause.For(ctx, checkInterval) {
		p.probeDue(ctx)
	}
}

// probeDue probes the engines that are due, and waits for their answers.
func (p *Prober) probeDue(ctx context.Context) {
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentProbes)
	for _, target := range p.due(p.Targets()) {
		group.Go(func() error {
			p.probe(ctx, target)
			return nil
		})
	}
	_ = group.Wait() // probe returns no errors
}

// due returns the targets that are due for a probe. Of a service whose engines have not reported anything yet, it returns
// only one, since most services' engines do not report their speed.
func (p *Prober) due(targets []Target) []Target {
	now := p.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	isAsked := map[string]bool{}
	var due []Target
	for _, target := range targets {
		if now < p.silentUntil[target.Service] || now < p.failedUntil[target.Hash] {
			continue
		}
		delete(p.failedUntil, target.Hash)
		if !p.Speeds.HasReports(target.Service) {
			if isAsked[target.Service] {
				continue
			}
			isAsked[target.Service] = true
		}
		if age, reported := p.Speeds.ReportAge(now, target.Service, target.Hash); !reported || age >= probeInterval {
			due = append(due, target)
		}
	}
	return due
}

// probe asks one engine and records the answer.
func (p *Prober) probe(ctx context.Context, target Target) {
	relativeTime, err := target.Probe(ctx)
	now := p.Now()
	switch {
	case err == nil && relativeTime > 0:
		p.Speeds.ObserveReport(now, target.Service, target.Hash, relativeTime)
		return
	case err == nil && !p.Speeds.HasReports(target.Service):
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.silentUntil[target.Service] = now + silentInterval
	default:
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.failedUntil[target.Hash] = now + failedInterval
	}
}
