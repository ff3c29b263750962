package replicaplan

import "time"

const (
	// goodUse is the part of their time for which replicas may be busy while requests are served in
	// time.
	goodUse = 0.5
	// worstUse is the part for which they may be busy at all: so many are kept, some of them on
	// demand, that a further loss leaves that.
	worstUse = 0.85
	// onDemandStep is the number by which replicas on demand are added at least: a need that grows slowly
	// asks for few orders.
	onDemandStep = 6
	// lowerAfter is how long fewer replicas on demand must have been wanted before they are given up, and
	// lowerSpotsAfter how long fewer spot ones: those cost little, and what they keep is worth more.
	lowerAfter      = time.Second
	lowerSpotsAfter = 30 * time.Second
	// orderSlack is added to the boot of replicas before an order counts as not carried out. Calls
	// may be carried out seconds late.
	orderSlack = 6 * time.Second
	// shortagePause is the wait before replicas are asked for again where none were to be had.
	shortagePause = 1500 * time.Millisecond
	// listSettles is how long the list must not have changed before replicas are given up: at a start it
	// fills by and by, and shows only then what is there.
	listSettles = 1200 * time.Millisecond
	// unknownShare is the part of all replicas, in percent, that must be left after a loss while the
	// work is not known.
	unknownShare = 66
	// workRise and workMemory are the times over which work is smoothed as it rises and as it falls:
	// bursts are shorter than a boot.
	workRise   = 2 * time.Second
	workMemory = 10 * time.Second
)

// Scaling is what the operator allows for a service.
type Scaling struct {
	Service string
	// Min and Max bound the replicas of both kinds together in each zone.
	Min, Max int
	// BootTime is how long a new replica takes until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a replica that may be taken away, as a part of that of one that
	// stays; 0 where there are none.
	SpotPrice float64
	// OnDemandShare is the part of the replicas that the operator began with which always stays.
	OnDemandShare float64
	// ZonePrices are the prices of a replica by zone.
	ZonePrices map[string]float64
}
