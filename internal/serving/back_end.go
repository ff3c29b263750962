package serving

import "time"

// Stage is the part of a request that an engine serves.
type Stage int

// Stages of back ends.
const (
	// StageWhole back ends are not engines: they answer whole requests.
	StageWhole Stage = iota
	// StagePrefill engines prefill prompts for other engines.
	StagePrefill
	// StageDecode engines generate, and may prefill prompts themselves.
	StageDecode
)

// BackEnd is one incarnation of a replica.
type BackEnd struct {
	// ID identifies this incarnation; no other one has it.
	ID string
	// Replica is the identity that the incarnations of one replica share; empty if it equals ID.
	Replica string
	// StartedAtMs is when this incarnation started, in Unix milliseconds; 0 if the list does not contain it.
	StartedAtMs int64
	Service     string
	// Address is IP:port. Once the back end is gone, it may belong to another service.
	Address string
	Zone    string
	Slots   int
	// Leaving back ends get no new work.
	Leaving bool
	// Changing back ends get no new work while their stage changes.
	Changing bool
	// Spot back ends are cheaper, and the platform may take them away. ColdRemaining is how much longer a back end is
	// slow after its start.
	Spot          bool
	ColdRemaining time.Duration
	Stage         Stage
	Models        []string
	// Software is the version of the replica's software, not of its weights; empty if it is unknown. Versions have no order.
	Software string
}

// ExpectedID returns the identity by which requests name the intended back end.
func (b BackEnd) ExpectedID() string {
	if b.Replica == "" {
		return b.ID
	}
	return b.Replica
}
