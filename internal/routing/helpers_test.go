package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	testService = "matcher"
	testModel   = "base"
	testZone    = "zone-a"
)

// engine returns a back end that a request for testModel may use at time 0.
func engine(name string, role enginecontract.Role, change ...func(*BackEnd)) BackEnd {
	backEnd := BackEnd{
		Name: name, Service: testService, Zone: testZone, Address: "127.0.0.1:1", Incarnation: 1,
		State: enginecontract.StateServing, Role: role, Model: testModel, Version: "1",
	}
	for _, apply := range change {
		apply(&backEnd)
	}
	return backEnd
}

func withState(state enginecontract.ServiceState) func(*BackEnd) {
	return func(b *BackEnd) { b.State = state }
}

func withLoad(load Load) func(*BackEnd) {
	return func(b *BackEnd) { b.Load, b.HasLoad = load, true }
}

func inZone(zone string) func(*BackEnd) { return func(b *BackEnd) { b.Zone = zone } }

func newTestRouter(t testing.TB, backEnds ...BackEnd) *Router {
	t.Helper()
	router, err := New(Config{Zone: testZone, Seed: 1})
	require.NoError(t, err)
	router.SetBackEnds(backEnds)
	return router
}

func request() Request {
	return Request{Service: testService, Model: testModel, PromptTokens: 2000, OutputTokens: 50}
}
