package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/voterplan"
)

// planByFormerRule decides as builds did before package voterplan: a silent voter is removed if the number of voters is
// even or a learner is about to be promoted.
func planByFormerRule(rules voterplan.Rules, members []voterplan.Member) voterplan.Plan {
	step := func(member voterplan.Member, action voterplan.Action) voterplan.Plan {
		return voterplan.Plan{Step: &voterplan.Decision{MemberID: member.ID, Action: action}}
	}
	isReplaced := func(voter voterplan.Member) bool {
		return slices.ContainsFunc(members, func(other voterplan.Member) bool {
			samePlace := other.Address == voter.Address || other.Name == voter.Name
			return other.ID != voter.ID && samePlace && other.Learner && other.CaughtUp
		})
	}
	var silent *voterplan.Member
	for _, member := range members {
		if !member.Learner && !member.Local && member.Silence >= rules.VoterSilence && (silent == nil || member.Silence > silent.Silence) {
			silent = &member
		}
	}
	for _, member := range members {
		isEvenAndSilent := rules.Count(members).Voters%2 == 0 && member.Silence >= rules.VoterSilence
		switch {
		case member.Local:
		case !member.Learner && (isReplaced(member) || isEvenAndSilent):
			return step(member, voterplan.Remove)
		case !member.Learner:
		case member.Silence >= rules.LearnerSilence:
			return step(member, voterplan.Remove)
		case member.CaughtUp && silent != nil:
			return step(*silent, voterplan.Remove)
		case member.CaughtUp:
			return step(member, voterplan.Promote)
		}
	}
	return voterplan.Plan{}
}

// Guards against a quorum that builds of the former rule have shrunk or filled with dead voters, and that stays so once
// this build leads: the promises must hold again without an operator.
func TestVotersBesideTheFormerRule(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newVoterSeries(t, 5, seed, false)
			s.promisesNothing = true
			s.formerRule = map[string]bool{}
			for index, machine := range s.machines {
				s.formerRule[machine.name] = uint64(index)%2 == seed%2
				s.cores[machine.name].planVoters = voterplan.Rules.Next
				if s.formerRule[machine.name] {
					s.cores[machine.name].planVoters = planByFormerRule
				}
			}
			for range 20 {
				s.disturbWithoutLoss()
				for range s.random.IntN(2500) {
					s.advance()
				}
			}
			for _, name := range s.names {
				s.formerRule[name] = false
			}
			for _, machine := range s.present() {
				if machine.disturbedUntil == 0 {
					s.stop(machine, false)
				}
				for range 3000 {
					s.advance()
				}
			}
			s.settle()
			for range int(seriesCatchUp / time.Millisecond) {
				s.advance()
			}
			s.promisesNothing = false
			s.settle()
			leader := s.cores[s.leader()]
			require.GreaterOrEqual(t, leader.voterCounts().ToleratedLosses(), s.tolerated)
		})
	}
}

// disturbWithoutLoss plays one random event in which no disk is lost.
func (s *voterSeries) disturbWithoutLoss() {
	present := s.present()
	machine := present[s.random.IntN(len(present))]
	switch {
	case len(s.machines) < 7 && s.random.IntN(4) == 0:
		s.formerRule[s.add().name] = s.random.IntN(2) == 0
	case machine.disturbedUntil != 0:
	case s.random.IntN(3) == 0:
		s.stop(machine, false)
	default:
		s.silence(machine, s.random.IntN(2) == 0)
	}
}
