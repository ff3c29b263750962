package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// moved is a route that documents of these tests move, and steady one that always leads to the same service.
var moved, steady = streamorigin.Route{Host: "h", Prefix: "/moved/"}, streamorigin.Route{Host: "h", Prefix: "/steady/"}

// leading returns the routes of a document in which moved leads to a service.
func leading(service string) streamorigin.Routes {
	return streamorigin.Routes{moved: {service: true}, steady: {"s": true}}
}

// putRoutes sends a document to the leader; nil stands for routes of which the build does not tell.
func (w *testCluster) putRoutes(number uint64, routes streamorigin.Routes) CallID {
	return w.send(w.waitLeader(), func(id CallID) Input {
		return PutDocumentReceived{Call: id, Document: &v1.Document{Number: number, Content: []byte("document")}, Routes: routes}
	})
}

// changedRoutes returns the routes that a controller states to have changed; false for one that states nothing, or not far enough.
func (w *testCluster) changedRoutes(controller *testController) (routes []uint64, isComplete bool) {
	statement := w.statementOf(controller)
	return statement.GetChangedRoutes(), completeFor(statement) >= servedversions.Retention
}

func hashesOf(routes ...streamorigin.Route) (hashes []uint64) {
	for _, route := range routes {
		hashes = append(hashes, uint64(route.ID()))
	}
	slices.Sort(hashes)
	return hashes
}

// Guards against a statement that lacks a route which has led elsewhere: its streams would go on at another service. It must outlive the
// leader and a loss of power at all controllers, and streams of other routes must go on.
func TestStatementsNameRoutesThatHaveChanged(t *testing.T) {
	for name, lose := range lossesOfLeaders {
		t.Run(name, func(t *testing.T) {
			w, _ := newVersionCluster(t, "v1")
			w.putRoutes(1, leading("one"))
			w.run(time.Second)
			routes, isComplete := w.changedRoutes(w.leader())
			require.Empty(t, routes)
			require.True(t, isComplete)
			w.putRoutes(2, leading("two"))
			w.run(time.Second)
			lose(w)
			w.waitLeader()
			w.run(2 * time.Second)
			routes, isComplete = w.changedRoutes(w.leader())
			require.Equal(t, hashesOf(moved), routes)
			require.True(t, isComplete)
			w.putRoutes(3, leading("two"))
			w.run(servedversions.Retention + time.Minute)
			routes, isComplete = w.changedRoutes(w.waitLeader())
			require.Empty(t, routes, "no stream has lasted since")
			require.True(t, isComplete)
			w.putRoutes(4, leading("one"))
			w.run(time.Second)
			routes, _ = w.changedRoutes(w.waitLeader())
			require.Equal(t, hashesOf(moved), routes)
		})
	}
}

// Guards against a change that a statement lacks because the document before it was never committed, or came into force meanwhile.
func TestStatementsNameRoutesThatOverlappingDocumentsChange(t *testing.T) {
	w, _ := newVersionCluster(t, "v1")
	w.putRoutes(1, leading("one"))
	w.run(time.Second)
	w.putRoutes(3, leading("two")) // not committed yet
	w.putRoutes(2, leading("three"))
	w.run(time.Second)
	require.Equal(t, uint64(3), w.leader().core.state.Document().GetNumber())
	w.run(servedversions.Retention + time.Minute)
	w.putRoutes(4, leading("three"))
	w.run(time.Second)
	routes, _ := w.changedRoutes(w.waitLeader())
	require.Equal(t, hashesOf(moved), routes, "the document that lost is not the one before")
}

// Guards against a statement that claims to name all changed routes, although a document in force came from a build that told of none.
func TestStatementsAfterADocumentWithoutRoutesAreIncomplete(t *testing.T) {
	w, _ := newVersionCluster(t, "v1")
	require.Positive(t, w.putRoutes(1, nil))
	w.run(time.Second)
	_, isComplete := w.changedRoutes(w.leader())
	require.False(t, isComplete)
	w.run(servedversions.Retention)
	_, isComplete = w.changedRoutes(w.waitLeader())
	require.True(t, isComplete, "no route has changed since")
	w.putRoutes(2, leading("one"))
	w.run(time.Second)
	_, isComplete = w.changedRoutes(w.waitLeader())
	require.False(t, isComplete, "any route may have changed")
	w.run(servedversions.Retention + time.Minute)
	w.putRoutes(3, nil)
	w.run(servedversions.Retention + time.Minute)
	w.restart(w.waitLeader())
	w.run(2 * time.Second)
	_, isComplete = w.changedRoutes(w.waitLeader())
	require.False(t, isComplete, "the new leader does not know where the routes lead")
}

// Guards against a change that a statement lacks because two documents had the same number, and the wrong one counts as the one in force.
func TestStatementsNameRoutesThatDocumentsOfOneNumberChange(t *testing.T) {
	w, _ := newVersionCluster(t, "v1")
	w.putRoutes(1, leading("one"))
	w.run(time.Second)
	w.putRoutes(2, leading("two")) // not committed yet
	w.putRoutes(2, leading("three"))
	w.run(servedversions.Retention + time.Minute)
	require.Equal(t, leading("two"), servedversions.RoutesFromWire(w.waitLeader().core.state.StreamRoutes()))
	w.putRoutes(3, leading("three"))
	w.run(time.Second)
	routes, _ := w.changedRoutes(w.waitLeader())
	require.Equal(t, hashesOf(moved), routes)
}
