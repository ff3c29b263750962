package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// prefillPace holds the engines' prefill times per token. It makes placement.Pace safe for concurrent use.
type prefillPace struct {
	mutex sync.Mutex
	pace  *placement.PrefillSpeed
	// fixed reports that the times are not updated by measurements.
	fixed bool
}

func newPrefillPace() *prefillPace { return &prefillPace{pace: placement.NewPrefillSpeed()} }

// observe records the time per token of one prefill at an engine, measured here or by another relay.
func (p *prefillPace) observe(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.Observe(engine, perToken)
	}
}

// timePerToken returns the prefill time per token at an engine.
func (p *prefillPace) timePerToken(engine uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.PerToken(engine)
}

// adopt applies an engine's time per token as its owner knows it, who has more measurements.
func (p *prefillPace) adopt(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.pace.SetPerToken(engine, perToken)
	}
}

// observeShare records how many of a prompt's tokens needed a prefill.
func (p *prefillPace) observeShare(tokens, toRead int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.ObserveUncachedShare(tokens, toRead)
}

// usualShare returns the usual fraction of a prompt that needs a prefill.
func (p *prefillPace) usualShare() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pace.UncachedShare()
}

// retain removes the engines that are not listed any more.
func (p *prefillPace) retain(listed map[uint64]*backEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pace.Retain(func(engine uint64) bool { return listed[engine] != nil })
}
