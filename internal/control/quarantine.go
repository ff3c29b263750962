package control

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// ReplicaCrashesReceived reports replicas that crashed, the requests that were running on them, and the shared parts of their
// prompts. The answer is a ReportReplicaEndsResponse once the report is recorded.
type ReplicaCrashesReceived struct {
	Call        CallID
	Crashes     []*v1.ReplicaEnd
	PartCrashes []*v1.ReplicaEnd
}

// TrialRequested requests a trial, which is one more run of a quarantined request. The answer is a BeginTrialResponse.
type TrialRequested struct {
	Call      CallID
	Signature []byte
}

// RequestReleased reports that a quarantined request ran without a crash. The answer is a
// ReleaseRequestResponse.
type RequestReleased struct {
	Call      CallID
	Signature []byte
}

func (ReplicaCrashesReceived) isInput() {}
func (TrialRequested) isInput()         {}
func (RequestReleased) isInput()        {}

// maximumCrashesPerReport is the maximum number of crashes in one report; further ones are ignored, and reported again.
const maximumCrashesPerReport = 4096

// requestQuarantine tracks the requests that are quarantined because replicas crashed under them.
type requestQuarantine struct {
	trials *quarantine.TrialScheduler
	// quarantined are the quarantined requests as sent to nodes; version is a hash of them, or 0 when there are none.
	quarantined []*v1.HeldRequest
	version     uint64
	// parts are the suspected and the quarantined parts of prompts as sent to nodes, under the same version.
	parts []*v1.SuspectPart
	// evaluator decides which suspected parts are quarantined.
	evaluator *quarantine.PartEvaluator
	// ledger and ledgerVersion identify the ledger of suspects from which quarantined was built.
	ledger        *quarantine.Ledger
	ledgerVersion uint64
}

func newRequestQuarantine() requestQuarantine {
	return requestQuarantine{trials: quarantine.NewTrialScheduler(), evaluator: quarantine.NewPartEvaluator()}
}

// handleReplicaCrashes records a node's report of crashed replicas.
func (c *Core) handleReplicaCrashes(received ReplicaCrashesReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	crashes := received.Crashes[:min(len(received.Crashes), maximumCrashesPerReport)]
	ends := slices.Concat(crashes, c.admitPartCrashes(received.PartCrashes))
	command := &v1.Command{Body: &v1.Command_RecordReplicaEnds{RecordReplicaEnds: &v1.RecordReplicaEnds{Ends: ends}}}
	c.applySuspectChange(command, received.Call, func(core *Core, _ controlstate.Result) {
		core.answer(Answer{Call: received.Call, Response: core.replicaCrashesResponse(crashes)})
	})
}

// replicaCrashesResponse returns which of the reported requests are quarantined now.
func (c *Core) replicaCrashesResponse(crashes []*v1.ReplicaEnd) *v1.ReportReplicaEndsResponse {
	response := &v1.ReportReplicaEndsResponse{}
	for _, crash := range crashes {
		if signature, valid := quarantine.SignatureFromBytes(crash.GetSignature()); valid && c.suspects().IsQuarantined(signature) {
			response.Held = append(response.Held, crash.GetSignature())
		}
	}
	return response
}

// handleTrialRequested grants a trial that is due. The trial is recorded before it is granted, so that
// the next leader knows of it.
func (c *Core) handleTrialRequested(received TrialRequested) {
	if !c.requireLeader(received.Call) {
		return
	}
	suspect := c.findDueTrial(received.Signature)
	if suspect == nil {
		c.answer(Answer{Call: received.Call, Response: &v1.BeginTrialResponse{}})
		return
	}
	grant := &v1.GrantTrial{Signature: received.Signature, GrantedBefore: suspect.Trials}
	c.applySuspectChange(&v1.Command{Body: &v1.Command_GrantTrial{GrantTrial: grant}}, received.Call, func(core *Core, result controlstate.Result) {
		core.answer(Answer{Call: received.Call, Response: &v1.BeginTrialResponse{Granted: result.Err == nil}})
	})
}

