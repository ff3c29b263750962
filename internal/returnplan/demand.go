package returnplan

import (
	"math"
	"time"
)

// demandWindow is the time constant of the estimated demand. It is a few spans: until the demand is known, the first
// callers of a new load are promised the places that others should have.
const demandWindow = 100 * time.Millisecond

// demand estimates how many callers ask per second. The zero value has recorded none.
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
