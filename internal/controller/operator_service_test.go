package controller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// testController serves the handlers of a controller with a scripted core.
func testController(t *testing.T, respond func(call control.CallID, input control.Input) control.Answer) *httptest.Server {
	return testFollower(t, func() string { return "" }, respond)
}

// testFollower serves the handlers of a controller that knows the leader's address.
func testFollower(t *testing.T, leaderAddress func() string, respond func(call control.CallID, input control.Input) control.Answer) *httptest.Server {
	calls := newCalls()
	core := &scriptedCore{}
	origin := time.Now()
	loop := newLoop(core, func() time.Duration { return time.Since(origin) })
	loop.execute = func(output control.Output) { calls.answer(output.(control.Answer)) }
	core.respond = func(input control.Input) []control.Output {
		switch received := input.(type) {
		case control.ApplyReceived:
			return []control.Output{respond(received.Call, input)}
		case control.ExecuteReceived:
			return []control.Output{respond(received.Call, input)}
		case control.RefusalReceived:
			return []control.Output{respond(received.Call, input)}
		case control.WatchReceived:
			return []control.Output{respond(received.Call, input)}
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.run(ctx)
	shared := &service{loop: loop, calls: calls, peers: http.DefaultClient, peerURL: peerURL(false), leaderAddress: leaderAddress, countCall: func(string, string) {}}
	operator := operatorService{
		service: shared, firstKeyHash: keys.HashBearerKey("first"),
		lookUp: func(keyHash string) (string, v1.OperatorRole, bool) {
			return "vera", v1.OperatorRole_OPERATOR_ROLE_VIEWER, keyHash == keys.HashBearerKey("viewer")
		},
	}
	server := httptest.NewServer(handler("fleet", connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc { return next }), consensusService{loop: loop}, nodeService{shared}, operator))
	t.Cleanup(server.Close)
	return server
}

const declaration = `pin engine-1 { role = mixed }`

func apply(server *httptest.Server, key string) (*connect.Response[v1.ApplyResponse], error) {
	request := connect.NewRequest(&v1.ApplyRequest{RequestId: "r", Files: []*v1.SourceFile{{Name: "a.hzl", Text: declaration}}})
	if key != "" {
		request.Header().Set(headerAuthorization, bearerPrefix+key)
	}
	return hazelpitchv1connect.NewOperatorServiceClient(http.DefaultClient, server.URL).Apply(context.Background(), request)
}

func TestOperatorsAreAuthenticatedAndTheirRoleIsChecked(t *testing.T) {
	var operator, refused string
	server := testController(t, func(call control.CallID, input control.Input) control.Answer {
		if refusal, is := input.(control.RefusalReceived); is {
			refused = refusal.Operator + " " + refusal.RequestID
			return control.Answer{Call: call, Err: refusal.Err}
		}
		operator = input.(control.ApplyReceived).Operator
		return control.Answer{Call: call, Response: &v1.ApplyResponse{Revision: 4}}
	})
	for _, row := range []struct {
		key  string
		code connect.Code
	}{
		{"", connect.CodeUnauthenticated},
		{"wrong", connect.CodeUnauthenticated},
		{"viewer", connect.CodePermissionDenied},
	} {
		_, err := apply(server, row.key)
		require.Equal(t, row.code, connect.CodeOf(err), row.key)
	}
	require.Empty(t, operator)
	require.Equal(t, "vera r", refused, "the core records the refusal in the audit log")
	response, err := apply(server, "first")
	require.NoError(t, err)
	require.Equal(t, uint64(4), response.Msg.GetRevision())
	require.Equal(t, firstAdministrator, operator)
}

func TestCallsAreForwardedToTheLeaderOnce(t *testing.T) {
	leader := testController(t, func(call control.CallID, _ control.Input) control.Answer {
		return control.Answer{Call: call, Response: &v1.ApplyResponse{Revision: 9}}
	})
	leaderAddress := leader.Listener.Addr().String()
	notLeader := func(address string) func(control.CallID, control.Input) control.Answer {
		return func(call control.CallID, _ control.Input) control.Answer {
			return control.Answer{Call: call, Err: &control.NotLeaderError{Leader: address}}
		}
	}
	follower := testController(t, notLeader(leaderAddress))
	response, err := apply(follower, "first")
	require.NoError(t, err)
	require.Equal(t, uint64(9), response.Msg.GetRevision())

	outdatedFollower := testController(t, notLeader(follower.Listener.Addr().String()))
	_, err = apply(outdatedFollower, "first")
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	var coded *connect.Error
	require.ErrorAs(t, err, &coded)
	require.Equal(t, leaderAddress, coded.Meta().Get(HeaderLeaderAddress))

	_, err = apply(testController(t, notLeader("")), "first")
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
}

// A call that was forwarded to a leader which never answers must end once another controller is known to lead.
func TestForwardedCallEndsWhenTheLeaderChanges(t *testing.T) {
	reached := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // the server detects a closed connection only after reading the body
		close(reached)
		<-request.Context().Done()
	}))
	t.Cleanup(silent.Close)
	formerLeader := strings.TrimPrefix(silent.URL, "http://")
	leader := formerLeader // read and written on the loop only
	follower := testFollower(t, func() string {
		select {
		case <-reached:
			leader = "127.0.0.9:1"
		default:
		}
		return leader
	}, func(call control.CallID, _ control.Input) control.Answer {
		return control.Answer{Call: call, Err: &control.NotLeaderError{Leader: formerLeader}}
	})
	_, err := apply(follower, "first")
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err), "%v", err)
	require.ErrorContains(t, err, "leader changed")
}
