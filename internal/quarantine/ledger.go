package quarantine

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// QuarantineThreshold is the number of replicas that must crash under a request before it is quarantined. One replica may
	// crash by coincidence. A third replica, and everything else that runs there, is spared; a request that was running on two
	// replicas when they crashed for another reason waits for its first trial.
	QuarantineThreshold = 2
	// maximumSuspects limits the stored requests.
	maximumSuspects = 4096
	// MaximumQuarantined limits the quarantined requests, since the list is sent to every relay.
	MaximumQuarantined = 1024
	// maximumReplicas limits the crashed replicas stored per request.
	maximumReplicas = 16
)

// Suspect is a request, or a part of prompts, under which replicas have crashed.
type Suspect struct {
	Signature Signature
	// Replicas are hashes of the identities of the replicas' incarnations.
	Replicas []uint64
	// Trials is the number of trials granted during the quarantine. For a part, the first one is the decision to quarantine it,
	// see PartEvaluator.
	Trials uint32
}

// IsQuarantined reports whether the request, or requests with the part, must not be sent to any replica.
func (s *Suspect) IsQuarantined() bool {
	if s.Signature.IsPart() {
		return s.Trials > 0
	}
	return s.hasReachedThreshold()
}

// hasReachedThreshold reports whether the ledger grants trials for the entry and counts it towards MaximumQuarantined. Builds that do not
// know parts apply the same commands, so that the ledger itself treats the entries of parts like those of requests.
func (s *Suspect) hasReachedThreshold() bool { return len(s.Replicas) >= QuarantineThreshold }

// grantedTrials returns the number of attempts that were granted during the quarantine.
func (s *Suspect) grantedTrials() uint32 {
	if s.Signature.IsPart() && s.Trials > 0 {
		return s.Trials - 1
	}
	return s.Trials
}

// Ledger is the replicated record of requests, and of parts of prompts, under which replicas have crashed.
type Ledger struct {
	// suspects are in the order in which they were first reported.
	suspects    []*Suspect
	bySignature map[Signature]*Suspect
	// quarantinedCount is the number of entries that have reached the threshold.
	quarantinedCount int
	// version increases with each change; it is not part of the replicated state.
	version uint64
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{bySignature: map[Signature]*Suspect{}} }

// Suspects returns the requests under which replicas have crashed, oldest first. The caller must not
// modify them.
func (l *Ledger) Suspects() []*Suspect { return l.suspects }

// Version returns a number that changes with the content of the ledger, within one process.
func (l *Ledger) Version() uint64 { return l.version }

// IsQuarantined reports whether the request must not be sent to any replica.
func (l *Ledger) IsQuarantined(signature Signature) bool {
	suspect := l.bySignature[signature]
	return suspect != nil && suspect.IsQuarantined()
}

// Suspect returns the request with a signature, nil if it is unknown. The caller must not modify it.
func (l *Ledger) Suspect(signature Signature) *Suspect { return l.bySignature[signature] }

// RecordCrash records that a replica crashed while it ran a request. Repeated reports count once.
func (l *Ledger) RecordCrash(signature Signature, replica uint64) {
	suspect := l.bySignature[signature]
	if suspect == nil {
		suspect = &Suspect{Signature: signature}
		l.add(suspect)
	}
	if slices.Contains(suspect.Replicas, replica) || len(suspect.Replicas) >= maximumReplicas {
		return
	}
	hadReachedThreshold := suspect.hasReachedThreshold()
	suspect.Replicas = append(suspect.Replicas, replica)
	if !hadReachedThreshold && suspect.hasReachedThreshold() {
		l.quarantinedCount++
	}
	l.version++
	l.enforceBounds()
}

// GrantTrial grants one more run of a quarantined request. grantedBefore is the number of trials that the caller knows
// of. It returns false if the request is not quarantined or if another trial has been granted in the meantime.
func (l *Ledger) GrantTrial(signature Signature, grantedBefore uint32) bool {
	suspect := l.bySignature[signature]
	if suspect == nil || !suspect.hasReachedThreshold() || suspect.Trials != grantedBefore {
		return false
	}
	suspect.Trials++
	l.version++
	return true
}

// Release deletes a request from the ledger, which ends its quarantine.
func (l *Ledger) Release(signature Signature) {
	suspect := l.bySignature[signature]
	if suspect == nil {
		return
	}
	if suspect.hasReachedThreshold() {
		l.quarantinedCount--
	}
	delete(l.bySignature, signature)
	l.suspects = slices.DeleteFunc(l.suspects, func(each *Suspect) bool { return each == suspect })
	l.version++
}

func (l *Ledger) add(suspect *Suspect) {
	l.bySignature[suspect.Signature] = suspect
	l.suspects = append(l.suspects, suspect)
	if suspect.hasReachedThreshold() {
		l.quarantinedCount++
	}
	l.version++
}

// enforceBounds removes the oldest requests beyond the limits: first quarantined ones beyond MaximumQuarantined, then
// others.
func (l *Ledger) enforceBounds() {
	if l.quarantinedCount > MaximumQuarantined {
		l.removeOldest(true)
	}
	if len(l.suspects) > maximumSuspects {
		l.removeOldest(false)
	}
}

// removeOldest removes the oldest request that is quarantined, or the oldest that is not.
func (l *Ledger) removeOldest(quarantined bool) {
	for _, suspect := range l.suspects {
		if suspect.hasReachedThreshold() == quarantined {
			l.Release(suspect.Signature)
			return
		}
	}
}

// Snapshot returns the replicated state as records, oldest first.
func (l *Ledger) Snapshot() []*v1.SuspectRequest {
	var records []*v1.SuspectRequest
	for _, suspect := range l.suspects {
		records = append(records, &v1.SuspectRequest{
			Signature: suspect.Signature[:], Replicas: slices.Clone(suspect.Replicas), Trials: suspect.Trials,
		})
	}
	return records
}

// Restore returns the Ledger that was stored by Snapshot.
func Restore(records []*v1.SuspectRequest) *Ledger {
	ledger := NewLedger()
	for _, record := range records {
		signature, valid := SignatureFromBytes(record.GetSignature())
		if !valid {
			continue
		}
		ledger.add(&Suspect{Signature: signature, Replicas: slices.Clone(record.GetReplicas()), Trials: record.GetTrials()})
	}
	return ledger
}
