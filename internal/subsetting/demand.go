package subsetting

import "time"

const (
	// MinEngines is the smallest number of a service's engines that relays know of, if there are as many: 16 cells
	// of 16 engines, at least three cells in each of five zones, so that every prompt has several cells left after
	// the loss of a zone. A fleet of fewer than twice as many is included whole.
	MinEngines = 256
	// MinWholeBackEnds is the smallest number of a service's back ends that relays know of, if there are as many, for
	// back ends that answer whole requests and cache nothing: six in each of five zones, of which one zone and one in
	// six of the others may be lost.
	MinWholeBackEnds = 32
	// backEndsPerBusy is how many back ends are wanted for each one that the observed work keeps busy. The prefill of
	// a long prompt takes more than half of its target for the first token, so that a request must nearly always find
	// an idle engine: with a quarter of the engines busy, all 16 of a cell are busy with a probability below one in a
	// billion.
	backEndsPerBusy = 4
	// shrinkFactor is the factor by which the wanted number must exceed the number that the work needs before it is
	// lowered. A load that swings by less changes nothing, since the prefix caches of removed engines are lost.
	shrinkFactor = 4
	// shrinkDelay is how long the wanted number must have been at least shrinkFactor times the needed one before it is
	// lowered.
	shrinkDelay = 30 * time.Second
	// maxWanted bounds the wanted number.
	maxWanted = 1 << 24
)

// Demand computes how many back ends of one service relays should know of. It follows the observed work by doublings:
// it grows at once and shrinks late. The zero value has observed nothing.
type Demand struct {
	wanted    int
	oversized bool
	// oversizedSince is when the wanted number became at least shrinkFactor times the needed one.
	oversizedSince time.Duration
}

// Next returns the wanted number, which is at least the given minimum. The parameter busy is the number of back ends that
// the work would keep busy all the time.
func (d *Demand) Next(now time.Duration, minimum int, busy float64) int {
	needed := minimum
	for float64(needed) < busy*backEndsPerBusy && needed < maxWanted {
		needed *= 2
	}
	oversized := needed*shrinkFactor <= d.wanted
	if oversized && !d.oversized {
		d.oversizedSince = now
	}
	d.oversized = oversized
	if oversized && now-d.oversizedSince >= shrinkDelay {
		d.wanted, d.oversized = needed, false
	}
	d.wanted = max(d.wanted, needed)
	return d.wanted
}

// Adopt raises the wanted number to that of the previous leader, which knew the work. It reports whether that number
// was higher.
func (d *Demand) Adopt(previous int) bool {
	more := min(previous, maxWanted) > d.wanted
	if more {
		d.wanted = min(previous, maxWanted)
	}
	return more
}

// Wanted returns the last wanted number.
func (d *Demand) Wanted() int { return d.wanted }
