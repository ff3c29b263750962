package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// Suspects is what is agreed on of requests under which replicas have ended. It must not be changed.
func (s *State) Suspects() *quarantine.Ledger { return s.suspects }

// recordReplicaEnds notes under which requests replicas have ended.
func (s *State) recordReplicaEnds(record *v1.RecordReplicaEnds) Result {
	if !s.safeguards.On(Quarantine) {
		return Result{}
	}
	for _, end := range record.GetEnds() {
		if signature, valid := quarantine.SignatureFrom(end.GetSignature()); valid {
			s.suspects.Record(signature, end.GetReplica())
		}
	}
	return Result{}
}

// grantTrial lets a held request run once more.
func (s *State) grantTrial(grant *v1.GrantTrial) Result {
	signature, valid := quarantine.SignatureFrom(grant.GetSignature())
	if !valid || !s.suspects.Grant(signature, grant.GetGrantedBefore()) {
		return Result{Err: trace.Wrap(ErrNoTrial, "the request is not held, or another trial was granted meanwhile")}
	}
	return Result{}
}

// releaseRequests forgets requests.
func (s *State) releaseRequests(release *v1.ReleaseRequests) Result {
	for _, bytes := range release.GetSignatures() {
		if signature, valid := quarantine.SignatureFrom(bytes); valid {
			s.suspects.Release(signature)
		}
	}
	return Result{}
}