// findDueTrial returns the quarantined request whose signature has the given bytes if a trial of it is due; nil otherwise.
func (c *Core) findDueTrial(bytes []byte) *quarantine.Suspect {
	signature, valid := quarantine.SignatureFromBytes(bytes)
	if !valid {
		return nil
	}
	c.quarantine.trials.Observe(c.now, c.suspects())
	suspect := c.suspects().Suspect(signature)
	if suspect == nil || !c.quarantine.trials.TrialDue(c.now, suspect) {
		return nil
	}
	return suspect
}

// handleRequestReleased removes a request that ran without a crash from the ledger.
func (c *Core) handleRequestReleased(received RequestReleased) {
	if !c.requireLeader(received.Call) {
		return
	}
	if signature, _ := quarantine.SignatureFromBytes(received.Signature); c.suspects().Suspect(signature) == nil {
		c.answer(Answer{Call: received.Call, Response: &v1.ReleaseRequestResponse{}}) // another node has reported the same
		return
	}
	c.applySuspectChange(releaseCommand(received.Signature), received.Call, func(core *Core, _ controlstate.Result) {
		core.answer(Answer{Call: received.Call, Response: &v1.ReleaseRequestResponse{}})
	})
}

func releaseCommand(signatures ...[]byte) *v1.Command {
	return &v1.Command{Body: &v1.Command_ReleaseRequests{ReleaseRequests: &v1.ReleaseRequests{Signatures: signatures}}}
}

// releaseForOperator removes from the ledger a request that an operator names by its signature.
func (c *Core) releaseForOperator(received ExecuteReceived, content string) {
	signature, valid := quarantine.ParseSignature(content)
	if !valid || c.suspects().Suspect(signature) == nil {
		c.refuseAudited(received, trace.NotFound("no replica has ended under request %q; see `show suspects`", content))
		return
	}
	c.applySuspectChange(releaseCommand(signature[:]), received.Call, func(core *Core, _ controlstate.Result) {
		answer := "request " + content + " may run again"
		core.recordCommand(received, answer)
		core.answerMessage(received.Call, answer)
	})
}

// tickQuarantine checks for which quarantined requests a trial run is due, and updates the list of quarantined requests
// for nodes. Once in each housekeepInterval it removes the requests from the ledger whose entries have not changed for
// their retention time.
func (c *Core) tickQuarantine() {
	ledger := c.suspects()
	c.quarantine.trials.Observe(c.now, ledger)
	c.quarantineConfirmedParts(ledger)
	c.quarantine.rebuild(c, ledger)
	if !due(c.now, &c.duties.suspects, housekeepInterval) {
		return
	}
	var forgotten [][]byte
	for _, signature := range c.quarantine.trials.ExpiredEntries(c.now, ledger) {
		forgotten = append(forgotten, signature[:])
	}
	if len(forgotten) > 0 {
		c.applySuspectChangeWithoutCall(releaseCommand(forgotten...))
	}
}

// quarantinedRequests returns the quarantined requests as sent to nodes, and their version.
func (c *Core) quarantinedRequests() (quarantined []*v1.HeldRequest, version uint64) {
	ledger := c.suspects()
	if c.quarantine.ledger != ledger || c.quarantine.ledgerVersion != ledger.Version() {
		c.quarantine.rebuild(c, ledger)
	}
	return c.quarantine.quarantined, c.quarantine.version
}

// rebuild makes the lists of quarantined requests and of suspect parts from the ledger.
func (q *requestQuarantine) rebuild(core *Core, ledger *quarantine.Ledger) {
	q.ledger, q.ledgerVersion = ledger, ledger.Version()
	q.quarantined = nil
	sum := xxhash.New()
	for _, suspect := range ledger.Suspects() {
		if suspect.Signature.IsPart() || !suspect.IsQuarantined() {
			continue
		}
		request := &v1.HeldRequest{Signature: suspect.Signature[:], TrialDue: core.leading && q.trials.TrialDue(core.now, suspect)}
		q.quarantined = append(q.quarantined, request)
		_, _ = sum.Write(request.Signature) // a hash never fails
		if request.TrialDue {
			_, _ = sum.Write([]byte{1})
		}
	}
	q.parts = q.suspectParts(core, ledger)
	for _, part := range q.parts {
		_, _ = sum.Write(part.GetSignature())
		_, _ = sum.Write([]byte{partState(part)})
	}
	if q.version = 0; len(q.quarantined)+len(q.parts) > 0 {
		q.version = max(sum.Sum64(), 1)
	}
}
