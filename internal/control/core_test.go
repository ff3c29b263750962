package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/planner"
)

func TestDeclarationReachesEveryController(t *testing.T) {
	for _, voters := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			w := newTestCluster(t, voters, nil)
			w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
			response := w.apply("request-1", append(serviceObjects(), tenantObject("tenant-1", strings.Repeat("ab", 32)))...)
			require.Equal(t, v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, response.Outcome)
			w.run(5 * time.Second)
			for _, name := range w.names {
				request := &v1.SyncRequest{
					Node:             &v1.NodeIdentity{Name: "gateway-1", Zone: "zone-a", Incarnation: 1},
					UnknownKeyHashes: []string{strings.Repeat("ab", 32), strings.Repeat("cd", 32)},
				}
				answer := w.sync(w.controllers[name], request)
				require.Equal(t, uint64(1), answer.Revision, name)
				require.True(t, answer.Full)
				require.Len(t, answer.Objects, 3)
				require.Equal(t, w.leader().name != name, answer.Behind, "a node may start only with the leader's revision")
				request.Revision = 1
				known := w.sync(w.controllers[name], request)
				require.False(t, known.Behind)
				require.Equal(t, []string{strings.Repeat("cd", 32)}, known.RejectedKeyHashes)
				require.Len(t, answer.Directory.BackEnds, 1)
				require.Equal(t, v1.BackEndState_BACK_END_STATE_SERVING, answer.Directory.BackEnds[0].State)
				require.Less(t, answer.DirectoryAgeMs, uint32(2500))
				require.Len(t, answer.ControllerAddresses, voters)
			}
		})
	}
}

func TestPinnedEngineChangesRoleUnderTheFence(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	engine := w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
	w.apply("request-1", serviceObjects()...)
	w.run(3 * time.Second)
	w.apply("request-2", pinObjectFor("engine-1", v1.Role_ROLE_DECODE))
	w.until("role change", func() bool { return engine.machine.Role() == enginecontract.RoleDecode })
	w.until("end in the log", func() bool { return w.leader().core.state.Engine("engine-1").Outstanding == nil })
	ended := w.leader().core.state.Orders("engine-1")
	require.Len(t, ended, 1)
	require.Equal(t, v1.OrderOutcome_ORDER_OUTCOME_DONE, ended[0].Outcome)
	require.Len(t, w.accepted, 1)
	require.Equal(t, w.leader().core.consensus.Term(), w.accepted[0].Fence.Epoch)
	require.Equal(t, v1.Role_ROLE_DECODE, w.leader().core.state.Engine("engine-1").State.Role)
}

func TestPlannedChangeIsOrderedWithItsReason(t *testing.T) {
	script := &scriptedPlanner{changes: []planner.Change{{
		Engine: "engine-2", From: enginecontract.RoleMixed, To: enginecontract.RolePrefill, Reason: "more prompts than output",
	}}}
	w := newTestCluster(t, 1, func(config *Config) {
		config.PlanInterval = time.Second
		config.NewPlanner = func(string) planner.Planner { return script }
	})
	w.addEngine("engine-1", "assessor", "zone-a", enginecontract.RoleMixed)
	engine := w.addEngine("engine-2", "assessor", "zone-a", enginecontract.RoleMixed)
	w.apply("request-1", serviceObjects()...)
	w.until("role change", func() bool { return engine.machine.Role() == enginecontract.RolePrefill })
	w.run(10 * time.Second)
	ended := w.leader().core.state.Orders("")
	require.Len(t, ended, 1, "the planned change is ordered once")
	require.Equal(t, "more prompts than output", ended[0].Order.Reason)
}

func TestClaimIsGrantedOnce(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.waitLeader()
	begin := func(attempt string) v1.ClaimState {
		answer := w.call(leader, func(id CallID) Input {
			return BeginClaimReceived{Call: id, Request: &v1.BeginClaimRequest{Claim: &v1.BeginClaim{
				Tenant: "tenant-1", Kind: "registration", Key: "k", Attempt: attempt, Gateway: "gateway-1",
				GatewayIncarnation: 1, BodyHash: []byte{1}, ExpiresAtMs: testWallOrigin + time.Hour.Milliseconds(),
			}}}
		})
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.BeginClaimResponse).State
	}
	require.Equal(t, v1.ClaimState_CLAIM_STATE_GRANTED, begin("first"))
	require.Equal(t, v1.ClaimState_CLAIM_STATE_GRANTED, begin("first"), "a resend")
	require.Equal(t, v1.ClaimState_CLAIM_STATE_RUNNING, begin("second"))
	w.run(20 * time.Second) // the gateway sends no heartbeat
	require.Equal(t, v1.ClaimState_CLAIM_STATE_UNKNOWN, begin("second"))
}

func TestFollowerNamesTheLeader(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.waitLeader()
	w.run(time.Second)
	for _, name := range w.names {
		if name == leader.name {
			continue
		}
		answer := w.call(w.controllers[name], func(id CallID) Input {
			return ReportReceived{Call: id, Request: &v1.ReportRequest{Node: &v1.NodeIdentity{Name: "gateway-1"}}}
		})
		var notLeader *NotLeaderError
		require.ErrorAs(t, answer.Err, &notLeader)
		require.Equal(t, leader.name, notLeader.Leader)
	}
}

func TestReportIsAnsweredWithShares(t *testing.T) {
	w := newTestCluster(t, 1, nil)
	w.apply("request-1", append(serviceObjects(), tenantObject("tenant-1", strings.Repeat("ab", 32)))...)
	report := func(gateway string) *v1.Share {
		answer := w.call(w.waitLeader(), func(id CallID) Input {
			return ReportReceived{Call: id, Request: &v1.ReportRequest{
				Node:         &v1.NodeIdentity{Name: gateway},
				ShareDemands: []*v1.ShareDemand{{Tenant: "tenant-1", WantedTokensPerSecond: 5000, WantedConcurrency: 20}},
			}}
		})
		require.NoError(t, answer.Err)
		return answer.Response.(*v1.ReportResponse).Shares[0]
	}
	w.run(time.Second)
	require.Equal(t, uint64(1000), report("gateway-1").TokensPerSecond)
	require.Zero(t, report("gateway-2").TokensPerSecond, "the first gateway holds the whole limit")
	for range 8 {
		w.run(time.Second)
		report("gateway-1")
		report("gateway-2")
	}
	require.Equal(t, uint64(500), report("gateway-1").TokensPerSecond)
	require.Equal(t, uint64(500), report("gateway-2").TokensPerSecond)
}
