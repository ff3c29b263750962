package claims

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

const (
	millisecond = time.Millisecond
	first       = "127.0.0.1:1"
	second      = "127.0.0.1:2"
	third       = "127.0.0.1:3"
)

var testClaim = &v1.BeginClaim{Tenant: "t", Kind: "alert", Key: "k", Attempt: "a1"}

// TestDecisions checks the decision for each response of the controllers.
func TestDecisions(t *testing.T) {
	rows := []struct {
		name     string
		response *v1.BeginClaimResponse
		want     Decision
	}{
		{"granted", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED}, Decision{Run: true}},
		{"running", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_RUNNING},
			Decision{Reason: ErrRunning, Verdict: verdict.MayHaveRun, RetryAfter: time.Second}},
		{"finished", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_FINISHED, Status: 201, ContentType: "text/plain", Body: []byte("done")},
			Decision{Verdict: verdict.Ran, Replay: &Outcome{Status: 201, ContentType: "text/plain", Body: []byte("done")}}},
		{"finished, body too large to store", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_FINISHED, Status: 200, BodyOmitted: true},
			Decision{Verdict: verdict.Ran, Replay: &Outcome{Status: 200, BodyOmitted: true}}},
		{"unknown", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_UNKNOWN}, Decision{Reason: ErrUnknown, Verdict: verdict.MayHaveRun}},
		{"conflict", &v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_CONFLICT}, Decision{Reason: ErrConflict, Verdict: verdict.NotRun}},
		{"no state", &v1.BeginClaimResponse{}, Decision{Reason: ErrUnknown, Verdict: verdict.MayHaveRun}},
		{"state of a newer version", &v1.BeginClaimResponse{State: 99}, Decision{Reason: ErrUnknown, Verdict: verdict.MayHaveRun}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begin := NewBeginOperation(Config{}, 0, 0, testClaim, []string{first})
			require.Equal(t, Step{Call: first, Timeout: 500 * millisecond}, begin.Next(0))
			begin.HandleResponse(row.response)
			require.True(t, begin.Next(0).Done)
			require.Equal(t, &row.want, begin.Decision())
			begin.HandleResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED})
			begin.HandleFailure(0, Failure{Permanent: true})
			require.Equal(t, &row.want, begin.Decision(), "the first decision is final")
			require.False(t, begin.MustRelease())
		})
	}
}

// TestRefusalsAreNotRetried checks that a refusal that no other controller and no later call would
// change is final.
func TestRefusalsAreNotRetried(t *testing.T) {
	rows := []struct {
		name    string
		failure Failure
		want    Decision
	}{
		{"invalid", Failure{Permanent: true}, Decision{Reason: ErrRefused}},
		{"too many claims", Failure{OverCapacity: true}, Decision{Reason: ErrFull, RetryAfter: 30 * time.Second}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begin := NewBeginOperation(Config{}, 0, 0, testClaim, []string{first, second})
			begin.Next(0)
			begin.HandleFailure(millisecond, row.failure)
			require.True(t, begin.Next(millisecond).Done)
			row.want.Verdict = verdict.NotRun
			require.Equal(t, &row.want, begin.Decision())
			require.False(t, begin.MustRelease())
		})
	}
}

// TestCallOrder checks which controllers a BeginOperation calls after failures.
func TestCallOrder(t *testing.T) {
	rows := []struct {
		name     string
		failures []Failure
		want     []string // addresses called; "" is a pause
	}{
		{"each controller in turn, then a pause", make([]Failure, 4), []string{first, second, third, "", first}},
		{"the leader named by a controller", []Failure{{Leader: third}, {}}, []string{first, third, first}},
		{"a leader that was unknown before", []Failure{{Leader: "127.0.0.1:9"}}, []string{first, "127.0.0.1:9"}},
		{"a controller that names itself is not trusted", []Failure{{Leader: first}}, []string{first, second}},
		{"a permanent refusal", []Failure{{Permanent: true}}, []string{first}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begin := NewBeginOperation(Config{}, 0, 0, testClaim, []string{first, second, third})
			var now time.Duration
			var called []string
			for _, failure := range append(row.failures, Failure{}) {
				step := begin.Next(now)
				if step.Done || len(called) == len(row.want) {
					break
				}
				called = append(called, step.Call)
				if step.Call == "" {
					now = step.Wait
					step = begin.Next(now)
					called = append(called, step.Call)
				}
				now += millisecond
				begin.HandleFailure(now, failure)
			}
			require.Equal(t, row.want, called)
		})
	}
}

