package control

import "time"

const (
	// leastNews and mostNews bound the pace of news, in answers a second; firstNews is the pace at first.
	leastNews = 100
	firstNews = 1000
	mostNews  = 4000
	// newsBurst is the time for which unused pace is kept: a fleet of 50 relays hears at once.
	newsBurst = TickInterval
	// lateTick is how long after the tick before a tick shows that this process is short of its processor.
	lateTick = 3 * TickInterval
	// slowDown and speedUp are what the pace is multiplied by after a late tick, and after one in time.
	slowDown = 0.5
	speedUp  = 1.02
)

// newsPace spreads the telling of news over time. An answer and the relay's next question take some tenths
// of a millisecond of the leader's processor: a thousand at once keep it from its peers for longer than they
// wait for a leader. It goes by what it observes: ticks that come late slow it down.
type newsPace struct {
	perSecond float64
	credit    float64
	// at is when credit was counted last, tickedAt when the last tick came.
	at, tickedAt time.Duration
}

func newNewsPace() newsPace { return newsPace{perSecond: firstNews} }

// tick adapts the pace to how late this tick is.
func (p *newsPace) tick(now time.Duration) {
	if now-p.tickedAt > lateTick {
		p.perSecond = max(p.perSecond*slowDown, leastNews)
	} else {
		p.perSecond = min(p.perSecond*speedUp, mostNews)
	}
	p.tickedAt = now
}

// take reports whether one more relay may be told now, and counts it.
func (p *newsPace) take(now time.Duration) bool {
	most := p.perSecond * newsBurst.Seconds()
	p.credit = min(p.credit+p.perSecond*(now-p.at).Seconds(), most)
	p.at = now
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}
