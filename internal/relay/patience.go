package relay

import "time"

const (
	// firstPatience is what the first whole answer may take beyond a watch's wait: a relay that holds
	// nothing is sent configuration and list whole, and all relays are at once when all have started.
	firstPatience = time.Second
	// longestPatience bounds what it grows to.
	longestPatience = 4 * time.Second
)

// patience is how long a relay that holds nothing waits for a controller's answer. It grows while answers
// do not come in time: to give up and ask again has the controller begin anew with each relay, which
// makes all answers later still.
type patience struct{ missed int }

// slack is what a watch may take beyond its wait.
func (p *patience) slack(holdsView bool) time.Duration {
	if holdsView {
		return watchSlack
	}
	return doubled(firstPatience, p.missed, longestPatience)
}

// answered notes an answer of a leader: what other controllers answer at once says nothing of how long
// that one takes.
func (p *patience) answered() { p.missed = 0 }

// missedAnswer notes that no answer came in time.
func (p *patience) missedAnswer() { p.missed++ }
