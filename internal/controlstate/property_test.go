package controlstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// drawObject draws a declared object from a few names, so that references, collisions and
// deletions are frequent.
func drawObject(t *rapid.T) *v1.Object {
	name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
	other := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "other"))
	switch rapid.IntRange(0, 5).Draw(t, "type") {
	case 0:
		return modelObject(name, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")))
	case 1:
		return serviceObject(name, other)
	case 2:
		return kindObject(name, other, float64(rapid.IntRange(-1, 3).Draw(t, "worth")))
	case 3:
		return tenantObject(name, keyHash(rapid.IntRange(1, 5).Draw(t, "key")))
	case 4:
		return tenantObject(name)
	default:
		objectType := rapid.SampledFrom(objectTypes).Draw(t, "deleted type")
		return deleted(objectType, name)
	}
}

// drawCommand draws any command, valid or not.
func drawCommand(t *rapid.T) *v1.Command {
	engine := fmt.Sprint("engine-", rapid.IntRange(0, 2).Draw(t, "engine"))
	epoch := rapid.Uint64Range(0, 4).Draw(t, "epoch")
	key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
	attempt := fmt.Sprint("attempt-", rapid.IntRange(0, 4).Draw(t, "attempt"))
	switch rapid.IntRange(0, 10).Draw(t, "command") {
	case 0, 1, 2:
		return &v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: &v1.ApplyDeclaration{
			Operator:     rapid.SampledFrom([]string{"alice", "bob"}).Draw(t, "operator"),
			RequestId:    rapid.SampledFrom([]string{"", "r1", "r2", "r3"}).Draw(t, "request"),
			ChangeNumber: rapid.Uint64Range(0, 8).Draw(t, "number"),
			BaseRevision: rapid.Uint64Range(0, 3).Draw(t, "base"),
			Objects:      rapid.SliceOfN(rapid.Custom(drawObject), 0, 4).Draw(t, "objects"),
			Prune:        rapid.IntRange(0, 9).Draw(t, "prune") == 0,
			SaltSeed:     make([]byte, rapid.SampledFrom([]int{0, 16}).Draw(t, "seed")),
		}}}
	case 3:
		return &v1.Command{Body: &v1.Command_BeginAuthority{BeginAuthority: &v1.BeginAuthority{Epoch: epoch}}}
	case 4:
		return &v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: &v1.IssueOrder{Order: &v1.Order{
			Engine: engine, Epoch: epoch, Action: v1.OrderAction(rapid.IntRange(0, 6).Draw(t, "action"))}}}}
	case 5:
		return &v1.Command{Body: &v1.Command_FinishOrder{FinishOrder: &v1.FinishOrder{Engine: engine, Epoch: epoch,
			Sequence: rapid.Uint64Range(0, 60).Draw(t, "sequence"), Outcome: v1.OrderOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))}}}
	case 6:
		return &v1.Command{Body: &v1.Command_RecordEngine{RecordEngine: &v1.RecordEngine{
			Engine:  engineState(engine, v1.Role(rapid.IntRange(1, 3).Draw(t, "role")), rapid.Uint64Range(0, 3).Draw(t, "incarnation")),
			Removed: rapid.IntRange(0, 9).Draw(t, "removed") == 0}}}
	case 7, 8:
		return &v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{Tenant: "t", Kind: "k", Key: key,
			Attempt: attempt, BodyHash: []byte{byte(rapid.IntRange(0, 8).Draw(t, "body") / 8)}, Gateway: "g",
			GatewayIncarnation: rapid.Uint64Range(0, 1).Draw(t, "gateway"), ExpiresAtMs: testStart + rapid.Int64Range(0, 200).Draw(t, "expiry")}}}
	case 9:
		return &v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: &v1.FinishClaim{Tenant: "t", Kind: "k", Key: key,
			Attempt: attempt, NotRun: rapid.Bool().Draw(t, "not run"), MayHaveRun: rapid.Bool().Draw(t, "may have run")}}}
	default:
		return &v1.Command{Body: &v1.Command_LoseGateway{LoseGateway: &v1.LoseGateway{Gateway: "g", Incarnation: epoch % 2}}}
	}
}

// TestStateMachineInvariants applies drawn commands and checks after each of them the invariants that hold for any
// sequence of commands.
func TestStateMachineInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, replica := newTestState(t), New(safeguard.Set{})
		n := &node{}
		checker := newInvariantChecker()
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			command := drawCommand(r)
			before := s.Revision()
			result := s.run(command)
			replica.Apply(s.index, proto.CloneOf(command))
			checker.check(r, s, command, result, before)
			if rapid.IntRange(0, 4).Draw(r, "sync") == 0 {
				n.apply(s.Delta(DeltaRequest{Revision: n.revision, HeldTenants: allTenants(s)}))
				requireSameConfiguration(r, s, n)
			}
			if rapid.IntRange(0, 9).Draw(r, "restart") == 0 {
				s.State = restart(r, s.State)
			}
		}
		require.Equal(r, snapshotOf(r, replica), snapshotOf(r, s.State), "all replicas have the same state, restarted or not")
	})
}

