package replicaplan

import "time"

const (
	// targetUtilisation is the share of their time for which replicas may be busy while requests still meet their
	// targets.
	targetUtilisation = 0.5
	// maxUtilisation is the highest share of their time for which replicas may be busy after a loss. Enough replicas are
	// kept, some of them on demand, to stay below it after a further loss.
	maxUtilisation = 0.85
	// onDemandStep is the smallest number of on-demand replicas added at once, so that a slowly growing need takes
	// few orders.
	onDemandStep = 6
	// onDemandLowerDelay is how long fewer on-demand replicas than agreed must have been wanted before some are released.
	// spotLowerDelay is the same for spot replicas, which are cheap and whose caches are worth more than their price.
	onDemandLowerDelay = time.Second
	spotLowerDelay     = 30 * time.Second
	// orderGrace is the time beyond the boot time after which an order counts as not carried out, since the platform may
	// carry out calls seconds late.
	orderGrace = 6 * time.Second
	// shortageRetryDelay is the wait before another order after the platform had no replicas available.
	shortageRetryDelay = 1500 * time.Millisecond
	// listSettleTime is how long the list must be unchanged before replicas are released: at startup it fills
	// gradually, and only a stable list is complete.
	listSettleTime = 1200 * time.Millisecond
	// unknownWorkPercent is the percentage of the operator's initial replicas that must remain after a loss while the
	// work is unknown.
	unknownWorkPercent = 66
	// workRiseTime and workFallTime are the time constants for smoothing rising and falling work: bursts are shorter
	// than a boot.
	workRiseTime = 2 * time.Second
	workFallTime = 10 * time.Second
)

// Scaling is what the operator permits for a service.
type Scaling struct {
	Service string
	// Min and Max bound the replicas of both kinds together in each zone.
	Min, Max int
	// BootTime is how long a new replica takes until it serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot replica relative to an on-demand one; 0 if there are none.
	SpotPrice float64
	// OnDemandShare is the fraction of the operator's initial replicas of the service (Desired.Base) that the plan always
	// keeps as on-demand replicas. The platform may reclaim the other kind, spot replicas.
	OnDemandShare float64
	// ZonePrices are the prices of a replica by zone.
	ZonePrices map[string]float64
}
