package controlstate

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testStart is the wall-clock time of the first command.
const testStart = 1_700_000_000_000

// testState applies commands as consecutive log entries.
type testState struct {
	*State
	t     testing.TB
	index uint64
	now   int64
}

func newTestState(t testing.TB, off ...safeguard.Safeguard) *testState {
	return &testState{State: New(safeguard.Without(off...)), t: t, now: testStart}
}

func (s *testState) run(command *v1.Command) Result {
	s.index++
	s.now++
	command.ProposedAtMs = s.now
	return s.Apply(s.index, command)
}

// declare submits objects as one declaration.
func (s *testState) declare(requestID string, number uint64, objects ...*v1.Object) *v1.ApplyResponse {
	return s.submit(&v1.ApplyDeclaration{Operator: "alice", RequestId: requestID, ChangeNumber: number, Objects: objects})
}

func (s *testState) submit(declaration *v1.ApplyDeclaration) *v1.ApplyResponse {
	declaration.SaltSeed = bytes.Repeat([]byte{byte(s.index + 1)}, 32)
	return s.run(&v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: declaration}}).Apply
}

func (s *testState) accept(objects ...*v1.Object) {
	s.t.Helper()
	response := s.declare("", 0, objects...)
	require.Equal(s.t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, response.Outcome, response.Detail)
}

func objectKey(objectType v1.ObjectType, name string) *v1.ObjectKey {
	return &v1.ObjectKey{Type: objectType, Name: name}
}

func modelObject(name, version string) *v1.Object {
	return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_MODEL, name),
		Spec: &v1.Object_Model{Model: &v1.Model{Version: version}}}
}

func serviceObject(name, model string) *v1.Object {
	return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_SERVICE, name),
		Spec: &v1.Object_Service{Service: &v1.Service{Type: v1.ServiceType_SERVICE_TYPE_ENGINE, Model: model}}}
}

func kindObject(name, service string, worth float64) *v1.Object {
	return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_KIND, name),
		Spec: &v1.Object_Kind{Kind: &v1.Kind{Service: service, Worth: worth, DeadlineMs: 1000}}}
}

func tenantObject(name string, hashes ...string) *v1.Object {
	return &v1.Object{Key: objectKey(v1.ObjectType_OBJECT_TYPE_TENANT, name),
		Spec: &v1.Object_Tenant{Tenant: &v1.Tenant{ApiKeyHashes: hashes, Weight: 1}}}
}

func deleted(objectType v1.ObjectType, name string) *v1.Object {
	return &v1.Object{Key: objectKey(objectType, name), Deleted: true}
}

// keyHash returns the hash of a fictitious API key.
func keyHash(number int) string { return fmt.Sprintf("%064x", number) }

func baseObjects() []*v1.Object {
	return []*v1.Object{modelObject("base", "1"), serviceObject("assessor", "base"), kindObject("matching", "assessor", 5)}
}

func engineState(name string, role v1.Role, incarnation uint64) *v1.EngineState {
	return &v1.EngineState{Engine: name, Service: "assessor", Zone: "zone-a", Address: "127.0.0.1:1", Role: role,
		Model: "base", Version: "1", Incarnation: incarnation}
}

func (s *testState) record(engine *v1.EngineState) Result {
	return s.run(&v1.Command{Body: &v1.Command_RecordEngine{RecordEngine: &v1.RecordEngine{Engine: engine}}})
}

func (s *testState) begin(epoch uint64) Result {
	return s.run(&v1.Command{Body: &v1.Command_BeginAuthority{BeginAuthority: &v1.BeginAuthority{Epoch: epoch, Leader: "leader"}}})
}

func (s *testState) issue(epoch uint64, engine string) Result {
	return s.run(&v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: &v1.IssueOrder{Order: &v1.Order{
		Engine: engine, Epoch: epoch, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE, Role: v1.Role_ROLE_DECODE,
	}}}})
}

func (s *testState) finish(order *v1.Order, outcome v1.OrderOutcome, observed *v1.EngineState) Result {
	return s.run(&v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: &v1.FinishOrder{
		Engine: order.Engine, Epoch: order.Epoch, Sequence: order.Sequence, Outcome: outcome, Observed: observed,
	}}})
}

func (s *testState) claim(key, attempt string, body byte, gateway string, incarnation uint64) Result {
	return s.run(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{
		Tenant: "tenant", Kind: "alert", Key: key, Attempt: attempt, BodyHash: []byte{body},
		Gateway: gateway, GatewayIncarnation: incarnation, ExpiresAtMs: s.now + 60_000,
	}}})
}

func (s *testState) finishClaim(key, attempt string, change func(*v1.FinishClaim)) Result {
	finish := &v1.FinishClaim{Tenant: "tenant", Kind: "alert", Key: key, Attempt: attempt}
	change(finish)
	return s.run(&v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: finish}})
}
