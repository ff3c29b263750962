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
	// ID is the identity of this start. No other start has it.
	ID string
	// Replica is the identity that starts of one replica share; empty where it is ID.
	Replica string
	// StartedAtMs is when this start began, in Unix milliseconds; 0 where the list does not tell.
	StartedAtMs int64
	Service     string
	// Address is IP:port; after the back end is gone it may belong to another service.
	Address string
	Zone    string
	Slots   int
	// Leaving back ends get no new work.
	Leaving bool
	// Changing back ends get no new work while their stage changes.
	Changing bool
	// Spot back ends are cheap, and the platform may take them away.
	Spot          bool
	ColdRemaining time.Duration
	Stage         Stage
	Models        []string
}

// ExpectedID is the identity by which requests name the back end that is meant.
func (b BackEnd) ExpectedID() string {
	if b.Replica == "" {
		return b.ID
	}
	return b.Replica
}