func TestUnreachableControllersRefuseTheRequest(t *testing.T) {
	refused := &Decision{Reason: ErrUnreachable, Verdict: verdict.NotRun, RetryAfter: 2 * time.Second}
	rows := []struct {
		name        string
		deadline    time.Duration
		controllers []string
		endsAt      time.Duration
	}{
		{"three seconds", 0, []string{first}, 3 * time.Second},
		{"half of the remaining time", 2 * time.Second, []string{first}, time.Second},
		{"no controller is known", 0, nil, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			begin := NewBeginOperation(Config{}, 0, row.deadline, testClaim, row.controllers)
			if row.endsAt > 0 {
				require.False(t, begin.Next(row.endsAt-1).Done)
			}
			require.True(t, begin.Next(row.endsAt).Done)
			require.Equal(t, refused, begin.Decision())
			require.True(t, begin.MustRelease())
			begin.HandleResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED})
			require.Equal(t, refused, begin.Decision(), "a late grant does not run the request")
		})
	}
}

func TestFinishMessages(t *testing.T) {
	outcome := Outcome{Status: 200, ContentType: "text/plain", Body: []byte("done")}
	large := Outcome{Status: 200, Body: make([]byte, 10*MaximumOutcomeBytes)}
	rows := []struct {
		name    string
		result  verdict.Verdict
		outcome Outcome
		want    *v1.FinishClaim
	}{
		{"ran", verdict.Ran, outcome, &v1.FinishClaim{Status: 200, ContentType: "text/plain", Body: []byte("done")}},
		{"not run", verdict.NotRun, outcome, &v1.FinishClaim{NotRun: true}},
		{"may have run", verdict.MayHaveRun, outcome, &v1.FinishClaim{MayHaveRun: true}},
		{"body too large", verdict.Ran, large, &v1.FinishClaim{Status: 200, Body: bytes.Repeat([]byte{0}, MaximumOutcomeBytes+1)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			row.want.Tenant, row.want.Kind, row.want.Key, row.want.Attempt = "t", "alert", "k", "a1"
			finish := NewFinishOperation(Config{}, 0, testClaim, row.result, row.outcome, []string{first, second})
			require.Equal(t, row.want, finish.Request().GetClaim())
			require.Equal(t, first, finish.Next(0).Call)
			finish.HandleFailure(0, Failure{})
			require.Equal(t, second, finish.Next(0).Call)
			finish.MarkRecorded()
			require.True(t, finish.Next(0).Done)
			require.True(t, finish.IsRecorded())
		})
	}
	finish := NewFinishOperation(Config{}, 0, testClaim, verdict.Ran, outcome, []string{first})
	require.True(t, finish.Next(30*time.Second).Done)
	require.False(t, finish.IsRecorded())
	refused := NewFinishOperation(Config{}, 0, testClaim, verdict.Ran, outcome, []string{first})
	refused.HandleFailure(0, Failure{Permanent: true})
	require.True(t, refused.Next(0).Done)
}

// Guards against claims that are refused, or outcomes that are lost, because the leader is silent for 2 s: every call to a
// controller, which forwards it to the leader, runs into its time limit meanwhile.
func TestClaimsOutlastASilentLeader(t *testing.T) {
	const silence = 2 * time.Second
	controllers := []string{"leader", "second", "third"}
	begin := NewBeginOperation(Config{}, 0, time.Minute, &v1.BeginClaim{}, controllers)
	finish := NewFinishOperation(Config{}, 0, &v1.BeginClaim{}, verdict.Ran, Outcome{Status: 200}, controllers)
	for now, step := time.Duration(0), begin.Next(0); !step.Done; step = begin.Next(now) {
		switch {
		case step.Call == "":
			now = step.Wait
		case now < silence:
			now += step.Timeout
			begin.HandleFailure(now, Failure{})
		default:
			begin.HandleResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED})
		}
	}
	require.True(t, begin.Decision().Run)
	for now, step := time.Duration(0), finish.Next(0); !step.Done; step = finish.Next(now) {
		switch {
		case step.Call == "":
			now = step.Wait
		case now < silence:
			now += step.Timeout
			finish.HandleFailure(now, Failure{})
		default:
			finish.MarkRecorded()
		}
	}
	require.True(t, finish.IsRecorded())
}
