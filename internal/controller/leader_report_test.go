package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/consensus"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/peercontact"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// loggedEvents returns the lines of an event in a log.
func loggedEvents(t *testing.T, log *logring.Log, event events.Event) []map[string]any {
	t.Helper()
	var buffer bytes.Buffer
	require.NoError(t, log.WriteRecent(&buffer))
	var found []map[string]any
	for line := range bytes.Lines(buffer.Bytes()) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields[events.FieldEvent] == string(event) {
			found = append(found, fields)
		}
	}
	return found
}

// Guards against controllers without a leader whose logs do not tell whether they hear each other, and who refused a vote:
// five of them logged nothing for half a minute.
func TestMissingLeaderIsReportedWithElectionAndPeers(t *testing.T) {
	log := logring.New("core-1", settings.Log{RingEntries: 64})
	contact := peercontact.NewRecord(func() time.Duration { return 10 * time.Second })
	contact.Received("core-2:1")
	contact.Failed("core-3:1", peercontact.Deliver, context.DeadlineExceeded)
	report := leaderReport{log: log, peers: contact.Peers}
	status := consensus.Status{Role: consensus.RolePreCandidate, Term: 2, Election: &consensus.Election{
		Term: 3, PreVote: true, Attempts: 4, Answers: []consensus.VoterAnswer{{MemberID: "core-2.a", Answer: consensus.VoteRefusedForLog}, {MemberID: "core-3.b", Answer: consensus.VoteSilent}},
	}}
	report.update(0, consensus.Status{LeaderAddress: "core-2:1"})
	for now := time.Duration(0); now < time.Minute; now += statusInterval {
		report.update(now, status)
	}
	lines := loggedEvents(t, log, events.LeaderMissing)
	require.Len(t, lines, 7, "after 0.5, 1, 2, 4, 8, 16 and 32 s")
	first := lines[0]
	require.Equal(t, 500.0, first["missing_ms"])
	require.Equal(t, "pre-candidate", first["role"])
	election := first["election"].(map[string]any)
	require.Equal(t, map[string]any{"core-2.a": "refused: its log is ahead", "core-3.b": "silent"}, election["answers"])
	require.Equal(t, []any{
		map[string]any{"peer": "core-2:1", "connections": 0.0, "received_ms": 0.0, "failures": map[string]any{}},
		map[string]any{"peer": "core-3:1", "connections": 0.0, "failures": map[string]any{"deliver_timed_out": map[string]any{"count": 1.0, "age_ms": 0.0}}},
	}, first["peers"])

	report.update(time.Minute, consensus.Status{LeaderAddress: "core-2:1"})
	report.update(2*time.Minute, consensus.Status{})
	require.Len(t, loggedEvents(t, log, events.LeaderMissing), 7, "the time without a leader starts anew")
}

// Guards against a start that hangs and looks like a process that was never started.
func TestSlowStepsOfTheStartAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logring.New("core-1", settings.Log{RingEntries: 64})
		started := time.Now()
		steps := startSteps{log: log, now: func() time.Duration { return time.Since(started) }}
		require.NoError(t, steps.run("fast", func() error { return nil }))
		require.NoError(t, steps.run("slow", func() error { time.Sleep(3500 * time.Millisecond); return nil }))
		failure := errors.New("no disk")
		require.ErrorIs(t, steps.run("failing", func() error { return failure }), failure)
		var told []any
		for _, line := range loggedEvents(t, log, events.StartStepSlow) {
			told = append(told, line["step"], line["ended"], line["took_ms"])
		}
		require.Equal(t, []any{"slow", false, 1000.0, "slow", false, 2000.0, "slow", true, 3500.0, "failing", true, 0.0}, told)
	})
}
