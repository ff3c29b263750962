package placement

import "time"

// Parameters are the weights and bounds of placement decisions.
type Parameters struct {
	// ZonePenalty is the cost of a back end outside the preferred zone, in running requests.
	ZonePenalty float64
	// ConnectionPenalty is the cost of a back end without an open connection, in running requests. Below 1 it only
	// breaks ties. A reused connection saves the request two round trips and saves the back end a handshake, which
	// occupies one of its slots. Without the penalty, each of a thousand relays would pick any of three hundred back
	// ends and never reach the same one twice.
	ConnectionPenalty float64
	// ZoneCost is the cost of sending a prompt to another zone.
	ZoneCost time.Duration
	// HomePreference is the largest advantage, in time, of a prompt's home engine over others.
	HomePreference time.Duration
	// PrefillTargetShare is the share of a route's target that the prefill may take.
	PrefillTargetShare float64
	// LateWeight is the weight of time beyond PrefillTargetShare of the target, relative to waiting time.
	LateWeight int
	// MinSharedTokens is the shortest shared prefix, in tokens, that ties a prompt to the engines that have it
	// cached, in whatever zone they are.
	MinSharedTokens int
	// MinTransferTokens is the smallest number of tokens worth fetching from another engine. TransferSetup is
	// the fixed time of a KV transfer.
	MinTransferTokens int
	TransferSetup     time.Duration
	// TransferEvictionCost is the cost of each token that is copied to another engine: the copy evicts other
	// prefix blocks there, which then have to be prefilled again.
	TransferEvictionCost time.Duration
	// ResidualShare is the share of a running prefill that remains on average.
	ResidualShare float64
	// StreamCost is the cost of each running stream at a decode engine.
	StreamCost time.Duration
	// StreamSlowdown is the relative increase in the cost of a prefill at a decode engine for each stream that
	// the prefill delays.
	StreamSlowdown float64
	// DecodeChunk is how many prompt tokens a decode engine prefills in one step. DecodeStep is the
	// approximate time of a step without prefill.
	DecodeChunk int
	DecodeStep  time.Duration
	// StreamPauseCost is the cost of each stream that exceeds its gap target because of a prefill.
	StreamPauseCost time.Duration
	// BrokenPauseCost is the cost of each stream that is predicted to exceed its gap target: an answer with one pause that
	// is too long is late as a whole, like one that misses its latency target. PeakPauseRisk is the share of that cost for a
	// stream that exceeds the target only if its engine is slowed down while it runs.
	BrokenPauseCost time.Duration
	PeakPauseRisk   float64
	// MinMigrationEvents is the smallest number of remaining events for which a stream moves to a faster engine: the
	// transfer of its KV cache takes about as long as an event.
	MinMigrationEvents int
	// MigrationTimeShare is the share of the time until its deadline after which a stream may move to a faster engine.
	MigrationTimeShare float64
	// OccupancyByFleet makes the cost of a prefill to others independent of the engine's own speed.
	OccupancyByFleet bool
	// DecodeSlowdown is how many times slower a decode engine prefills than a prefill engine.
	DecodeSlowdown int
	// KVTransferTime is the time to transfer a prompt's KV cache from the prefill engine to the decode engine.
	KVTransferTime time.Duration
	// MaxDecodePrefill is the longest prefill, in tokens, that a decode engine takes on if a prefill engine is
	// available: a longer one would pause its streams too long. MaxPausedStreams is how many streams a longer
	// one may pause.
	MaxDecodePrefill, MaxPausedStreams int
	// MaxPrefillDelayShare bounds how long a prompt may queue for its prefill, as a multiple of its route's
	// target: one that queues longer would be late and would make those behind it late.
	MaxPrefillDelayShare float64
	// SpillShare is the share of its route's target that a request may wait at the cell of its prefix before
	// other cells are asked as well.
	SpillShare float64
	// MaxSlotDelayShare bounds how long a request may wait for a slot, as a multiple of its route's target.
	MaxSlotDelayShare float64
	// MinDelayScale and MaxDelayScale bound the factor on MaxPrefillDelayShare, which is larger for a prompt of which a
	// larger share than usual is cached and smaller for one with a smaller share.
	MinDelayScale, MaxDelayScale float64
	// RetryShare is the share of a refused client's remaining time after which it should retry at the latest.
	// RetrySpread is the share of that latest time over which the retries of several clients are spread.
	RetryShare, RetrySpread float64
	// MinPendingTokens is the smallest number of tokens worth waiting for while the engine prefills them for
	// another request. MaxPrefillWaits is the largest number of such waits of one request.
	MinPendingTokens, MaxPrefillWaits int
	// ShortPrefill and LongPrefill divide the prompts of one priority, in tokens: short ones go first, since
	// they should wait least and delay others least.
	ShortPrefill, LongPrefill int
}

// DefaultParameters returns the parameters used in production.
func DefaultParameters() Parameters {
	return Parameters{
		ZonePenalty:          1.5,
		ConnectionPenalty:    0.5,
		ZoneCost:             4 * time.Millisecond,
		HomePreference:       15 * time.Millisecond,
		PrefillTargetShare:   0.8,
		LateWeight:           3,
		MinSharedTokens:      1_000,
		MinTransferTokens:    1_000,
		TransferSetup:        12 * time.Millisecond,
		TransferEvictionCost: 6 * time.Microsecond,
		ResidualShare:        0.6,
		StreamCost:           2 * time.Millisecond,
		StreamSlowdown:       0.1,
		DecodeChunk:          512,
		DecodeStep:           6 * time.Millisecond,
		StreamPauseCost:      15 * time.Millisecond,
		BrokenPauseCost:      400 * time.Millisecond,
		PeakPauseRisk:        0.3,
		MinMigrationEvents:   4,
		MigrationTimeShare:   0.5,
		OccupancyByFleet:     true,
		DecodeSlowdown:       2,
		KVTransferTime:       25 * time.Millisecond,
		MaxDecodePrefill:     2_048,
		MaxPausedStreams:     2,
		MaxPrefillDelayShare: 1.2,
		SpillShare:           0.2,
		MaxSlotDelayShare:    0.6,
		MinDelayScale:        0.6,
		MaxDelayScale:        1.3,
		RetryShare:           1.0 / 3,
		RetrySpread:          0.5,
		MinPendingTokens:     1_000,
		MaxPrefillWaits:      3,
		ShortPrefill:         5_000,
		LongPrefill:          14_000,
	}
}
