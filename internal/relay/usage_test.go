package relay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// takeCounts returns, by tenant, how many requests have begun to run since the last call.
func (r *testRelay) takeCounts() map[string]uint64 {
	counts := map[string]uint64{}
	for _, count := range r.usage.NextReport().GetCounts() {
		counts[count.GetTenant()] += count.GetCount()
	}
	r.usage.AcknowledgeReport()
	return counts
}

// A request is counted once when it has run, however many back ends ran it, and not when none did.
func TestRunsCountForTheirTenants(t *testing.T) {
	for name, row := range map[string]struct {
		answers []script
		route   func(*serving.Route)
		want    uint64
	}{
		"answered":                     {[]script{answering(200, "ok")}, nil, 1},
		"refused by the back end":      {[]script{refusing(503)}, nil, 0},
		"refused, then answered":       {[]script{refusing(503), answering(200, "ok")}, nil, 1},
		"failed at one, then answered": {[]script{answering(500, "failed"), answering(200, "ok")}, safe, 1},
		"failed at both":               {[]script{answering(500, "failed"), answering(500, "failed")}, safe, 1},
		"answer is lost":               {[]script{resetting("")}, nil, 1},
		"answer is lost, then refused": {[]script{resetting(""), refusing(503)}, safe, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var backEnds []*scriptedBackEnd
			for index, answer := range row.answers {
				backEnds = append(backEnds, startBackEnd(t, string(rune('a'+index)), serving.StageWhole, answer))
			}
			relay := newKeyedRelay(t, route(row.route), twoTenants(), backEnds...)
			relay.usage.UpdateTime(relay.clock.now(), 1_790_000_000_000, 5*time.Second)
			relay.client(t).do("GET", "/path/", "", "T-Key: key k2")
			require.Equal(t, row.want, relay.takeCounts()["two"])
			require.Zero(t, relay.takeCounts()["one"])
		})
	}
}

// A stream begins to run with its first event, and is counted once wherever it continues.
func TestStreamsCountWithTheirFirstEvent(t *testing.T) {
	first := startBackEnd(t, "a", serving.StageWhole, streaming("seal", eventOne, "cut"))
	second := startBackEnd(t, "b", serving.StageWhole, streaming("seal", eventOne, "cut"))
	relay := newKeyedRelay(t, route(stream(true)), twoTenants(), first, second)
	relay.usage.UpdateTime(relay.clock.now(), 1_790_000_000_000, 5*time.Second)
	relay.client(t).do("GET", "/path/", "", "T-Key: key k1")
	require.NotEmpty(t, first.receivedRequests())
	require.NotEmpty(t, second.receivedRequests())
	require.Equal(t, map[string]uint64{"one": 1}, relay.takeCounts())

	silent := newKeyedRelay(t, route(stream(true)), twoTenants(), startBackEnd(t, "c", serving.StageWhole, streaming("seal", "cut")))
	silent.usage.UpdateTime(silent.clock.now(), 1_790_000_000_000, 5*time.Second)
	silent.client(t).do("GET", "/path/", "", "T-Key: key k1")
	require.Empty(t, silent.takeCounts(), "no event was forwarded")
}

// Guards against usage that is lost because the leader was silent when a relay stopped: the relay exited 0.3 s after its last
// request, although its grace period was not over.
func TestStoppingRelayOutlastsASilentLeader(t *testing.T) {
	relay := newTestRelay(t, route(nil))
	relay.settings.GracePeriod = 4 * time.Second
	relay.usage.UpdateTime(relay.clock.now(), 1_790_000_000_000, 5*time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	relay.drain(t.Context(), listener)
	reporter, sends := relay.usageReporter(), atomic.Int32{}
	reporter.Send = func(ctx context.Context, _ *v1.UsageReport) error {
		if sends.Add(1) == 1 { // the leader is silent
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	}
	relay.usage.CountRequest(relay.clock.now(), "tenant")
	go reporter.Run(t.Context())
	relay.awaitReported()
	require.Zero(t, relay.usage.UnreportedCount())
}
