package controller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// wholeDocument returns a whole answer with a document.
func wholeDocument(t *testing.T, document any) halfhead.Answer {
	t.Helper()
	body, err := json.Marshal(document)
	require.NoError(t, err)
	return halfhead.Answer{Headers: "Content-Type: application/json\r\n", Body: string(body)}
}

// Guards against an answer of an engine or the platform that stops within its head, or before the end of its body, and is taken for a
// confirmation, an idle engine or an empty list.
func TestHalfAnswersOfEnginesAreNotUsed(t *testing.T) {
	t.Parallel()
	state := enginecontract.EngineState{Engine: "e", Service: "s", State: enginecontract.StateServing}
	ignore := func(context.Context, control.Input) error { return nil }
	exchange := func(address string, output control.Output) control.Input {
		return newEngines((&net.Dialer{}).DialContext, ignore, func(string, bool) {}).exchange(output)
	}
	for name, call := range map[string]struct {
		answer halfhead.Answer
		// before is the path of the call that precedes the one whose answer stops, and beforeAnswer its answer.
		before       string
		beforeAnswer halfhead.Answer
		check        func(t *testing.T, address string)
	}{
		"order": {answer: wholeDocument(t, enginecontract.OrderAnswer{Accepted: true, State: state}), check: func(t *testing.T, address string) {
			answered := exchange(address, control.SendOrder{Engine: "e", Address: address}).(control.OrderAnswered)
			require.Nil(t, answered.Answer)
		}},
		"fence": {answer: wholeDocument(t, enginecontract.OrderAnswer{Accepted: true, State: state}), check: func(t *testing.T, address string) {
			answered := exchange(address, control.SendFence{Engine: "e", Address: address}).(control.FenceAnswered)
			require.Nil(t, answered.Answer)
		}},
		"state": {answer: wholeDocument(t, state), check: func(t *testing.T, address string) {
			received := exchange(address, control.PollEngine{Engine: "e", Address: address}).(control.EngineStateReceived)
			require.Nil(t, received.State)
			require.Nil(t, received.Load)
		}},
		"load": {answer: wholeDocument(t, enginecontract.LoadReport{Engine: "e"}), before: enginecontract.PathState, beforeAnswer: wholeDocument(t, state),
			check: func(t *testing.T, address string) {
				received := exchange(address, control.PollEngine{Engine: "e", Address: address}).(control.EngineStateReceived)
				require.Equal(t, "e", received.State.Engine)
				require.Nil(t, received.Load)
			}},
		"machine list": {answer: wholeDocument(t, enginecontract.MachineList{Version: 4, Machines: []enginecontract.Machine{{Name: "e"}}}),
			check: func(t *testing.T, address string) {
				list := enginecontract.MachineList{}
				require.Error(t, get(newExternalClient((&net.Dialer{}).DialContext, maxMachineListBytes), address, enginecontract.PathMachines, &list))
			}},
	} {
		for _, way := range call.answer.Ways() {
			for endName, end := range halfhead.Ends {
				t.Run(name+"/"+way.Name+"/"+endName, func(t *testing.T) {
					t.Parallel()
					server, err := halfhead.Start(func(request *http.Request) halfhead.Reply {
						if request.URL.Path == call.before {
							return halfhead.Reply{Pieces: []string{call.beforeAnswer.Whole()}, End: halfhead.Keep}
						}
						return halfhead.Reply{Pieces: []string{way.Text}, End: end}
					})
					require.NoError(t, err)
					t.Cleanup(server.Close)
					call.check(t, server.Address())
					require.NotZero(t, server.Requests())
				})
			}
		}
	}
}

// Guards against an answer between controllers that stops within its head, or before the end of its stream, or whose head is none, and is
// taken for an empty one: an empty message is a confirmation for some calls.
func TestHalfAnswersOfControllersAreNotUsed(t *testing.T) {
	t.Parallel()
	for _, way := range append(halfhead.HTTP2Ways(), halfhead.SpoiltHTTP2Heads()...) {
		t.Run(way.Name, func(t *testing.T) {
			t.Parallel()
			server, err := halfhead.StartHTTP2(way)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			url := peerURL(false)(server.Address())
			calls := map[string]func(client *http.Client) error{
				"consensus": func(client *http.Client) error {
					_, err := hazelpitchv1connect.NewConsensusServiceClient(client, url).Deliver(ctx, connect.NewRequest(&v1.DeliverRequest{}))
					return err
				},
				"usage": func(client *http.Client) error {
					_, err := hazelpitchv1connect.NewNodeServiceClient(client, url).ReportUsage(ctx, connect.NewRequest(&v1.ReportUsageRequest{}))
					return err
				},
				"permit": func(client *http.Client) error {
					_, err := hazelpitchv1connect.NewNodeServiceClient(client, url).TakePermit(ctx, connect.NewRequest(&v1.TakePermitRequest{}))
					return err
				},
				"submission": func(client *http.Client) error {
					_, err := hazelpitchv1connect.NewOperatorServiceClient(client, url).Apply(ctx, connect.NewRequest(&v1.ApplyRequest{}))
					return err
				},
			}
			for name, call := range calls {
				client, received := newPeerClient((&net.Dialer{}).DialContext, nil), server.Requests() // the server closes the last call's connection
				err := call(client)
				client.CloseIdleConnections()
				require.Equal(t, way.IsWhole, err == nil, "%s: %v", name, err)
				require.Greater(t, server.Requests(), received)
			}
		})
	}
}
