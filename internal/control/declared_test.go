package control

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func adapterObject(version string) *v1.Object {
	return &v1.Object{Key: &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_ADAPTER, Name: "minas"},
		Spec: &v1.Object_Adapter{Adapter: &v1.Adapter{Model: "base", Version: version}}}
}

// TestEnginesServeTheDeclaredVersions declares versions of the model and of an adapter, and
// deletes the adapter. The engines must follow, and a new version of the adapter must replace
// the old one without a time in which the engine serves neither.
func TestEnginesServeTheDeclaredVersions(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	engines := []*testEngine{
		w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed),
		w.addEngine("engine-2", "assessor", "zone-a", enginecontract.RoleMixed),
	}
	steps := []struct {
		name, version, adapter string
		objects                []*v1.Object
	}{
		{"model", "1", "", serviceObjects()},
		{"adapter", "1", "1", []*v1.Object{adapterObject("1")}},
		{"another version of the adapter", "1", "2", []*v1.Object{adapterObject("2")}},
		{"another version of the model", "2", "2", []*v1.Object{modelVersion(2)}},
		{"no adapter", "2", "", []*v1.Object{{Key: adapterObject("").Key, Deleted: true}}},
	}
	for _, step := range steps {
		before := len(w.accepted)
		w.apply(step.name, step.objects...)
		w.until(step.name, func() bool {
			for _, engine := range engines {
				state := engine.machine.State(0)
				served := state.AdapterVersions["minas"]
				if state.Version != step.version || served != step.adapter || state.State != enginecontract.StateServing {
					return false
				}
			}
			return true
		})
		if step.adapter != "" {
			for _, order := range w.accepted[before:] {
				require.NotEqual(t, enginecontract.ActionUnloadAdapter, order.Action, step.name)
			}
		}
	}
	require.Contains(t, strings.Join(w.rowsOf("history of engine engine-1"), "\n"), "load adapter minas 2")
}

// TestExplainShowsDeferredChanges makes the change of one of two engines wait for the bound on
// engines out of service: explain must name the change and the reason.
func TestExplainShowsDeferredChanges(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	first := w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
	w.addEngine("engine-2", "assessor", "zone-a", enginecontract.RoleMixed)
	w.apply("services", serviceObjects()...)
	w.run(3 * time.Second)
	first.inFlight = 1
	w.apply("pins", pinObjectFor("engine-1", v1.Role_ROLE_DECODE), pinObjectFor("engine-2", v1.Role_ROLE_PREFILL))
	explained := func() string { return strings.Join(w.rowsOf("explain engine engine-2"), "\n") }
	w.until("held back", func() bool { return strings.Contains(explained(), "held back|set role prefill: ") })
	require.Contains(t, explained(), "are out; wait, or declare a larger maximum_out")
	first.inFlight = 0
	w.until("no longer held back", func() bool { return !strings.Contains(explained(), "held back") })
}

// TestAuthorityStartsAboveTheEnginesFences starts controllers with empty disks while the engines
// hold fences of another quorum's later terms. The new leader must still be able to order them.
func TestAuthorityStartsAboveTheEnginesFences(t *testing.T) {
	const lastEpoch = 90
	w := newTestCluster(t, 3, nil)
	engine := w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
	engine.machine.RaiseFence(0, enginecontract.Fence{Epoch: lastEpoch, Sequence: 7}, 0)
	w.apply("services", append(serviceObjects(), pinObjectFor("engine-1", v1.Role_ROLE_DECODE))...)
	w.until("pinned role", func() bool { return engine.machine.Role() == enginecontract.RoleDecode })
	w.until("end in the log", func() bool { return w.waitLeader().core.state.Engine("engine-1").Outstanding == nil })
	require.Greater(t, engine.machine.State(0).OrderFence.Epoch, uint64(lastEpoch))
	requireSoundOrders(t, w)
}

// TestRefusedCommandsAreAudited has commands refused for the operator's role, for the state of
// the engine and for unknown names.
func TestRefusedCommandsAreAudited(t *testing.T) {
	tests := map[string]struct {
		role v1.OperatorRole
		text string
		why  string
	}{
		"role":            {v1.OperatorRole_OPERATOR_ROLE_VIEWER, "drain engine engine-1", "has role viewer"},
		"dump for a role": {v1.OperatorRole_OPERATOR_ROLE_VIEWER, "dump logs", "has role viewer"},
		"state":           {v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "resume engine engine-1", "not drained"},
		"unknown engine":  {v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "abort order of engine engine-9", "engine-9"},
		"no order":        {v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "abort order of engine engine-1", "holds no order"},
		"unknown member":  {v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR, "remove member x", "show members"},
		"unknown object":  {v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR, "delete tenant other", "not declared"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, _ := newStatementCluster(t)
			_, err := w.execute("r", "bob", test.role, test.text)
			require.ErrorContains(t, err, test.why)
			w.until("audit record", func() bool { return len(w.rowsOf("show audit of operator bob")) == 1 })
			record := w.rowsOf("show audit of operator bob")[0]
			require.Contains(t, record, "|bob|r|"+test.text+"|refused: ")
			require.Contains(t, record, test.why)
			require.NotContains(t, record, "\n")
		})
	}
}

func TestDumpOfLogsIsAudited(t *testing.T) {
	w, _ := newStatementCluster(t)
	_, err := w.execute("r", "bob", v1.OperatorRole_OPERATOR_ROLE_OPERATOR, "dump logs")
	require.NoError(t, err)
	w.until("audit record", func() bool { return len(w.rowsOf("show audit of operator bob")) == 1 })
	require.Contains(t, w.rowsOf("show audit of operator bob")[0], "|bob|r|dump logs|done|")
}

// TestRefusedDeclarationIsAudited submits a declaration that the runtime refuses because its
// operator is not authorized.
func TestRefusedDeclarationIsAudited(t *testing.T) {
	w, _ := newStatementCluster(t)
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return RefusalReceived{Call: id, Operator: "bob", RequestID: "r", Text: "apply", Err: trace.AccessDenied("bob is viewer")}
	})
	require.True(t, trace.IsAccessDenied(answer.Err))
	w.until("audit record", func() bool { return len(w.rowsOf("show audit of operator bob")) == 1 })
	require.Contains(t, w.rowsOf("show audit of operator bob")[0], "apply|refused: bob is viewer")
}

// TestNodesShowTheRevisionOnEachControllersDisk cuts off a follower, which must be shown with
// the revision that it had.
func TestNodesShowTheRevisionOnEachControllersDisk(t *testing.T) {
	w, _ := newStatementCluster(t)
	revisions := func() map[string]string {
		found := map[string]string{}
		for _, row := range w.rowsOf("show nodes where program = controller") {
			cells := strings.Split(row, "|")
			found[cells[0]] = cells[4]
		}
		return found
	}
	w.until("equal revisions", func() bool {
		for _, revision := range revisions() {
			if revision != "1" {
				return false
			}
		}
		return len(revisions()) == 3
	})
	var cut *testController
	for _, name := range w.names {
		if controller := w.controllers[name]; controller != w.leader() {
			cut = controller
		}
	}
	cut.cut = true
	w.apply("next", modelVersion(2))
	w.run(time.Second)
	require.Equal(t, "1", revisions()[cut.name])
	require.Equal(t, "2", revisions()[w.leader().name])
	cut.cut = false
	w.until("caught up", func() bool { return revisions()[cut.name] == "2" })
}
