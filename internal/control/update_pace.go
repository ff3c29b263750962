package control

import "time"

const (
	// minimumUpdatesPerSecond and mostNews bound the pace of news, in answers a second; firstNews is the pace at first. At the
	// least, 300 relays that have all just started hear within 0.75 s.
	minimumUpdatesPerSecond = 400
	initialUpdatesPerSecond = 1000
	maximumUpdatesPerSecond = 4000
	// updateBurstWindow is the time for which unused pace is kept: a fleet of 50 relays hears at once.
	updateBurstWindow = TickInterval
	// paceDecrease and speedUp are what the pace is multiplied by at a tick where the peers' answers come late,
	// and at one where they come in time although more could be told.
	paceDecrease = 0.7
	paceIncrease = 1.02
)

// updatePace spreads the telling of news over time. An answer and the relay's next question take some tenths
// of a millisecond of the leader's processor: a thousand at once keep it from its peers for longer than they
// wait for a leader. It goes by what it observes: how long the leader has not heard of a quorum.
type updatePace struct {
	perSecond float64
	credit    float64
	// creditAt is when credit was counted last.
	creditAt time.Duration
	// wasLimiting tells that somebody has waited for the pace since the last tick.
	wasLimiting bool
}

func newUpdatePace() updatePace { return updatePace{perSecond: initialUpdatesPerSecond} }

// tick adapts the pace to whether the quorum's answers come late.
func (p *updatePace) tick(late bool) {
	switch {
	case late:
		p.perSecond = max(p.perSecond*paceDecrease, minimumUpdatesPerSecond)
	case p.wasLimiting:
		p.perSecond = min(p.perSecond*paceIncrease, maximumUpdatesPerSecond)
	}
	p.wasLimiting = false
}

// allow reports whether one more relay may be told now, and counts it.
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
