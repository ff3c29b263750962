package subsetting

import "time"

const (
	// MinEngines is the least number of a service's engines that relays are to know, where there are so
	// many: 16 cells of 16 engines, three and more in each of five zones, so that the loss of a zone leaves
	// every prompt several cells. A fleet of up to twice as many is known whole.
	MinEngines = 256
	// MinWholeBackEnds is the same for back ends that answer requests whole, which keep nothing: six in each of
	// five zones, of which a zone and one in six others may be lost.
	MinWholeBackEnds = 32
	// spare is how many back ends are to be known for each one that the observed work would keep busy.
	// Reading one long prompt takes longer than half of its time to the first token, so a request must find
	// an idle engine nearly always: with a quarter of the engines busy, all 16 of a cell are with a
	// probability below one in a billion.
	spare = 4
	// shrinkAt is by how many times more may be wanted than the work needs, so that a load that swings by
	// so much changes nothing: engines that are left out take with them what they keep.
	shrinkAt = 4
	// shrinkAfter is how long the work must have needed less than that before less is wanted.
	shrinkAfter = 30 * time.Second
	// mostWanted bounds what others tell.
	mostWanted = 1 << 24
)

// Demand is how many back ends of one service relays are to know. It follows the observed work in
// doublings: up at once, down late. The zero value has seen nothing.
type Demand struct {
	wanted int
	ample  bool
	// ampleSince is when the work began to need much less than is wanted.
	ampleSince time.Duration
}

// Next returns how many are wanted, at least the least, for work that would keep busy of them busy all the
// time.
func (d *Demand) Next(now time.Duration, least int, busy float64) int {
	needed := least
	for float64(needed) < busy*spare && needed < mostWanted {
		needed *= 2
	}
	ample := needed*shrinkAt <= d.wanted
	if ample && !d.ample {
		d.ampleSince = now
	}
	d.ample = ample
	if ample && now-d.ampleSince >= shrinkAfter {
		d.wanted, d.ample = needed, false
	}
	d.wanted = max(d.wanted, needed)
	return d.wanted
}

// Adopt takes what a predecessor wanted, which knew the work. It reports whether that is more.
func (d *Demand) Adopt(told int) bool {
	more := min(told, mostWanted) > d.wanted
	if more {
		d.wanted = min(told, mostWanted)
	}
	return more
}

// Wanted is what was wanted last.
func (d *Demand) Wanted() int { return d.wanted }
