package controlstate

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/usage"
)

// State is the replicated state of the controllers.
type State struct {
	safeguards   safeguard.Set
	appliedIndex uint64
	agreed       agreement

	// Configuration.
	revision  uint64
	catalogue *catalogue
	history   recent[*v1.Object]
	changes   *changeNumbers
	requests  *requestRecords

	audit         recent[*v1.AuditRecord]
	auditSequence uint64

	// Authority over engines.
	epoch   uint64
	leader  string
	engines map[string]*v1.EngineRecord
	orders  recent[*v1.OrderRecord]

	claims *claimTable

	document *v1.Document
	// streamRoutes are those of the document.
	streamRoutes *v1.StreamRoutes

	usage *usage.Ledger

	// replicas are the agreed numbers of replicas, by service.
	replicas map[string]*v1.SetReplicas

	// suspects are the requests that were running when replicas crashed.
	suspects *quarantine.Ledger

	// servedVersions are the software versions that may have begun streams; nil before the first record.
	servedVersions *v1.ServedVersions
}

// New returns the state before the first command.
func New(safeguards safeguard.Set) *State {
	return &State{
		safeguards: safeguards,
		catalogue:  newCatalogue(),
		history:    newRecent[*v1.Object](MaximumObjectVersions),
		changes:    newChangeNumbers(),
		requests:   newRequestRecords(),
		audit:      newRecent[*v1.AuditRecord](MaximumAuditRecords),
		engines:    map[string]*v1.EngineRecord{},
		orders:     newRecent[*v1.OrderRecord](MaximumOrderRecords),
		claims:     newClaimTable(),
		usage:      usage.NewLedger(),
		replicas:   map[string]*v1.SetReplicas{},
		suspects:   quarantine.NewLedger(),
	}
}

// Result is the result of one command. Which field is set depends on the command; Err is
// set when the command had no effect.
type Result struct {
	// Apply is the answer to ApplyDeclaration.
	Apply *v1.ApplyResponse
	// Claim is the answer to BeginClaim.
	Claim *v1.BeginClaimResponse
	// Order is the order as issued, aborted or finished.
	Order *v1.Order
	// Answer is the answer to an operator's command that is not a declaration.
	Answer string
	Err    error
}

// Apply applies the command at the log index. Indexes must increase; a command at or below
// the applied index has no effect.
func (s *State) Apply(index uint64, command *v1.Command) Result {
	if index <= s.appliedIndex {
		return Result{Err: trace.Wrap(ErrInvalidCommand, "log index %d was applied before", index)}
	}
	s.appliedIndex = index
	if err := s.checkFormat(index, command); err != nil {
		return Result{Err: err}
	}
	s.applyServedVersions(command)
	at := command.GetProposedAtMs()
	switch body := command.GetBody().(type) {
	case *v1.Command_ApplyDeclaration:
		return Result{Apply: s.applyDeclaration(at, body.ApplyDeclaration)}
	case *v1.Command_BeginAuthority:
		return s.beginAuthority(body.BeginAuthority)
	case *v1.Command_IssueOrder:
		return s.issueOrder(index, at, body.IssueOrder)
	case *v1.Command_AbortOrder:
		return s.abortOrder(index, at, body.AbortOrder)
	case *v1.Command_FinishOrder:
		return s.finishOrder(at, body.FinishOrder)
	case *v1.Command_RecordEngine:
		return s.recordEngine(at, body.RecordEngine)
	case *v1.Command_BeginClaim:
		return s.beginClaim(at, body.BeginClaim)
	case *v1.Command_FinishClaim:
		return Result{Err: s.claims.finish(body.FinishClaim)}
	case *v1.Command_ExpireClaims:
		s.claims.expire(body.ExpireClaims.GetBeforeMs())
		return Result{}
	case *v1.Command_LoseGateway:
		s.claims.loseGateway(body.LoseGateway.GetGateway(), body.LoseGateway.GetIncarnation())
		return Result{}
	case *v1.Command_PutDocument:
		return s.putDocument(body.PutDocument)
	case *v1.Command_AgreeFormat:
		return s.agree(index, body.AgreeFormat)
	case *v1.Command_RecordUsage:
		for _, report := range body.RecordUsage.GetReports() {
			s.usage.RecordReport(report)
		}
		return Result{}
	case *v1.Command_CloseUsage:
		s.usage.CloseThrough(usage.Window(body.CloseUsage.GetThrough()))
		return Result{}
	case *v1.Command_SettleUsage:
		s.usage.Settle(usage.Window(body.SettleUsage.GetWindow()))
		return Result{}
	case *v1.Command_SetReplicas:
		s.replicas[body.SetReplicas.GetService()] = body.SetReplicas
		return Result{}
	case *v1.Command_RecordReplicaEnds, *v1.Command_GrantTrial, *v1.Command_ReleaseRequests:
		return s.applyToSuspects(command)
	case *v1.Command_RecordRequest:
		return s.recordRequest(at, body.RecordRequest)
	default:
		return Result{Err: trace.Wrap(ErrInvalidCommand, "log index %d holds no command", index)}
	}
}

// AppliedIndex returns the log index of the last applied command.
func (s *State) AppliedIndex() uint64 { return s.appliedIndex }

// HasReplicaTargets reports whether a number of replicas has been agreed for any service.
func (s *State) HasReplicaTargets() bool { return len(s.replicas) > 0 }

// ReplicaTarget returns the agreed numbers of replicas of a service, or nil before the first. Callers must not change
// it.
func (s *State) ReplicaTarget(service string) *v1.SetReplicas { return s.replicas[service] }

// Usage returns the ledger of the tenants' usage. Callers must not change it.
func (s *State) Usage() *usage.Ledger { return s.usage }

// Revision returns the revision of the configuration in force.
func (s *State) Revision() uint64 { return s.revision }

// Authority returns the authority epoch in force and the leader that began it.
func (s *State) Authority() (epoch uint64, leader string) { return s.epoch, s.leader }
