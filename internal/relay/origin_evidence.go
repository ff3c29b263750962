package relay

import (
	"strconv"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/relay/origins"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Evidence of the software version that began a stream, besides the outcomes of origins.Find.
const (
	// evidenceOwnRun: this relay has sent the stream's first event. evidenceForwarded: the relay that forwarded the stream knew it.
	evidenceOwnRun    = "own_run"
	evidenceForwarded = "forwarded"
)

// originEvidence says how a relay knows which software version began a stream.
type originEvidence struct {
	source string
	// madeAt is when the evidence was made.
	madeAt time.Duration
}

// evidenceOf returns the evidence of a search for a stream's origin that ended now.
func evidenceOf(found origins.Found, now time.Duration) originEvidence {
	return originEvidence{source: string(found.Outcome), madeAt: now - found.Age}
}

// originEvidence returns how this relay knows which software version began the stream.
func (s *streamReply) originEvidence() originEvidence {
	switch {
	case s.beganAt != nil:
		return originEvidence{source: evidenceOwnRun, madeAt: s.beganAtTime}
	case s.request.forwarded != nil:
		return originEvidence{source: evidenceForwarded, madeAt: s.request.arrivedAt}
	default:
		return s.request.boundBy
	}
}

// softwareName returns the name of a software version as a listed back end of the service gives it; the version's hash if none has it
// any more, and empty for no version and an unknown one.
func (r *Relay) softwareName(service string, version streamorigin.Version) string {
	if version <= streamorigin.Unknown {
		return ""
	}
	for _, backEnd := range r.view.Load().byService[service] {
		if backEnd.version == version {
			return backEnd.Software
		}
	}
	return strconv.FormatUint(uint64(version), 16)
}
