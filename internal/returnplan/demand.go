package returnplan

import (
	"math"
	"time"
)

// demandWindow is the time constant of the estimated demand. It is only a few spans, because until the estimate
// follows a new load, its first callers are promised slots of callers that should come before them.
const demandWindow = 100 * time.Millisecond

// demand estimates the callers per second. The zero value has recorded none.
type demand struct {
	perSecond float64
	updatedAt time.Duration
}

// record counts one caller.
func (d *demand) record(now time.Duration) {
	d.perSecond = d.at(now) + 1/demandWindow.Seconds()
	d.updatedAt = max(d.updatedAt, now)
}

// at returns the estimate at this time.
func (d *demand) at(now time.Duration) float64 {
	if now <= d.updatedAt || d.perSecond == 0 {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-float64(now-d.updatedAt)/float64(demandWindow))
}
