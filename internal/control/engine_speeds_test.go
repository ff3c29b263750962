package control

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/mechanism"
	"github.com/hazelpitch/hazelpitch/internal/stageplan"
)

// speedRelay is a relay that reports the work of the service and the speeds of its engines to the leader.
type speedRelay struct {
	cluster *testCluster
	// prefill and decode are the reported work, in engines kept busy.
	prefill, decode float64
	// slow are the engines that are reported to miss the gap. All others are reported to keep it.
	slow []string
	// silent means that no engine is reported.
	silent bool
}

// startSpeedRelay starts a relay that watches every 500 ms.
func startSpeedRelay(w *testCluster, relay speedRelay) *speedRelay {
	relay.cluster = w
	started := &relay
	started.step()
	return started
}

func (r *speedRelay) step() {
	if leader := r.cluster.leader(); leader != nil {
		r.cluster.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: r.request()} })
	}
	r.cluster.after(500*time.Millisecond, r.step)
}

func (r *speedRelay) request() *v1.WatchRequest {
	request := &v1.WatchRequest{
		Node: &v1.NodeIdentity{Name: "relay", Incarnation: 7}, WaitMs: 100,
		Demands: []*v1.RoleDemand{{Service: "s", WindowMs: 1000, PrefillMs: uint64(1000 * r.prefill), DecodeMs: uint64(1000 * r.decode)}},
	}
	if r.silent {
		return request
	}
	for _, id := range sortedKeys(r.cluster.site.roles) {
		request.EngineSpeeds = append(request.EngineSpeeds, &v1.EngineSpeed{
			Engine: cell.HashEngine(id), StepNs: 5_200_000, MissesGap: slices.Contains(r.slow, id),
		})
	}
	return request
}

// newUnevenSite returns a cluster with 18 engines in three zones, of which the last nine decode, and the slow ones among
// these, one in each zone.
func newUnevenSite(t *testing.T, without ...string) (*testCluster, *siteEngines, []string) {
	disabled, err := mechanism.Without(without)
	require.NoError(t, err)
	w := newTestCluster(t, 3, func(config *Config) {
		withSeeds(config)
		config.Without = disabled
	})
	site := newSite(w, 18, 9)
	site.zones = 3
	return w, site, []string{"engine-09", "engine-13", "engine-17"}
}

// requireRoles checks the roles of engines.
func (s *siteEngines) requireRoles(role v1.Role, engines []string) {
	s.cluster.t.Helper()
	for _, engine := range engines {
		require.Equal(s.cluster.t, role, s.roles[engine], engine)
	}
}

// Relays report that some decode engines would break the gap targets. The leader must order these to prefill, and leave
// all engines where they are with the mechanism off.
func TestSlowDecodeEnginesAreOrderedToPrefill(t *testing.T) {
	w, site, slow := newUnevenSite(t)
	startSpeedRelay(w, speedRelay{prefill: 3, decode: 2, slow: slow})
	w.waitLeader()
	w.run(30 * time.Second)
	site.requireRoles(v1.Role_ROLE_PREFILL, slow)
	require.Equal(t, 12, site.prefill())
	require.Len(t, site.arrivals, 3)
	for _, arrived := range site.arrivals {
		require.Equal(t, stageplan.BySpeed, arrived.order.Reason)
	}
	status := w.leader().core.Status().Site
	require.Equal(t, uint64(3), status.MovesBySpeed)
	require.Equal(t, 3, status.EnginesMissingGap)

	w, site, slow = newUnevenSite(t, string(mechanism.StagesBySpeed))
	startSpeedRelay(w, speedRelay{prefill: 3, decode: 2, slow: slow})
	w.waitLeader()
	w.run(30 * time.Second)
	site.requireRoles(v1.Role_ROLE_DECODE, slow)
	require.Empty(t, site.arrivals)
}

// A prefill engine that is reported to miss the gap must not be ordered to decode while another engine of its group can be.
func TestSlowPrefillEnginesAreNotOrderedToDecode(t *testing.T) {
	w, site, _ := newUnevenSite(t)
	slow := []string{"engine-00", "engine-01", "engine-02"}
	startSpeedRelay(w, speedRelay{prefill: 1, decode: 8.5, slow: slow})
	w.waitLeader()
	w.run(30 * time.Second)
	require.NotEmpty(t, site.arrivals)
	for _, arrived := range site.arrivals {
		require.Equal(t, v1.Role_ROLE_DECODE, arrived.order.Role)
		require.Equal(t, stageplan.ByLoad, arrived.order.Reason)
	}
	site.requireRoles(v1.Role_ROLE_PREFILL, slow)
}

// Reported speeds are not replicated: a new leader knows none, and must plan without them until relays report them to it.
func TestANewLeaderKnowsNoSpeeds(t *testing.T) {
	w, site, slow := newUnevenSite(t)
	relay := startSpeedRelay(w, speedRelay{prefill: 3, decode: 2, slow: slow})
	former := w.waitLeader()
	w.run(2 * time.Second) // the leader must not order engines yet
	require.Equal(t, 3, former.core.stages.speeds.countMissingGap())
	relay.silent = true
	leader := w.waitLeaderOtherThan(former)
	w.run(15 * time.Second)
	require.Equal(t, leader, w.leader())
	require.Empty(t, leader.core.stages.speeds.byEngine)
	require.Empty(t, site.arrivals)
	relay.silent = false
	w.run(30 * time.Second)
	site.requireRoles(v1.Role_ROLE_PREFILL, slow)
}

// Reports that are no longer repeated must not move engines: their speeds may have changed since.
func TestSpeedsAreForgottenWhenReportsStop(t *testing.T) {
	w, site, slow := newUnevenSite(t)
	relay := startSpeedRelay(w, speedRelay{prefill: 6.5, decode: 6, slow: slow}) // all decode engines are needed
	leader := w.waitLeader()
	w.run(15 * time.Second)
	require.Equal(t, 3, leader.core.stages.speeds.countMissingGap())
	require.Empty(t, site.arrivals)
	relay.silent = true
	w.run(engineSpeedTTL + time.Second)
	require.Empty(t, leader.core.stages.speeds.byEngine)
	relay.prefill, relay.decode = 3, 2
	w.run(30 * time.Second)
	require.Empty(t, site.arrivals)
	relay.silent = false
	w.run(30 * time.Second)
	site.requireRoles(v1.Role_ROLE_PREFILL, slow)
}

// Relays may report engines that are long gone, in any number. The leader keeps the speeds of listed engines only.
func TestSpeedsOfUnlistedEnginesAreNotKept(t *testing.T) {
	w, site, slow := newUnevenSite(t)
	startSpeedRelay(w, speedRelay{prefill: 3, decode: 2, slow: slow})
	leader := w.waitLeader()
	w.run(2 * time.Second)
	request := &v1.WatchRequest{Node: &v1.NodeIdentity{Name: "other relay"}, WaitMs: 100}
	for number := range uint64(10_000) {
		request.EngineSpeeds = append(request.EngineSpeeds, &v1.EngineSpeed{Engine: number, MissesGap: true})
	}
	w.send(leader, func(id CallID) Input { return WatchReceived{Call: id, Request: request} })
	require.Equal(t, 18, len(leader.core.stages.speeds.byEngine))
	delete(site.roles, "engine-09")
	site.recordRoles()
	w.run(5 * time.Second)
	require.Equal(t, 17, len(leader.core.stages.speeds.byEngine))
}
