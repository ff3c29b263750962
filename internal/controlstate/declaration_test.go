package controlstate

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

const (
	accepted    = v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	unchanged   = v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
	numberTaken = v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN
	stale       = v1.ApplyOutcome_APPLY_OUTCOME_STALE
	invalid     = v1.ApplyOutcome_APPLY_OUTCOME_INVALID
)

func TestOnlyOneOfTwoEqualChangeNumbersIsAccepted(t *testing.T) {
	s := newTestState(t)
	first := s.submit(&v1.ApplyDeclaration{Operator: "alice", RequestId: "a", ChangeNumber: 7, Objects: baseObjects()})
	require.Equal(t, accepted, first.Outcome, first.Detail)
	for _, objects := range [][]*v1.Object{baseObjects(), {modelObject("other", "2")}} {
		second := s.submit(&v1.ApplyDeclaration{Operator: "bob", ChangeNumber: 7, Objects: objects})
		require.Equal(t, numberTaken, second.Outcome)
		require.Equal(t, "alice", second.Winner)
		require.Equal(t, first.Revision, second.WinnerRevision)
	}
	require.Equal(t, uint64(1), s.Revision())
	require.Equal(t, uint64(8), s.declare("", 0, modelObject("other", "2")).ChangeNumber, "the next unused number")
}

func TestDroppedChangeNumbersStayTaken(t *testing.T) {
	s := newTestState(t)
	for i := range MaximumChangeRecords + 10 {
		require.Equal(t, accepted, s.declare("", uint64(2*i+2), modelObject("base", fmt.Sprint(i))).Outcome)
	}
	for _, number := range []uint64{1, 2, 3, 20} {
		answer := s.declare("", number, modelObject("base", "late"))
		require.Equal(t, numberTaken, answer.Outcome, "number %d", number)
		require.Empty(t, answer.Winner)
	}
	require.Equal(t, accepted, s.declare("", 23, modelObject("base", "late")).Outcome, "an unused number above the dropped ones")
}

func TestResendGetsTheFirstAnswer(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*testState)
		first   *v1.ApplyDeclaration
		outcome v1.ApplyOutcome
	}{
		{"accepted", func(*testState) {}, &v1.ApplyDeclaration{Objects: baseObjects()}, accepted},
		{"unchanged", func(s *testState) { s.accept(baseObjects()...) }, &v1.ApplyDeclaration{Objects: baseObjects()}, unchanged},
		{"stale", func(s *testState) { s.accept(baseObjects()...) },
			&v1.ApplyDeclaration{BaseRevision: 9, Objects: baseObjects()}, stale},
		{"invalid", func(*testState) {}, &v1.ApplyDeclaration{Objects: []*v1.Object{serviceObject("s", "none")}}, invalid},
		{"number taken", func(s *testState) { s.declare("", 4, modelObject("base", "0")) },
			&v1.ApplyDeclaration{ChangeNumber: 4, Objects: baseObjects()}, numberTaken},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newTestState(t)
			test.prepare(s)
			test.first.Operator, test.first.RequestId = "alice", "request"
			first := s.submit(test.first)
			require.Equal(t, test.outcome, first.Outcome, first.Detail)
			s.accept(modelObject("base", "moved on"), modelObject("none", "1"))
			data, err := s.Snapshot()
			require.NoError(t, err)
			restored, err := Restore(data, safeguard.Set{})
			require.NoError(t, err)
			s.State = restored
			revision := s.Revision()
			require.Equal(t, first.String(), s.submit(test.first).String(), "also after a restart")
			require.Equal(t, revision, s.Revision())
			other := s.submit(&v1.ApplyDeclaration{Operator: "alice", RequestId: "request", Objects: []*v1.Object{modelObject("x", "1")}})
			require.Equal(t, invalid, other.Outcome, "one request identity with two contents")
			require.Equal(t, accepted, s.submit(&v1.ApplyDeclaration{
				Operator: "bob", RequestId: "request", Objects: []*v1.Object{modelObject("x", "1")}}).Outcome, "another operator")
		})
	}
}

