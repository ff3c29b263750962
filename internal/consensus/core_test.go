package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

func TestElectsAndReplicates(t *testing.T) {
	for _, size := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			cluster := newTestCluster(t, size, 1)
			leader := cluster.waitLeader()
			for i := range 20 {
				_, _, err := leader.Propose(cluster.now, []byte(fmt.Sprint(i)))
				require.NoError(t, err)
			}
			cluster.stepUntil("replication", func() bool {
				for _, name := range cluster.names {
					if len(cluster.applied[name]) != 21 { // the empty first snapshot and 20 commands
						return false
					}
				}
				return true
			})
		})
	}
}

func TestFollowerRefusesProposal(t *testing.T) {
	cluster := newTestCluster(t, 3, 1)
	leader := cluster.waitLeader()
	for _, name := range cluster.names {
		if core := cluster.cores[name]; core != leader {
			_, _, err := core.Propose(cluster.now, []byte("x"))
			require.ErrorIs(t, err, ErrNotLeader)
		}
	}
}

func TestLeaderLossElectsNewLeader(t *testing.T) {
	cluster := newTestCluster(t, 3, 2)
	cluster.waitLeader()
	first := cluster.leader()
	cluster.isolated[first] = true
	cluster.stepUntil("another leader", func() bool { return cluster.leader() != "" && cluster.leader() != first })
	require.False(t, cluster.cores[first].HasValidLease(cluster.now))
	cluster.stepUntil("old leader to step down", func() bool { return !cluster.cores[first].IsLeader() })
}

func TestEmptiedDiskJoinsAsNewMember(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	leader := cluster.waitLeader()
	_, _, err := leader.Propose(cluster.now, []byte("x"))
	require.NoError(t, err)
	victim := cluster.names[0]
	if cluster.leader() == victim {
		victim = cluster.names[1]
	}
	cluster.disks[victim] = &testDisk{restored: Restored{DiskID: victim + "/second"}}
	cluster.start(victim)
	wasLearner := false
	cluster.stepUntil("replacement", func() bool {
		members := cluster.cores[victim].members
		wasLearner = wasLearner || members.byID[victim+"/second"].GetLearner()
		return members.isVoter(victim+"/second") && !members.isVoter(victim+"/first") && len(members.voters()) == 3
	})
	require.True(t, wasLearner, "the new disk must be a learner first")
	require.Contains(t, cluster.applied[victim], "x")
}

func TestLaggingMemberGetsSnapshot(t *testing.T) {
	cluster := newTestCluster(t, 3, 4)
	cluster.retainedEntries = 5
	for _, name := range cluster.names {
		cluster.start(name)
	}
	leader := cluster.waitLeader()
	victim := cluster.names[0]
	if cluster.leader() == victim {
		victim = cluster.names[1]
	}
	cluster.isolated[victim] = true
	for i := range 50 {
		_, _, err := leader.Propose(cluster.now, []byte(fmt.Sprint(i)))
		require.NoError(t, err)
	}
	cluster.stepUntil("commit", func() bool { return leader.log.applied >= 50 })
	require.NoError(t, leader.Compact(leader.log.applied, []byte("state")))
	require.ErrorIs(t, leader.Compact(1, nil), ErrCompacted)
	cluster.isolated[victim] = false
	cluster.stepUntil("snapshot", func() bool { return cluster.cores[victim].log.applied >= 50 })
	require.Equal(t, "snapshot 52", cluster.applied[victim][0])
}

func TestTransferLeadership(t *testing.T) {
	cluster := newTestCluster(t, 3, 5)
	leader := cluster.waitLeader()
	target := ""
	for _, name := range cluster.names {
		if cluster.cores[name] != leader {
			target = name
		}
	}
	before := cluster.now
	require.NoError(t, leader.TransferLeadership(cluster.now, cluster.cores[target].id))
	require.False(t, leader.HasValidLease(cluster.now), "the lease must end before votes bypass it")
	_, _, err := leader.Propose(cluster.now, []byte("x"))
	require.ErrorIs(t, err, ErrTransferring)
	cluster.stepUntil("transfer", func() bool { return cluster.leader() == target })
	require.Less(t, cluster.now-before, DefaultElectionTimeout)
}

