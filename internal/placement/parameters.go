package placement

import "time"

// Parameters are the weights and bounds of the decisions.
type Parameters struct {
	// ZonePenalty is how many more running requests a back end of the preferred zone may
	// have before one of another zone is taken.
	ZonePenalty float64
	// ConnectionPenalty is how many more running requests a back end may have to which a connection is
	// open before one is taken to which one has to be opened. Below one it decides among equals: a request
	// saves two round trips, and a back end the opening, which holds one of its slots. Each of a thousand
	// relays meets any of three hundred back ends otherwise, and never one of them twice.
	ConnectionPenalty float64
	// ZoneCost is the cost of a prompt's way to another zone.
	ZoneCost time.Duration
	// HomePreference is the most by which a prompt's home engine is preferred to others.
	HomePreference time.Duration
	// PrefillTargetShare is the part of a route's target that the reading of a prompt may take.
	PrefillTargetShare float64
	// LateWeight is how much worse it is to be late than to wait.
	LateWeight int
	// MinSharedTokens is the least shared beginning of a prompt, in tokens, that ties it to the engines
	// that keep it, wherever they are.
	MinSharedTokens int
	// MinTransferTokens is the least number of tokens that are worth taking from another engine,
	// FetchSetup what taking them costs beside their way.
	MinTransferTokens int
	TransferSetup     time.Duration
	// TransferEvictionCost is what each token costs of which another engine takes a copy: the copy drives
	// other parts out of its memory, which then have to be read again.
	TransferEvictionCost time.Duration
	// ResidualShare is the part of a reading under way that is left on average.
	ResidualShare float64
	// StreamCost is what one running stream of a decoding engine weighs.
	StreamCost time.Duration
	// StreamSlowdown is how much dearer reading at a decoding engine is for each stream that it
	// holds up, as a part of the reading's time.
	StreamSlowdown float64
	// DecodeChunk is how many tokens of a prompt a decoding engine reads in one step, and
	// DecodeStep how long a step without reading takes about.
	DecodeChunk int
	DecodeStep  time.Duration
	// StreamPauseCost is what it costs for each stream that its engine makes late by reading.
	StreamPauseCost time.Duration
	// DecodeSlowdown is how much slower a decoding engine reads prompts than a prefill engine.
	DecodeSlowdown int
	// KVTransferTime is what handing a prompt from one engine to another takes.
	KVTransferTime time.Duration
	// MaxDecodePrefill is the longest reading, in tokens, that a decoding engine takes on while a
	// prefill engine could: its streams would pause too long. MaxPausedStreams is how many streams may
	// be held up by a longer one.
	MaxDecodePrefill, MaxPausedStreams int
	// MaxPrefillDelayShare is how many targets of its route a prompt may wait to be read: one that
	// waits longer would be late, and those behind it too.
	MaxPrefillDelayShare float64
	// SpillShare is the part of its route's target that a request may wait at the engines that
	// keep its prompt before others are asked as well.
	SpillShare float64
	// MaxSlotDelayShare is how many targets of its route a request may wait for a slot.
	MaxSlotDelayShare float64
	// MinDelayScale and MaxDelayScale bound by how much a prompt may wait less, or longer, for
	// the part of it that is kept.
	MinDelayScale, MaxDelayScale float64
	// RetryShare is the part of a refused client's time after which it had better come back at
	// the latest, and RetrySpread the part of that over which clients are spread.
	RetryShare, RetrySpread float64
	// MinPendingTokens is the least number of tokens that are worth waiting for while the engine
	// reads them for another request, MaxPrefillWaits how often one request waits.
	MinPendingTokens, MaxPrefillWaits int
	// ShortPrefill and LongPrefill divide the prompts of one rank, in tokens: short ones go
	// first, as they wait least and delay others least.
	ShortPrefill, LongPrefill int
}

// DefaultParameters are those in use.
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
