package control

import (
	"cmp"
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// view provides one controller's state to the operators' language.
type view struct{ core *Core }

var _ language.View = (*view)(nil)

// NowMs implements language.View.
func (v *view) NowMs() int64 { return v.core.wallMs() }

// Revisions implements language.View.
func (v *view) Revisions() []language.RevisionView {
	changes := v.core.state.Changes()
	revisions := make([]language.RevisionView, len(changes))
	for i, change := range changes {
		revisions[i] = language.RevisionView{
			Revision: change.Revision, ChangeNumber: change.ChangeNumber, Operator: change.Operator,
			SourceRevision: change.SourceRevision, AcceptedAtMs: change.AcceptedAtMs, Objects: int(change.Objects),
		}
	}
	return revisions
}

// Objects implements language.View.
func (v *view) Objects() []*v1.Object { return v.core.state.Objects() }

// ObjectHistory implements language.View.
func (v *view) ObjectHistory(key *v1.ObjectKey) []*v1.Object {
	return v.core.state.ObjectHistory(controlstate.KeyOf(key))
}

// Engines implements language.View.
func (v *view) Engines() []language.EngineView {
	records := v.core.state.Engines()
	engines := make([]language.EngineView, len(records))
	for i, record := range records {
		name := record.State.Engine
		engine := language.EngineView{
			State: record.State, RoleSinceMs: record.RoleSinceMs, OutstandingOrder: record.Outstanding,
			ServingState:  v.core.tracker.BackEndState(v.core.now, name),
			PinnedRole:    v.core.pinOf(name).GetPin().GetRole(),
			BlockedChange: v.core.deferredOrders[name],
		}
		if machine := v.core.tracker.Machine(name); machine != nil && machine.Load != nil {
			engine.Load = machine.BackEndLoad()
			engine.LoadAgeMs = machine.LoadAge(v.core.now).Milliseconds()
		}
		engines[i] = engine
	}
	return engines
}

// Nodes implements language.View.
func (v *view) Nodes() []language.NodeView {
	var nodes []language.NodeView
	for _, gateway := range v.core.tracker.Gateways() {
		nodes = append(nodes, language.NodeView{
			Name: gateway.Name, Program: "gateway", Zone: gateway.Zone, Address: gateway.Address,
			Revision: gateway.Revision, Leaving: gateway.Leaving, Incarnation: gateway.Incarnation,
			LastMessageAtMs: v.core.config.WallOrigin + gateway.LastHeartbeatAt.Milliseconds(),
		})
	}
	for _, member := range v.Members() {
		node := language.NodeView{
			Name: member.Member.Name, Program: "controller", Zone: member.Member.Zone,
			Address: member.Member.Address, LastMessageAtMs: member.LastMessageAtMs,
		}
		revision, known := v.core.revisions.revisionAt(member.MatchIndex)
		node.Revision, node.RevisionUnknown = revision, !known
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b language.NodeView) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// Members implements language.View. It shows the committed membership: a vote that is not committed may be lost with the
// leader.
func (v *view) Members() []language.MemberView {
	status := v.core.consensus.Status()
	var members []language.MemberView
	for _, member := range status.CommittedMembership.GetMembers() {
		row := language.MemberView{Member: member, Leader: member.GetId() == status.Leader}
		index := slices.IndexFunc(status.Members, func(other consensus.MemberStatus) bool { return other.Member.GetId() == member.GetId() })
		if index >= 0 {
			row.MatchIndex = status.Members[index].Match
			row.LastMessageAtMs = v.core.wallMs() - status.Members[index].Silence.Milliseconds()
		}
		members = append(members, row)
	}
	return members
}

// Orders implements language.View.
func (v *view) Orders(engine string) []language.OrderView {
	var orders []language.OrderView
	for _, ended := range v.core.state.Orders(engine) {
		orders = append(orders, language.OrderView{
			Order: ended.Order, Outcome: ended.Outcome, Detail: ended.Detail, FinishedAtMs: ended.FinishedAtMs,
		})
	}
	for _, record := range v.core.state.Engines() {
		if record.Outstanding != nil && (engine == "" || record.State.Engine == engine) {
			orders = append(orders, language.OrderView{Order: record.Outstanding})
		}
	}
	return orders
}

// Claims implements language.View.
func (v *view) Claims() []language.ClaimView {
	records := v.core.state.Claims()
	claims := make([]language.ClaimView, len(records))
	for i, record := range records {
		claims[i] = language.ClaimView{
			Tenant: record.Tenant, Kind: record.Kind, Key: record.Key, Gateway: record.Gateway,
			State: record.State, ExpiresAtMs: record.ExpiresAtMs,
		}
	}
	return claims
}

// Suspects implements language.View.
func (v *view) Suspects() []language.SuspectView {
	var suspects []language.SuspectView
	for _, suspect := range v.core.suspects().Suspects() {
		suspects = append(suspects, language.SuspectView{
			Signature: suspect.Signature.String(), Crashes: len(suspect.Replicas), Quarantined: suspect.IsQuarantined(), Trials: int(suspect.Trials),
		})
	}
	return suspects
}

// Audit implements language.View.
func (v *view) Audit() []language.AuditRecord {
	records := v.core.state.Audit()
	audit := make([]language.AuditRecord, len(records))
	for i, record := range records {
		audit[i] = language.AuditRecord{
			Sequence: record.Sequence, AtMs: record.AtMs, Operator: record.Operator, RequestID: record.RequestId,
			Text: record.Text, Outcome: record.Outcome, Revision: record.Revision, SourceRevision: record.SourceRevision,
		}
	}
	return audit
}

// Shares implements language.View.
func (v *view) Shares() []language.ShareView {
	if !v.core.leading {
		return nil
	}
	granted := v.core.divider.ActiveGrants(v.core.now)
	shares := make([]language.ShareView, len(granted))
	for i, share := range granted {
		shares[i] = language.ShareView{
			Tenant: share.Tenant, Gateway: share.Gateway,
			TokensPerSecond: share.TokensPerSecond, Concurrency: share.Concurrency,
		}
	}
	return shares
}

// PlannerDecisions implements language.View.
func (v *view) PlannerDecisions() []language.PlannerDecision {
	var reasons []language.PlannerDecision
	for _, service := range sortedKeys(v.core.planning.reasons) {
		decision := v.core.planning.reasons[service]
		reasons = append(reasons, language.PlannerDecision{
			Service: service, AtMs: v.core.config.WallOrigin + decision.at.Milliseconds(),
			Changes: decision.changes, Reason: decision.reason,
		})
	}
	return reasons
}
