package gateway

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/crashguard"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// startHalfHead starts a server that stops each answer in a way.
func startHalfHead(t *testing.T, way halfhead.Way, end halfhead.End) *halfhead.Server {
	t.Helper()
	server, err := halfhead.Start(func(*http.Request) halfhead.Reply {
		return halfhead.Reply{Pieces: []string{way.Text}, End: end}
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
