package relay

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// prefillSpeed holds the engines' prefill times per token. It makes placement.PrefillSpeed safe for concurrent use.
type prefillSpeed struct {
	mutex sync.Mutex
	speed *placement.PrefillSpeed
	// fixed is true if the times are not updated by measurements.
	fixed bool
}

func newPrefillSpeed() *prefillSpeed { return &prefillSpeed{speed: placement.NewPrefillSpeed()} }

// observe records the time per token of one prefill at an engine, measured here or by another relay.
func (p *prefillSpeed) observe(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.speed.Observe(engine, perToken)
	}
}

// timePerToken returns the prefill time per token at an engine.
func (p *prefillSpeed) timePerToken(engine uint64) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.speed.PerToken(engine)
}

// average returns the fleet's average prefill time per token.
func (p *prefillSpeed) average() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.speed.FleetAverage()
}

// isObserved reports whether prefills at the engine were observed.
func (p *prefillSpeed) isObserved(engine uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.speed.IsObserved(engine)
}

// adopt replaces an engine's time per token by the value of the engine's owner, which has more measurements.
func (p *prefillSpeed) adopt(engine uint64, perToken time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.fixed {
		p.speed.SetPerToken(engine, perToken)
	}
}

// observeUncachedShare records how many of a prompt's tokens needed a prefill.
func (p *prefillSpeed) observeUncachedShare(tokens, uncachedTokens int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.speed.ObserveUncachedShare(tokens, uncachedTokens)
}

// uncachedShare returns the usual share of a prompt that needs a prefill.
func (p *prefillSpeed) uncachedShare() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.speed.UncachedShare()
}

// retain removes the engines that are not listed any more.
func (p *prefillSpeed) retain(listed map[uint64]*backEnd) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.speed.Retain(func(engine uint64) bool { return listed[engine] != nil })
}
