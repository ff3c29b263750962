package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// Suspects returns the ledger of suspects: requests that were running when replicas crashed. Callers must not change
// it.
func (s *State) Suspects() *quarantine.Ledger { return s.suspects }

// applyToSuspects applies a command to the replicated ledger of suspects.
func (s *State) applyToSuspects(command *v1.Command) Result {
	if !s.safeguards.IsEnabled(Quarantine) {
		return Result{}
	}
	return ApplySuspectCommand(s.suspects, command)
}

// ApplySuspectCommand applies a command to a ledger of suspects. While the format of such commands is not agreed on,
// the leader applies them to a local ledger that is not replicated.
func ApplySuspectCommand(suspects *quarantine.Ledger, command *v1.Command) Result {
	switch body := command.GetBody().(type) {
	case *v1.Command_RecordReplicaEnds:
		recordReplicaEnds(suspects, body.RecordReplicaEnds)
		return Result{}
	case *v1.Command_GrantTrial:
		return grantTrial(suspects, body.GrantTrial)
	case *v1.Command_ReleaseRequests:
		releaseRequests(suspects, body.ReleaseRequests)
		return Result{}
	default:
		return Result{Err: trace.Wrap(ErrInvalidCommand, "the command is not about requests under which replicas have ended")}
	}
}

// recordReplicaEnds records which requests were running when replicas crashed.
func recordReplicaEnds(suspects *quarantine.Ledger, record *v1.RecordReplicaEnds) {
	for _, end := range record.GetEnds() {
		if signature, valid := quarantine.SignatureFromBytes(end.GetSignature()); valid {
			suspects.RecordCrash(signature, end.GetReplica())
		}
	}
}

// grantTrial permits one more run of a quarantined request.
func grantTrial(suspects *quarantine.Ledger, grant *v1.GrantTrial) Result {
	signature, valid := quarantine.SignatureFromBytes(grant.GetSignature())
	if !valid || !suspects.GrantTrial(signature, grant.GetGrantedBefore()) {
		return Result{Err: trace.Wrap(ErrTrialDenied, "the request is not held, or another trial was granted meanwhile")}
	}
	return Result{}
}

// releaseRequests removes requests from the ledger.
func releaseRequests(suspects *quarantine.Ledger, release *v1.ReleaseRequests) {
	for _, bytes := range release.GetSignatures() {
		if signature, valid := quarantine.SignatureFromBytes(bytes); valid {
			suspects.Release(signature)
		}
	}
}
