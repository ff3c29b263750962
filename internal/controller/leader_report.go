package controller

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/peercontact"
)

// Times without a leader after which the controller logs why; they double up to the maximum.
const (
	firstLeaderReport   = 500 * time.Millisecond
	maximumLeaderReport = 64 * time.Second
)

// leaderReport logs, while no leader is known, how the last election went and what contact there is with each peer.
type leaderReport struct {
	log   *logring.Log
	peers func() []peercontact.Peer
	// missingSince is the time since which no leader is known, if isMissing is true; nextAfter is the time without a leader
	// after which the next line is due.
	isMissing    bool
	missingSince time.Duration
	nextAfter    time.Duration
}

// update logs a line if one is due at the time now.
func (r *leaderReport) update(now time.Duration, status consensus.Status) {
	if status.LeaderAddress != "" {
		r.isMissing = false
		return
	}
	if !r.isMissing {
		r.isMissing, r.missingSince, r.nextAfter = true, now, firstLeaderReport
	}
	missing := now - r.missingSince
	if missing < r.nextAfter {
		return
	}
	r.nextAfter = min(2*missing, missing+maximumLeaderReport)
	line := r.log.Warn().Str(events.FieldEvent, string(events.LeaderMissing)).Int64("missing_ms", missing.Milliseconds()).
		Str("role", status.Role.String()).Uint64("term", status.Term).Int("members", len(status.Membership.GetMembers())).
		Uint64("last_index", status.LastIndex).Uint64("synced_index", status.Stable)
	if election := status.Election; election != nil {
		line = line.Dict("election", electionFields(election))
	}
	line.Array("peers", peerFields(r.peers())).Send()
}

// electionFields returns the fields of an election.
func electionFields(election *consensus.Election) *zerolog.Event {
	answers := zerolog.Dict()
	for _, voter := range election.Answers {
		answers = answers.Str(voter.MemberID, string(voter.Answer))
	}
	return zerolog.Dict().Uint64("term", election.Term).Bool("pre_vote", election.PreVote).Int("attempts", election.Attempts).
		Int64("age_ms", election.Age.Milliseconds()).Dict("answers", answers)
}

// peerFields returns the fields of the contact with each peer; what has not happened is left out.
func peerFields(peers []peercontact.Peer) *zerolog.Array {
	array := zerolog.Arr()
	for _, peer := range peers {
		fields := zerolog.Dict().Str("peer", peer.Address).Int("connections", peer.Connections)
		fields = withAge(fields, "connected_ms", peer.ConnectionAge)
		fields = withAge(fields, "received_ms", peer.ReceivedAge)
		fields = withAge(fields, "delivered_ms", peer.DeliveredAge)
		failures := zerolog.Dict()
		for _, failure := range peer.Failures {
			failures = failures.Dict(string(failure.Operation)+"_"+string(failure.Cause),
				zerolog.Dict().Int("count", failure.Count).Int64("age_ms", failure.Age.Milliseconds()))
		}
		array = array.Dict(fields.Dict("failures", failures))
	}
	return array
}

// withAge adds an age to the fields unless it is that of something that has not happened.
func withAge(fields *zerolog.Event, name string, age time.Duration) *zerolog.Event {
	if age == peercontact.Never {
		return fields
	}
	return fields.Int64(name, age.Milliseconds())
}
