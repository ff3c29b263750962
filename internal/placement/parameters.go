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
	// ZoneTime is the cost of a prompt's way to another zone.
	ZoneTime time.Duration
	// HomeTime is the most by which a prompt's home engine is preferred to others.
	HomeTime time.Duration
	// PromptTargetShare is the part of a route's target that the reading of a prompt may take.
	PromptTargetShare float64
	// LateWeight is how much worse it is to be late than to wait.
	LateWeight int
	// LeastShared is the least shared beginning of a prompt, in tokens, that ties it to the engines
	// that keep it, wherever they are.
	LeastShared int
	// LeastFetch is the least number of tokens that are worth taking from another engine,
	// FetchSetup what taking them costs beside their way.
	LeastFetch int
	FetchSetup time.Duration
	// CopyHarm is what each token costs of which another engine takes a copy: the copy drives
	// other parts out of its memory, which then have to be read again.
	CopyHarm time.Duration
	// ResidualShare is the part of a reading under way that is left on average.
	ResidualShare float64
	// StreamTime is what one running stream of a decoding engine weighs.
	StreamTime time.Duration
	// StreamHarm is how much dearer reading at a decoding engine is for each stream that it
	// holds up, as a part of the reading's time.
	StreamHarm float64
	// DecodePiece is how many tokens of a prompt a decoding engine reads in one step, and
	// DecodeStep how long a step without reading takes about.
	DecodePiece int
	DecodeStep  time.Duration
	// PauseHarm is what it costs for each stream that its engine makes late by reading.
	PauseHarm time.Duration
	// DecodeSlowdown is how much slower a decoding engine reads prompts than a prefill engine.
	DecodeSlowdown int
	// HandOverTime is what handing a prompt from one engine to another takes.
	HandOverTime time.Duration
	// LongestDirect is the longest reading, in tokens, that a decoding engine takes on while a
	// prefill engine could: its streams would pause too long. FewStreams is how many streams may
	// be held up by a longer one.
	LongestDirect, FewStreams int
	// LongestWaitShare is how many targets of its route a prompt may wait to be read: one that
	// waits longer would be late, and those behind it too.
	LongestWaitShare float64
	// SpillShare is the part of its route's target that a request may wait at the engines that
	// keep its prompt before others are asked as well.
	SpillShare float64
	// LongestSlotWait is how many targets of its route a request may wait for a slot.
	LongestSlotWait float64
	// LeastWaitScale and MostWaitScale bound by how much a prompt may wait less, or longer, for
	// the part of it that is kept.
	LeastWaitScale, MostWaitScale float64
	// ComeBackShare is the part of a refused client's time after which it had better come back at
	// the latest, and ComeBackSpread the part of that over which clients are spread.
	ComeBackShare, ComeBackSpread float64
	// LeastUnusable is the least number of tokens that are worth waiting for while the engine
	// reads them for another request, MostWaits how often one request waits.
	LeastUnusable, MostWaits int
	// ShortReading and LongReading divide the prompts of one rank, in tokens: short ones go
	// first, as they wait least and delay others least.
	ShortReading, LongReading int
}

// DefaultParameters are those in use.
func DefaultParameters() Parameters {
	return Parameters{
		ZonePenalty:       1.5,
		ConnectionPenalty: 0.5,
		ZoneTime:          4 * time.Millisecond,
		HomeTime:          15 * time.Millisecond,
		PromptTargetShare: 0.8,
		LateWeight:        3,
		LeastShared:       1_000,
		LeastFetch:        1_000,
		FetchSetup:        12 * time.Millisecond,
		CopyHarm:          6 * time.Microsecond,
		ResidualShare:     0.6,
		StreamTime:        2 * time.Millisecond,
		StreamHarm:        0.1,
		DecodePiece:       512,
		DecodeStep:        6 * time.Millisecond,
		PauseHarm:         15 * time.Millisecond,
		DecodeSlowdown:    2,
		HandOverTime:      25 * time.Millisecond,
		LongestDirect:     2_048,
		FewStreams:        2,
		LongestWaitShare:  1.2,
		SpillShare:        0.2,
		LongestSlotWait:   0.6,
		LeastWaitScale:    0.6,
		MostWaitScale:     1.3,
		ComeBackShare:     1.0 / 3,
		ComeBackSpread:    0.5,
		LeastUnusable:     1_000,
		MostWaits:         3,
		ShortReading:      5_000,
		LongReading:       14_000,
	}
}
