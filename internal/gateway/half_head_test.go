package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// startHalfHead starts a server that stops each answer in a way. EXCHANGE in the answer stands for the request's exchange.
func startHalfHead(t *testing.T, way halfhead.Way, end halfhead.End) *halfhead.Server {
	t.Helper()
	server, err := halfhead.Start(func(request *http.Request) halfhead.Reply {
		text := strings.ReplaceAll(way.Text, "EXCHANGE", request.Header.Get(enginecontract.HeaderExchange))
		return halfhead.Reply{Pieces: []string{text}, End: end}
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

// controllerCall is a call of a gateway to a controller.
type controllerCall struct {
	// response is what the controller answers.
	response proto.Message
	// mayBeEmpty is true if a whole answer may be an empty message.
	mayBeEmpty bool
	call       func(ctx context.Context, controllers *controllers, address string) error
}

func controllerCalls() map[string]controllerCall {
	guard := func(controllers *controllers, address string) crashguard.LeaderClient {
		return crashguard.LeaderClient{Client: func() hazelpitchv1connect.NodeServiceClient { return controllers.client(address) }}
	}
	return map[string]controllerCall{
		"heartbeat": {
			&v1.SyncResponse{Revision: 9, Full: true, Objects: testObjects(), LeaderAddress: "10.1.1.1:1"}, false,
			func(ctx context.Context, controllers *controllers, address string) error {
				_, err := controllers.sync(ctx, address, &v1.SyncRequest{})
				return err
			},
		},
		"report of demand": {
			&v1.ReportResponse{Shares: []*v1.Share{{Tenant: "one", Concurrency: 5}}}, true,
			func(ctx context.Context, controllers *controllers, _ string) error {
				_, err := controllers.report(ctx, &v1.ReportRequest{})
				return err
			},
		},
		"permit": {
			&v1.TakePermitResponse{Granted: true, WaitUs: 5}, true,
			func(ctx context.Context, controllers *controllers, _ string) error {
				_, err := controllers.takePermit(ctx, &v1.TakePermitRequest{})
				return err
			},
		},
		"claim": {
			&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_FINISHED, Status: 200, ContentType: "text/plain", Body: []byte("first answer")}, true,
			func(ctx context.Context, controllers *controllers, address string) error {
				_, err := controllers.client(address).BeginClaim(ctx, connect.NewRequest(&v1.BeginClaimRequest{}))
				return err
			},
		},
		"outcome of a claim": {
			&v1.FinishClaimResponse{}, true,
			func(ctx context.Context, controllers *controllers, address string) error {
				_, err := controllers.client(address).FinishClaim(ctx, connect.NewRequest(&v1.FinishClaimRequest{}))
				return err
			},
		},
		"report of crashes": {
			&v1.ReportReplicaEndsResponse{Held: [][]byte{{1}, {2}}}, true,
			func(ctx context.Context, controllers *controllers, address string) error {
				_, err := guard(controllers, address).ReportReplicaEnds(ctx, nil, nil)
				return err
			},
		},
		"trial of a quarantined request": {
			&v1.BeginTrialResponse{Granted: true}, true,
			func(ctx context.Context, controllers *controllers, address string) error {
				_, err := guard(controllers, address).BeginTrial(ctx, nil)
				return err
			},
		},
		"release of a quarantined request": {
			&v1.ReleaseRequestResponse{}, true,
			func(ctx context.Context, controllers *controllers, address string) error {
				return guard(controllers, address).ReleaseRequest(ctx, nil)
			},
		},
	}
}

// Guards against an answer of a controller that stops within its head, or before the end of its body, and is taken for an answer without
// content or for a shorter one: the beginning of a message is a message.
func TestHalfAnswersOfControllersAreNotUsed(t *testing.T) {
	t.Parallel()
	for name, call := range controllerCalls() {
		body, err := proto.Marshal(call.response)
		require.NoError(t, err)
		for _, way := range (halfhead.Answer{Headers: "Content-Type: application/proto\r\n", Body: string(body)}).Ways() {
			for endName, end := range halfhead.Ends {
				t.Run(name+"/"+way.Name+"/"+endName, func(t *testing.T) {
					t.Parallel()
					server := startHalfHead(t, way, end)
					control, err := NewControl(testSettings(server.Address()), ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
					require.NoError(t, err)
					err = call.call(t.Context(), control.controllers, server.Address())
					if way.IsLengthZero && call.mayBeEmpty {
						return
					}
					require.Error(t, err)
				})
			}
		}
	}
}

// backEndCall is a request of a caller, and the whole answer of which its back end sends the beginning.
type backEndCall struct {
	answer halfhead.Answer
	// isStream is true if the answer has an end of its own, so that one that declares an empty body is not whole.
	isStream bool
	ends     map[string]halfhead.End
	send     func(t *testing.T, gateway *testGateway) callerAnswer
	backEnd  func(address string) *v1.BackEnd
}

func backEndCalls() map[string]backEndCall {
	echo := enginecontract.HeaderExchange + ": EXCHANGE\r\n"
	page := halfhead.Answer{Headers: echo + "Content-Type: text/plain\r\n", Body: "whole page"}
	events := halfhead.Answer{Headers: echo + "Content-Type: text/event-stream\r\n", Body: "data: {}\n\n"}
	chat := func(kind, body string) func(*testing.T, *testGateway) callerAnswer {
		return func(t *testing.T, gateway *testGateway) callerAnswer {
			return call(t, http.MethodPost, gateway.url+"/v1/chat/completions", body, map[string]string{HeaderKind: kind})
		}
	}
	pageCall := func(method, path string) func(*testing.T, *testGateway) callerAnswer {
		return func(t *testing.T, gateway *testGateway) callerAnswer {
			return call(t, method, gateway.url+path, "", nil)
		}
	}
	pageService := func(address string) *v1.BackEnd { return pageBackEnd("broken", address) }
	engine := func(address string) *v1.BackEnd { return engineBackEnd("broken", address, v1.Role_ROLE_MIXED) }
	closed := map[string]halfhead.End{"closed": halfhead.Close} // each gateway takes two seconds to stop
	return map[string]backEndCall{
		"repeatable page":     {page, false, halfhead.Ends, pageCall(http.MethodGet, "/lots/7"), pageService},
		"non-repeatable page": {page, false, halfhead.Ends, pageCall(http.MethodPost, "/registrations"), pageService},
		"repeatable chat":     {events, true, closed, chat("matching", unstreamedBody), engine},
		"non-repeatable chat": {events, true, closed, chat("once", unstreamedBody), engine},
		"repeatable stream":   {events, true, closed, chat("matching", streamBody), engine},
		"stream":              {events, true, halfhead.Ends, chat("once", streamBody), engine},
	}
}

// Guards against an answer of an engine or a page service that stops within its head, or without its body, and reaches the caller as an
// empty or short one, or as not run.
func TestHalfHeadOfABackEndIsNotDelivered(t *testing.T) {
	t.Parallel()
	for name, test := range backEndCalls() {
		for _, way := range test.answer.Ways() {
			if way.IsLengthZero && !test.isStream {
				continue // declared to be whole
			}
			for endName, end := range test.ends {
				t.Run(name+"/"+way.Name+"/"+endName, func(t *testing.T) {
					t.Parallel()
					server := startHalfHead(t, way, end)
					gateway := startGateway(t, testSettings(startController(t, test.backEnd(server.Address())).address))
					answer := test.send(t, gateway)
					require.NotZero(t, server.Requests())
					require.False(t, answer.status < 300 && (!test.isStream || answer.isComplete), "status %d, %q", answer.status, answer.body)
					for _, told := range []string{answer.verdict, answer.finalVerdict, answer.errorVerdict} {
						require.NotEqual(t, verdict.NotRun.String(), told)
						require.NotEqual(t, verdict.Ran.String(), told)
					}
				})
			}
		}
	}
}

// Guards against half of an answer that keeps a gateway from sending a repeatable request to another back end.
func TestHalfHeadOfABackEndIsReplacedByAWholeAnswer(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"repeatable page", "repeatable chat", "repeatable stream"} {
		test := backEndCalls()[name]
		for _, way := range test.answer.Ways() {
			if way.IsLengthZero && !test.isStream {
				continue // declared to be whole
			}
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				server := startHalfHead(t, way, halfhead.Close)
				page, engine := startPage(t, "sound", nil), startEngine(t)
				controller := startController(t, test.backEnd(server.Address()),
					pageBackEnd("sound-page", page.Address()), engineBackEnd("sound-engine", engine.address(), v1.Role_ROLE_MIXED))
				gateway := startGateway(t, testSettings(controller.address))
				for server.Requests() == 0 { // some are served by the sound back end at once
					answer := test.send(t, gateway)
					require.Equal(t, 200, answer.status, answer.body)
					require.Equal(t, test.isStream, answer.isComplete)
				}
			})
		}
	}
}

