package control

import "time"

const (
	// minimumUpdatesPerSecond and maximumUpdatesPerSecond limit the pace at which the leader sends updates to relays;
	// initialUpdatesPerSecond is that pace when it starts. At the minimum, 300 relays that have all just started get
	// their answers within 0.75 s.
	minimumUpdatesPerSecond = 400
	initialUpdatesPerSecond = 1000
	maximumUpdatesPerSecond = 4000
	// updateBurstWindow is the time for which updates that the pace allowed but that were not needed accumulate: at the
	// initial pace, 50 relays are updated at once.
	updateBurstWindow = TickInterval
	// paceDecrease is the factor by which the pace changes at a tick when answers of the quorum are late, paceIncrease
	// that at a tick when they are in time and the pace has delayed updates.
	paceDecrease = 0.7
	paceIncrease = 1.02
)

// updatePace spreads updates to relays over time. An answer and the relay's next watch take some tenths of a
// millisecond of the leader's CPU: a thousand at once delay its messages to peers beyond their election timeout.
// The pace adapts to the time for which the leader has not received from a quorum.
type updatePace struct {
	perSecond float64
	credit    float64
	// creditAt is the time at which credit was last updated.
	creditAt time.Duration
	// wasLimiting is true if the pace has delayed an update since the last tick.
	wasLimiting bool
}

func newUpdatePace() updatePace { return updatePace{perSecond: initialUpdatesPerSecond} }

// tick adapts the pace; late is true when the quorum's answers to this leader are late.
func (p *updatePace) tick(late bool) {
	switch {
	case late:
		p.perSecond = max(p.perSecond*paceDecrease, minimumUpdatesPerSecond)
	case p.wasLimiting:
		p.perSecond = min(p.perSecond*paceIncrease, maximumUpdatesPerSecond)
	}
	p.wasLimiting = false
}

// allow reports whether one more relay may be updated now, and if so counts the update.
func (p *updatePace) allow(now time.Duration) bool {
	maximum := p.perSecond * updateBurstWindow.Seconds()
	p.credit = min(p.credit+p.perSecond*(now-p.creditAt).Seconds(), maximum)
	p.creditAt = now
	if p.credit < 1 {
		p.wasLimiting = true
		return false
	}
	p.credit--
	return true
}