func TestDeclarationValidation(t *testing.T) {
	policy := func(price float64) *v1.Object {
		return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_POLICY, "p"),
			Spec: &v1.Object_Policy{Policy: &v1.Policy{Service: "assessor", ChangePrice: price}}}
	}
	pin := func(name, engine string) *v1.Object {
		return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_PIN, name),
			Spec: &v1.Object_Pin{Pin: &v1.Pin{Engine: engine, Role: v1.Role_ROLE_DECODE}}}
	}
	bound := func(minimum, maximum uint32) *v1.Object {
		return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_BOUND, "b"), Spec: &v1.Object_Bound{
			Bound: &v1.Bound{Service: "assessor", Role: v1.Role_ROLE_DECODE, Minimum: minimum, Maximum: maximum}}}
	}
	cases := []struct {
		name    string
		objects []*v1.Object
		detail  string // part of the refusal's text; empty when accepted
	}{
		{"missing model", []*v1.Object{serviceObject("s", "none")}, "service s refers to model none"},
		{"missing service", []*v1.Object{kindObject("k", "none", 1)}, "kind k refers to service none"},
		{"model in the same declaration", []*v1.Object{serviceObject("s", "new"), modelObject("new", "1")}, ""},
		{"model still in use", []*v1.Object{deleted(v1.ObjectType_OBJECT_TYPE_MODEL, "base")}, "service assessor refers to model base"},
		{"model deleted with its users", []*v1.Object{deleted(v1.ObjectType_OBJECT_TYPE_MODEL, "base"),
			deleted(v1.ObjectType_OBJECT_TYPE_SERVICE, "assessor"), deleted(v1.ObjectType_OBJECT_TYPE_KIND, "matching")}, ""},
		{"declared twice", []*v1.Object{modelObject("m", "1"), modelObject("m", "2")}, "model m is declared twice"},
		{"negative worth", []*v1.Object{kindObject("k", "assessor", -1)}, "worth -1 is outside"},
		{"worth is not a number", []*v1.Object{kindObject("k", "assessor", math.NaN())}, "worth NaN is outside"},
		{"price without bound", []*v1.Object{policy(math.Inf(1))}, "change price +Inf is outside"},
		{"minimum above maximum", []*v1.Object{bound(3, 2)}, "minimum 3 is above the maximum 2"},
		{"minimum without maximum", []*v1.Object{bound(3, 0)}, ""},
		{"key hash in upper case", []*v1.Object{tenantObject("t", fmt.Sprintf("%064X", 0xab))}, "is not a SHA-256"},
		{"key hash too short", []*v1.Object{tenantObject("t", "abcd")}, "is not a SHA-256"},
		{"one key, two tenants", []*v1.Object{tenantObject("t", keyHash(1)), tenantObject("u", keyHash(1))}, "the same API key hash"},
		{"key of a tenant in force", []*v1.Object{tenantObject("t", keyHash(99))}, "tenant held and tenant t have the same API key"},
		{"key moved between tenants", []*v1.Object{tenantObject("t", keyHash(99)), tenantObject("held", keyHash(98))}, ""},
		{"one engine, two pins", []*v1.Object{pin("a", "engine-1"), pin("b", "engine-1")}, "both declare engine engine-1"},
		{"empty name", []*v1.Object{modelObject("", "1")}, "the name is empty"},
		{"name with a blank", []*v1.Object{modelObject("a b", "1")}, "blanks or unprintable"},
		{"fields of another type", []*v1.Object{{Key: objectKey(v1.ObjectType_OBJECT_TYPE_KIND, "k"), Spec: modelObject("k", "1").Spec}}, "kind k declares the fields of a model"},
		{"no fields", []*v1.Object{{Key: objectKey(v1.ObjectType_OBJECT_TYPE_KIND, "k")}}, "kind k declares nothing"},
		{"no type", []*v1.Object{{Key: objectKey(0, "k")}}, "has no known object type"},
		{"no key", []*v1.Object{{}}, "the name is empty"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newTestState(t)
			s.accept(append(baseObjects(), tenantObject("held", keyHash(99)))...)
			checkErr := s.CheckDeclaration(test.objects, false)
			response := s.declare("", 0, test.objects...)
			if test.detail == "" {
				require.NoError(t, checkErr)
				require.Equal(t, accepted, response.Outcome, response.Detail)
				return
			}
			require.ErrorContains(t, checkErr, test.detail)
			require.Equal(t, invalid, response.Outcome)
			require.Contains(t, response.Detail, test.detail)
			require.Equal(t, uint64(1), s.Revision())
			require.Len(t, s.Objects(), 4, "no object of a refused declaration is in force")
		})
	}
}