// Guards against a whole answer of a page service that has no body, and therefore needs no length, and is refused as a broken one.
func TestPagesWithoutABodyAreDelivered(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		method, path, head string
		status             int
	}{
		"no content":           {http.MethodPost, "/registrations", "204 No Content\r\n", 204},
		"not modified":         {http.MethodGet, "/lots/7", "304 Not Modified\r\n", 304},
		"HEAD":                 {http.MethodHead, "/lots/7", "200 OK\r\n", 200},
		"HEAD with a length":   {http.MethodHead, "/lots/7", "200 OK\r\nContent-Length: 12\r\n", 200},
		"HEAD of chunks":       {http.MethodHead, "/lots/7", "200 OK\r\nTransfer-Encoding: chunked\r\n", 200},
		"length of a 304 page": {http.MethodGet, "/lots/7", "304 Not Modified\r\nContent-Length: 12\r\n", 304},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := startRawPage(t, "HTTP/1.1 "+test.head+enginecontract.HeaderExchange+": EXCHANGE\r\n\r\n")
			gateway := startGateway(t, testSettings(startController(t, pageBackEnd("p1", service)).address))
			answer := call(t, test.method, gateway.url+test.path, "", nil)
			require.Equal(t, test.status, answer.status, answer.body)
			require.Equal(t, verdict.Ran.String(), answer.verdict)
			require.Empty(t, answer.body)
		})
	}
}