// TestRaiseTerm raises the term far above the current one: the same members elect a leader in a
// higher term, and committed commands are kept.
func TestRaiseTerm(t *testing.T) {
	cluster := newTestCluster(t, 3, 5)
	leader := cluster.waitLeader()
	_, _, err := leader.Propose(cluster.now, []byte("x"))
	require.NoError(t, err)
	cluster.stepUntil("commit", func() bool { return len(cluster.applied[cluster.leader()]) == 2 })
	require.Error(t, leader.RaiseTerm(cluster.now, maximumRaisedTerm+1))
	require.True(t, leader.IsLeader())
	require.NoError(t, leader.RaiseTerm(cluster.now, 500))
	require.False(t, leader.IsLeader())
	require.False(t, leader.HasValidLease(cluster.now))
	require.ErrorIs(t, leader.RaiseTerm(cluster.now, 600), ErrNotLeader)
	next := cluster.waitLeader()
	require.Greater(t, next.Term(), uint64(500))
	require.NoError(t, next.RaiseTerm(cluster.now, 400))
	require.True(t, next.IsLeader(), "a lower term must change nothing")
	_, _, err = next.Propose(cluster.now, []byte("y"))
	require.NoError(t, err)
	cluster.stepUntil("commit", func() bool { return len(cluster.applied[cluster.leader()]) == 3 })
}

func TestMembershipRules(t *testing.T) {
	cluster := newTestCluster(t, 3, 6)
	leader := cluster.waitLeader()
	set := leader.members
	stranger := &v1.Member{Id: "d", Name: "d", Address: "d"}
	_, _, err := leader.ProposeMembership(cluster.now, set.with(stranger))
	require.ErrorIs(t, err, ErrNotCaughtUp)
	voters := set.voters()
	two := newMemberSet(set.without(voters[0])).without(voters[1])
	_, _, err = leader.ProposeMembership(cluster.now, two)
	require.ErrorIs(t, err, ErrMembershipStep)
	learner := proto.CloneOf(stranger)
	learner.Learner = true
	_, _, err = leader.ProposeMembership(cluster.now, set.with(learner))
	require.NoError(t, err)
	_, _, err = leader.ProposeMembership(cluster.now, set.membership)
	require.ErrorIs(t, err, ErrMembershipPending)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	cluster := newTestCluster(t, 3, 7)
	core := cluster.waitLeader()
	require.ErrorIs(t, core.Step(cluster.now, &v1.ConsensusMessage{Fleet: "other", From: "x", To: core.id}), ErrOtherFleet)
	require.ErrorIs(t, core.Step(cluster.now, &v1.ConsensusMessage{Fleet: "test", From: "x", To: "old-disk"}), ErrUnknownMember)
	hole := &v1.ConsensusMessage{Fleet: "test", From: "x", To: core.id, Term: 9, Entries: []*v1.Entry{{Index: 7, Term: 1}}}
	require.ErrorIs(t, core.Step(cluster.now, hole), ErrInvalidMessage)
}

// TestRandomFaults restarts and isolates members, delays their syncs and loses messages while
// commands are proposed. The cluster checks after each step that no two members lead in one term
// and that committed entries never change.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		cluster := newTestCluster(t, 3, seed)
		cluster.lossRate, cluster.syncDelay = 0.05, true
		proposed := 0
		for range 20_000 {
			cluster.step()
			name := cluster.names[cluster.random.IntN(3)]
			switch cluster.random.IntN(2000) {
			case 0:
				cluster.start(name)
			case 1:
				cluster.isolated[name] = true
			case 2, 3, 4:
				cluster.isolated[name] = false
			}
			if core := cluster.cores[name]; core.IsLeader() && cluster.random.IntN(20) == 0 {
				if _, _, err := core.Propose(cluster.now, []byte(fmt.Sprint(proposed))); err == nil {
					proposed++
				}
			}
		}
		clear(cluster.isolated)
		cluster.stepUntil("agreement", func() bool {
			for _, name := range cluster.names {
				if cluster.cores[name].log.applied != cluster.cores[cluster.names[0]].log.last().index {
					return false
				}
			}
			return true
		})
		require.Greater(t, proposed, 50, "seed %d", seed)
		require.Less(t, cluster.now, 2*time.Minute)
	}
}
