package language

import (
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// fixedView is a View with fixed content.
type fixedView struct {
	revisions []RevisionView
	objects   []*v1.Object
	history   []*v1.Object
	engines   []EngineView
	orders    []OrderView
}

const viewNow = 1_700_000_100_000

func (v *fixedView) NowMs() int64              { return viewNow }
func (v *fixedView) Revisions() []RevisionView { return v.revisions }
func (v *fixedView) Objects() []*v1.Object     { return v.objects }
func (v *fixedView) Engines() []EngineView     { return v.engines }
func (v *fixedView) Orders(name string) (orders []OrderView) {
	for _, order := range v.orders {
		if name == "" || order.Order.GetEngine() == name {
			orders = append(orders, order)
		}
	}
	return orders
}
func (v *fixedView) ObjectHistory(key *v1.ObjectKey) (changes []*v1.Object) {
	for _, object := range v.history {
		if FormatKey(object.GetKey()) == FormatKey(key) {
			changes = append(changes, object)
		}
	}
	return changes
}
func (v *fixedView) Nodes() []NodeView {
	return []NodeView{
		{Name: "controller-a", Program: "controller", RevisionUnknown: true},
		{Name: "gateway-a", Program: "gateway", Zone: "sala-ate", Revision: 3, LastMessageAtMs: viewNow - 500},
		{Name: "gateway-b", Program: "gateway", Zone: "sala-ate", Revision: 2},
	}
}
func (v *fixedView) Members() []MemberView {
	return []MemberView{{Member: &v1.Member{Id: "d1", Address: "10.0.0.1:7400"}, Leader: true, MatchIndex: 9}, {Member: &v1.Member{Id: "d2", Learner: true}}}
}
func (v *fixedView) Claims() []ClaimView {
	return []ClaimView{{Tenant: "minera", Kind: "alert", Key: "k", State: v1.ClaimState_CLAIM_STATE_UNKNOWN}}
}
func (v *fixedView) Suspects() []SuspectView {
	return []SuspectView{{Signature: "0a1b", Crashes: 3, Quarantined: true, Trials: 1}, {Signature: "2c3d", Crashes: 1}}
}
func (v *fixedView) Audit() []AuditRecord {
	return []AuditRecord{{Sequence: 1, AtMs: viewNow - 2000, Operator: "ana", Text: "apply", Outcome: "accepted", Revision: 1}, {Sequence: 2, AtMs: viewNow - 1000, Operator: "beto", Text: "drain engine motor-1", Outcome: "refused"}}
}
func (v *fixedView) Shares() []ShareView {
	return []ShareView{{Tenant: "minera", Gateway: "gateway-a", TokensPerSecond: 500, Concurrency: 3}}
}
func (v *fixedView) PlannerDecisions() []PlannerDecision {
	return []PlannerDecision{{Service: "motor", AtMs: viewNow - 1000, Changes: 0, Reason: "no change pays back"}}
}

// newView returns a small fleet: tenant minera has changed twice, one engine has finished an order to
// decode and another has an outstanding order.
func newView() *fixedView {
	tenant := func(weight uint32, limit uint64, revision uint64) *v1.Object {
		return &v1.Object{
			Key: objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, "minera"), Revision: revision, AcceptedAtMs: viewNow - 100_000 + int64(revision)*1000,
			Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{Weight: weight, TokensPerSecond: limit, CacheSalt: "secret-salt", ApiKeyHashes: []string{strings.Repeat("ab", 32)}}},
		}
	}
	policy := &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_POLICY, "calm"), Revision: 1, Spec: &v1.Object_Policy{Policy: &v1.Policy{Service: "motor", ChangePrice: 3}}}
	service := &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_SERVICE, "motor"), Revision: 1, Spec: &v1.Object_Service{Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: "emparejo"}}}
	adapter := &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_ADAPTER, "minas"), Revision: 2, AcceptedAtMs: viewNow - 98_000, Spec: &v1.Object_Adapter{Adapter: &v1.Adapter{Model: "emparejo", Version: "2"}}}
	setRole := func(engine string, sequence uint64, role v1.Role, reason string) *v1.Order {
		return &v1.Order{Engine: engine, Epoch: 4, Sequence: sequence, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE, Role: role, Reason: reason, IssuedAtMs: viewNow - 5000}
	}
	outstanding := setRole("motor-2", 8, v1.Role_ROLE_PREFILL, "prompts wait")
	drain := &v1.Order{Engine: "motor-3", Epoch: 4, Sequence: 6, Action: v1.OrderAction_ORDER_ACTION_DRAIN, Reason: "operator ana: drain engine motor-3"}
	return &fixedView{
		revisions: []RevisionView{
			{Revision: 1, ChangeNumber: 1, Operator: "ana", SourceRevision: "abc123", Objects: 3, AcceptedAtMs: viewNow - 99_000},
			{Revision: 2, ChangeNumber: 2, Operator: "beto", Objects: 1, AcceptedAtMs: viewNow - 98_000},
			{Revision: 3, ChangeNumber: 3, Operator: "ana", SourceRevision: "def456", Objects: 1, AcceptedAtMs: viewNow - 97_000},
		},
		objects: []*v1.Object{tenant(3, 500, 3), adapter, service, policy},
		history: []*v1.Object{tenant(2, 100, 1), tenant(2, 500, 2), tenant(3, 500, 3)},
		engines: []EngineView{
			{State: &v1.EngineState{Engine: "motor-1", Service: "motor", Zone: "sala-ate", Role: v1.Role_ROLE_DECODE, Model: "emparejo", Version: "1", Adapters: []string{"minas", "selva"}, AdapterVersions: map[string]string{"minas": "1"}}, ServingState: v1.BackEndState_BACK_END_STATE_SERVING, RoleSinceMs: viewNow - 4000, Load: &v1.BackEndLoad{Running: 7}, LoadAgeMs: 1500},
			{State: &v1.EngineState{Engine: "motor-2", Service: "motor", Zone: "sala-callao", Role: v1.Role_ROLE_DECODE}, ServingState: v1.BackEndState_BACK_END_STATE_CHANGING, OutstandingOrder: outstanding, BlockedChange: "load adapter minas 2: 2 of 2 loads are under way"},
			{State: &v1.EngineState{Engine: "motor-3", Service: "motor", Zone: "sala-callao", Role: v1.Role_ROLE_MIXED}, ServingState: v1.BackEndState_BACK_END_STATE_CHANGING},
		},
		orders: []OrderView{
			{Order: setRole("motor-1", 7, v1.Role_ROLE_DECODE, "output waits"), Outcome: v1.OrderOutcome_ORDER_OUTCOME_DONE, FinishedAtMs: viewNow - 4000},
			{Order: outstanding},
			{Order: drain, Outcome: v1.OrderOutcome_ORDER_OUTCOME_DONE},
		},
	}
}
