package control

import "time"

const (
	// leastNews and mostNews bound the pace of news, in answers a second; firstNews is the pace at first. At the
	// least, 300 relays that have all just started hear within 0.75 s.
	leastNews = 400
	firstNews = 1000
	mostNews  = 4000
	// newsBurst is the time for which unused pace is kept: a fleet of 50 relays hears at once.
	newsBurst = TickInterval
	// slowDown and speedUp are what the pace is multiplied by at a tick where the peers' answers come late,
	// and at one where they come in time although more could be told.
	slowDown = 0.7
	speedUp  = 1.02
)

// newsPace spreads the telling of news over time. An answer and the relay's next question take some tenths
// of a millisecond of the leader's processor: a thousand at once keep it from its peers for longer than they
// wait for a leader. It goes by what it observes: how long the leader has not heard of a quorum.
type newsPace struct {
	perSecond float64
	credit    float64
	// at is when credit was counted last.
	at time.Duration
	// limits tells that somebody has waited for the pace since the last tick.
	limits bool
}

func newNewsPace() newsPace { return newsPace{perSecond: firstNews} }

// tick adapts the pace to whether the quorum's answers come late.
func (p *newsPace) tick(late bool) {
	switch {
	case late:
		p.perSecond = max(p.perSecond*slowDown, leastNews)
	case p.limits:
		p.perSecond = min(p.perSecond*speedUp, mostNews)
	}
	p.limits = false
}

// take reports whether one more relay may be told now, and counts it.
func (p *newsPace) take(now time.Duration) bool {
	most := p.perSecond * newsBurst.Seconds()
	p.credit = min(p.credit+p.perSecond*(now-p.at).Seconds(), most)
	p.at = now
	if p.credit < 1 {
		p.limits = true
		return false
	}
	p.credit--
	return true
}
