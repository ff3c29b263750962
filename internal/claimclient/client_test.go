package claimclient

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/claims"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// reply is the result of one call to a controller.
type reply struct {
	state  v1.ClaimState
	err    error
	isLost bool // no response until the call's timeout
}

// scriptedControllers answers the calls in the order of its replies.
type scriptedControllers struct {
	replies  []reply
	called   []string
	finished []*v1.FinishClaim
}

func (s *scriptedControllers) Addresses() []string { return []string{"one", "two"} }

func (s *scriptedControllers) nextReply(ctx context.Context, address string) reply {
	s.called = append(s.called, address)
	next := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	if next.isLost {
		<-ctx.Done()
		next.err = ctx.Err()
	}
	return next
}

func (s *scriptedControllers) BeginClaim(ctx context.Context, address string, _ *v1.BeginClaimRequest) (*v1.BeginClaimResponse, error) {
	next := s.nextReply(ctx, address)
	return &v1.BeginClaimResponse{State: next.state}, next.err
}

func (s *scriptedControllers) FinishClaim(ctx context.Context, address string, request *v1.FinishClaimRequest) error {
	next := s.nextReply(ctx, address)
	if next.err == nil {
		s.finished = append(s.finished, request.GetClaim())
	}
	return next.err
}

func clock() func() time.Duration {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}

func notLeader(leader string) error {
	err := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
	err.Meta().Set(HeaderLeaderAddress, leader)
	return err
}

func TestBegin(t *testing.T) {
	granted := reply{state: v1.ClaimState_CLAIM_STATE_GRANTED}
	rows := []struct {
		name    string
		replies []reply
		want    claims.Decision
		release bool
		called  []string
		took    time.Duration
	}{
		{"granted", []reply{granted}, claims.Decision{Run: true}, false, []string{"one"}, 0},
		{"lost, then granted", []reply{{isLost: true}, granted}, claims.Decision{Run: true}, false, []string{"one", "two"}, 500 * time.Millisecond},
		{"redirected to the leader", []reply{{err: notLeader("three")}, granted}, claims.Decision{Run: true}, false, []string{"one", "three"}, 0},
		{"refused permanently", []reply{{err: connect.NewError(connect.CodeInvalidArgument, errors.New("bad"))}},
			claims.Decision{Reason: claims.ErrRefused}, false, []string{"one"}, 0},
		{"every call lost", []reply{{isLost: true}}, claims.AbandonedDecision(), true, nil, 3 * time.Second},
		{"every call fails temporarily", []reply{{err: notLeader("")}}, claims.AbandonedDecision(), true, nil, 3 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controllers := &scriptedControllers{replies: row.replies}
				now := clock()
				client := New(claims.Config{}, controllers, now)
				decision, release := client.Begin(t.Context(), 0, &v1.BeginClaim{Attempt: "a"})
				if row.want.Reason != nil {
					row.want.Verdict = verdict.NotRun
				}
				require.Equal(t, row.want, decision)
				require.Equal(t, row.release, release)
				require.Equal(t, row.took, now())
				if row.called != nil {
					require.Equal(t, row.called, controllers.called)
				}
			})
		})
	}
}

func TestBeginStopsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		now := clock()
		client := New(claims.Config{}, &scriptedControllers{replies: []reply{{isLost: true}}}, now)
		decision, release := client.Begin(ctx, 0, &v1.BeginClaim{})
		require.Equal(t, claims.AbandonedDecision(), decision)
		require.True(t, release)
		require.Equal(t, 100*time.Millisecond, now())
	})
}

func TestRecorderResendsAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controllers := &scriptedControllers{replies: []reply{{isLost: true}, {err: notLeader("")}, {}}}
		recorder := NewRecorder(New(claims.Config{}, controllers, clock()))
		require.True(t, recorder.Record(&v1.BeginClaim{Attempt: "a"}, verdict.Ran, claims.Outcome{Status: 200}))
		recorder.Close()
		recorder.Run(t.Context())
		require.Len(t, controllers.finished, 1)
		require.Equal(t, uint32(200), controllers.finished[0].GetStatus())
	})
}

func TestRecorderIsBounded(t *testing.T) {
	recorder := NewRecorder(New(claims.Config{}, &scriptedControllers{}, clock()))
	for range recorderQueueLength {
		require.True(t, recorder.Record(&v1.BeginClaim{}, verdict.NotRun, claims.Outcome{}))
	}
	require.False(t, recorder.Record(&v1.BeginClaim{}, verdict.NotRun, claims.Outcome{}))
}
