package quarantine

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// QuarantineThreshold is how many replicas may end under a request before it is held: one may end by itself
	// while it runs. A third one is spared, and what else runs there (docs/SOAK.md has the figures); a
	// request that two replicas broke off by bad luck waits for its first trial.
	QuarantineThreshold = 2
	// mostSuspects bounds the requests that are remembered.
	mostSuspects = 4096
	// MaxQuarantined bounds the requests that are held, since every relay is told of them.
	MaxQuarantined = 1024
	// mostReplicas bounds the replicas that are remembered of one request.
	mostReplicas = 16
)

// Suspect is a request under which replicas have ended.
type Suspect struct {
	Signature Signature
	// Replicas are hashes of the identities of the replicas' starts.
	Replicas []uint64
	// Trials is how many trials were granted since it is held.
	Trials uint32
}

// IsQuarantined reports whether no replica may be sent the request.
func (s *Suspect) IsQuarantined() bool { return len(s.Replicas) >= QuarantineThreshold }

// Ledger is what is agreed on of requests under which replicas have ended.
type Ledger struct {
	// suspects are in the order in which they were first told of.
	suspects []*Suspect
	known    map[Signature]*Suspect
	held     int
	// version rises with each change; it is not part of what is agreed on.
	version uint64
}

// NewLedger returns the ledger that knows of nothing.
func NewLedger() *Ledger { return &Ledger{known: map[Signature]*Suspect{}} }

// Suspects returns the requests under which replicas have ended, oldest first. They must not be
// changed.
func (l *Ledger) Suspects() []*Suspect { return l.suspects }

// Version differs whenever what the ledger holds differs, within one process.
func (l *Ledger) Version() uint64 { return l.version }

// IsQuarantined reports whether no replica may be sent the request.
func (l *Ledger) IsQuarantined(signature Signature) bool {
	suspect := l.known[signature]
	return suspect != nil && suspect.IsQuarantined()
}

// Suspect returns the request with a signature; nil where nothing is known of it. It must not be changed.
func (l *Ledger) Suspect(signature Signature) *Suspect { return l.known[signature] }

// RecordCrash notes that a replica ended while it ran a request, once however often it is told.
func (l *Ledger) RecordCrash(signature Signature, replica uint64) {
	suspect := l.known[signature]
	if suspect == nil {
		suspect = &Suspect{Signature: signature}
		l.add(suspect)
	}
	if slices.Contains(suspect.Replicas, replica) || len(suspect.Replicas) >= mostReplicas {
		return
	}
	held := suspect.IsQuarantined()
	suspect.Replicas = append(suspect.Replicas, replica)
	if !held && suspect.IsQuarantined() {
		l.held++
	}
	l.version++
	l.bound()
}

// GrantTrial lets a held request run once more; false when it is not held, or another trial was granted
// meanwhile.
func (l *Ledger) GrantTrial(signature Signature, grantedBefore uint32) bool {
	suspect := l.known[signature]
	if suspect == nil || !suspect.IsQuarantined() || suspect.Trials != grantedBefore {
		return false
	}
	suspect.Trials++
	l.version++
	return true
}

// Release forgets a request.
func (l *Ledger) Release(signature Signature) {
	suspect := l.known[signature]
	if suspect == nil {
		return
	}
	if suspect.IsQuarantined() {
		l.held--
	}
	delete(l.known, signature)
	l.suspects = slices.DeleteFunc(l.suspects, func(each *Suspect) bool { return each == suspect })
	l.version++
}

func (l *Ledger) add(suspect *Suspect) {
	l.known[suspect.Signature] = suspect
	l.suspects = append(l.suspects, suspect)
	if suspect.IsQuarantined() {
		l.held++
	}
	l.version++
}

// bound forgets the oldest requests beyond the bounds, those that are not held first.
func (l *Ledger) bound() {
	if l.held > MaxQuarantined {
		l.forgetOldest(true)
	}
	if len(l.suspects) > mostSuspects {
		l.forgetOldest(false)
	}
}

// forgetOldest forgets the oldest request that is held or not.
func (l *Ledger) forgetOldest(held bool) {
	for _, suspect := range l.suspects {
		if suspect.IsQuarantined() == held {
			l.Release(suspect.Signature)
			return
		}
	}
}

// Snapshot returns what is agreed on as records, oldest first.
func (l *Ledger) Snapshot() []*v1.SuspectRequest {
	var records []*v1.SuspectRequest
	for _, suspect := range l.suspects {
		records = append(records, &v1.SuspectRequest{
			Signature: suspect.Signature[:], Replicas: slices.Clone(suspect.Replicas), Trials: suspect.Trials,
		})
	}
	return records
}

// Restore returns the ledger that Snapshot wrote.
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
