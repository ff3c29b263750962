package serving

import "time"

// Stage is the part of the work that an engine takes on.
type Stage int

// Stages of back ends.
const (
	// StageWhole back ends are not engines: they answer requests whole.
	StageWhole Stage = iota
	// StagePrefill engines read prompts for others.
	StagePrefill
	// StageDecode engines generate, and may read prompts themselves.
	StageDecode
)

// BackEnd is one start of one replica.
type BackEnd struct {
	// ID is the identity of this start.
	ID      string
	Service string
	// Address is IP:port; after the back end is gone it may belong to another service.
	Address string
	Zone    string
	Slots   int
	// Leaving back ends get no new work.
	Leaving bool
	// Changing back ends get no new work while their stage changes.
	Changing bool
	// Spot back ends are cheap, and the platform may take them away.
	Spot   bool
	Cold   time.Duration
	Stage  Stage
	Models []string
}