func TestCacheSaltIsStableAndUnpredictable(t *testing.T) {
	s := newTestState(t)
	s.accept(tenantObject("a", keyHash(1)), tenantObject("b", keyHash(2)))
	salt := func(name string) string {
		return s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, name).GetTenant().CacheSalt
	}
	first := salt("a")
	require.Len(t, first, 64)
	require.NotEqual(t, first, salt("b"))
	guess := tenantObject("a", keyHash(1), keyHash(3))
	guess.GetTenant().CacheSalt = "chosen"
	s.accept(guess)
	require.Equal(t, first, salt("a"), "an operator cannot choose the salt, and a change of the tenant keeps it")
	s.accept(deleted(v1.ObjectType_OBJECT_TYPE_TENANT, "a"))
	s.accept(tenantObject("a", keyHash(1)))
	require.NotEqual(t, first, salt("a"), "a new tenant under an old name gets a new salt")
	unseeded := s.run(&v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: &v1.ApplyDeclaration{
		Objects: []*v1.Object{tenantObject("c")}}}}).Apply
	require.Equal(t, invalid, unseeded.Outcome, "no salt without random bytes")
}

func TestPruneDeletesUndeclaredObjects(t *testing.T) {
	s := newTestState(t)
	s.accept(append(baseObjects(), tenantObject("t", keyHash(1)))...)
	response := s.submit(&v1.ApplyDeclaration{Prune: true, Objects: baseObjects()})
	require.Equal(t, accepted, response.Outcome, response.Detail)
	require.Nil(t, s.Object(v1.ObjectType_OBJECT_TYPE_TENANT, "t"))
	require.Nil(t, s.TenantOfKey(keyHash(1)))
	refused := s.submit(&v1.ApplyDeclaration{Prune: true, Objects: baseObjects()[1:]})
	require.Equal(t, invalid, refused.Outcome, "the service needs its model")
}

func TestSafeguardsOfDeclarations(t *testing.T) {
	t.Run("change number check", func(t *testing.T) {
		s := newTestState(t, ChangeNumberCheck)
		s.declare("", 7, modelObject("a", "1"))
		require.Equal(t, accepted, s.declare("", 7, modelObject("a", "2")).Outcome, "both changes are accepted")
	})
	t.Run("resend deduplication", func(t *testing.T) {
		s := newTestState(t, ResendDeduplication)
		s.declare("request", 0, modelObject("a", "1"))
		s.declare("", 0, modelObject("a", "2"))
		require.Equal(t, accepted, s.declare("request", 0, modelObject("a", "1")).Outcome, "the resend reverts the later change")
	})
	t.Run("base revision check", func(t *testing.T) {
		s := newTestState(t, BaseRevisionCheck)
		s.accept(modelObject("a", "1"))
		s.accept(modelObject("a", "2"))
		require.Equal(t, accepted, s.submit(&v1.ApplyDeclaration{
			BaseRevision: 1, Objects: []*v1.Object{modelObject("a", "3")}}).Outcome, "a plan against an old revision is accepted")
	})
}