// invariantChecker records the results of earlier commands that later results must agree with.
type invariantChecker struct {
	winners      map[uint64]uint64 // change number to revision
	lastSequence map[string]uint64 // by engine
	outstanding  map[string]bool   // engines whose order has not finished
	// mayRun is, by claimed key, the attempt that may run and has reported no outcome.
	mayRun map[string]string
	ended  map[string]bool // keys whose request ran or may have run, and must not run again
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{winners: map[uint64]uint64{}, lastSequence: map[string]uint64{}, outstanding: map[string]bool{}, mayRun: map[string]string{}, ended: map[string]bool{}}
}

func (w *invariantChecker) check(t *rapid.T, s *testState, command *v1.Command, result Result, before uint64) {
	if s.Revision() != before {
		require.Equal(t, before+1, s.Revision(), "one declaration makes one revision")
		require.NotNil(t, result.Apply)
		number := result.Apply.ChangeNumber
		require.NotContains(t, w.winners, number, "a change number is accepted once")
		w.winners[number] = s.Revision()
	}
	if apply := result.Apply; apply != nil && apply.Outcome == numberTaken && apply.Winner != "" {
		require.Equal(t, w.winners[apply.ChangeNumber], apply.WinnerRevision, "the refusal names the accepted change")
	}
	if issue := command.GetIssueOrder(); issue != nil && result.Err == nil {
		epoch, _ := s.Authority()
		require.Equal(t, epoch, result.Order.Epoch)
		require.Greater(t, result.Order.Sequence, w.lastSequence[result.Order.Engine])
		w.lastSequence[result.Order.Engine] = result.Order.Sequence
		require.False(t, w.outstanding[result.Order.Engine], "an engine holds one order at a time")
		w.outstanding[result.Order.Engine] = true
	}
	if finish := command.GetFinishOrder(); finish != nil && result.Err == nil {
		delete(w.outstanding, finish.Engine)
	}
	w.checkClaim(t, command, result)
}

func (w *invariantChecker) checkClaim(t *rapid.T, command *v1.Command, result Result) {
	if begin := command.GetBeginClaim(); begin != nil && result.Claim.GetState() == granted {
		require.False(t, w.ended[begin.Key], "a request that ran or may have run is not granted again")
		if holder := w.mayRun[begin.Key]; holder != "" {
			require.Equal(t, holder, begin.Attempt, "only one attempt at a time may run")
		}
		w.mayRun[begin.Key] = begin.Attempt
	}
	finish := command.GetFinishClaim()
	if finish == nil || result.Err != nil || w.mayRun[finish.Key] != finish.Attempt {
		return
	}
	if finish.NotRun && !finish.MayHaveRun {
		delete(w.mayRun, finish.Key)
		return
	}
	w.ended[finish.Key] = true
}

func allTenants(s *testState) []string {
	names := []string{"none"}
	for _, object := range s.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_TENANT) {
		names = append(names, object.Key.Name)
	}
	for i := range 4 {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

func requireSameConfiguration(t *rapid.T, s *testState, n *node) {
	require.Equal(t, s.Revision(), n.revision)
	count := 0
	for _, object := range s.Objects() {
		if nodeNeeds(object.Key.Type) {
			count++
			require.True(t, proto.Equal(object, n.objects[KeyOf(object.Key)]), "%s at revision %d", KeyOf(object.Key), n.revision)
		}
	}
	require.Len(t, n.objects, count)
}

func snapshotOf(t require.TestingT, s *State) []byte {
	data, err := s.Snapshot()
	require.NoError(t, err)
	return data
}

func restart(t require.TestingT, s *State) *State {
	restored, err := Restore(snapshotOf(t, s), s.safeguards)
	require.NoError(t, err)
	return restored
}

// FuzzApply applies any bytes that decode as a command: no input may panic, and equal
// inputs must make equal states.
func FuzzApply(f *testing.F) {
	for _, command := range []*v1.Command{
		{},
		{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: &v1.ApplyDeclaration{Objects: append(baseObjects(), &v1.Object{})}}},
		{Body: &v1.Command_IssueOrder{IssueOrder: &v1.IssueOrder{}}},
		{Body: &v1.Command_BeginClaim{BeginClaim: &v1.BeginClaim{Tenant: "t", Kind: "k", Key: "k", Attempt: "a", ExpiresAtMs: 1}}},
		{Body: &v1.Command_RecordEngine{RecordEngine: &v1.RecordEngine{}}},
	} {
		data, err := proto.Marshal(command)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command := &v1.Command{}
		if proto.Unmarshal(data, command) != nil {
			return
		}
		first, second := New(safeguard.Set{}), New(safeguard.Set{})
		for index := range uint64(2) {
			first.Apply(index+1, command)
			second.Apply(index+1, proto.CloneOf(command))
		}
		require.Equal(t, snapshotOf(t, first), snapshotOf(t, restart(t, second)))
	})
}

// FuzzRestore restores a snapshot from any bytes: no input may panic.
func FuzzRestore(f *testing.F) {
	s := newTestState(f)
	s.accept(baseObjects()...)
	f.Add(snapshotOf(f, s.State))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := Restore(data, safeguard.Set{})
		if err == nil {
			_, _ = state.Snapshot()
		}
	})
}
