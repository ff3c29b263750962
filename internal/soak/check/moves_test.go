package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// joinedServices returns a stream that the service a begins and b ends, both at the same software version, over two attempts.
func joinedServices(h *history.History) {
	h.Bounds.NoMixedStreams = true
	h.Listings = []history.Listing{{Replica: "x", State: history.Ready, Software: "v1", Service: "a"}, {Replica: "y", State: history.Ready, Software: "v1", Service: "b"}}
	h.Sendings = []history.Sending{
		changedSending(request("1", "stream", 0), func(s *history.Sending) { s.Body, s.Whole = "id: 1\ndata: x@v1 part\n\n", false }),
		changedSending(request("2", "stream", second), func(s *history.Sending) {
			s.Body, s.Resumes, s.LastEvent = "id: 2\ndata: y@v1 end\n\n", "1", 1
		}),
	}
	h.Arrivals = []history.Arrival{ranAt("1", "x", 0), changedArrival(ranAt("2", "y", second), func(a *history.Arrival) { a.Service = "b" })}
}

// Guards against streams of two services that pass since both services serve software of the same name.
func TestAStreamOfTwoServicesBreaksOrder(t *testing.T) {
	recorded := historyWith(joinedServices)
	findings := Safety(recorded)
	require.Len(t, findings, 1)
	require.Equal(t, Order, findings[0].Rule)
	require.Equal(t, "stream 1 holds events of 2 services: a, b", findings[0].Text)
	counted := CountClauses(recorded)
	require.Equal(t, 1, counted.Services)
	require.Zero(t, counted.Versions)
	recorded.Listings[1].Service = "a"
	require.Empty(t, Safety(recorded), "two back ends of one service")
}

// movedTo returns a request that runs on a service after its route was split between the services b and c.
func movedTo(service string) func(*history.History) {
	return func(h *history.History) {
		reconfigured(5 * second)(h)
		h.Changes[1].SecondServices = map[string]string{"safe": "c"}
		h.Arrivals[0].Service = service
	}
}

// Guards against a split route one of whose services counts as replaced, and against a replaced service that counts as one of a split.
func TestASplitRouteAllowsItsTwoServicesOnly(t *testing.T) {
	require.Empty(t, All(historyWith(movedTo("b"))))
	require.Empty(t, All(historyWith(movedTo("c"))))
	findings := All(historyWith(movedTo("a")))
	require.Len(t, findings, 1)
	require.Equal(t, Config, findings[0].Rule)
}

// Guards against streams that count as lost although their route leads elsewhere, and against a share that leaves out streams whose route
// still leads to their service.
func TestOnlyStreamsWhoseRouteLeadsToTheirServiceAreExpectedToGoOn(t *testing.T) {
	for _, row := range []struct {
		name            string
		service, second string
		expected        int
	}{{"the same service", "a", "", 14}, {"a split with it", "b", "a", 14}, {"another service", "b", "", 0}} {
		t.Run(row.name, func(t *testing.T) {
			recorded := historyWith(takenUpStreams(14, 0))
			for index := range recorded.Listings {
				recorded.Listings[index].Service = "a"
			}
			recorded.Changes = []history.Change{{
				Number: 1, SentAt: second, AckedAt: 2 * second, Services: map[string]string{"stream": row.service}, SecondServices: map[string]string{"stream": row.second},
			}}
			require.Equal(t, row.expected, CountTakenUp(recorded).TakenUp.All)
		})
	}
}
