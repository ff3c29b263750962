package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// callTimeout ends a call whose client set no shorter deadline.
const callTimeout = 10 * time.Second

// leaderPoll is the time between two looks at who leads while a call is passed on.
const leaderPoll = 100 * time.Millisecond

// errLeaderChanged answers a call that was passed on to a leader which does not lead any
// more as far as this controller knows. It may have had an effect.
var errLeaderChanged = trace.ConnectionProblem(nil,
	"the leader changed before it answered; send the call again with the same identity")

// service is what the handlers of the three services share.
type service struct {
	loop  *loop
	calls *calls
	// peers is the HTTP client towards other controllers.
	peers *http.Client
	// peerURL makes the base URL of another controller.
	peerURL func(address string) string
	log     *logring.Log
	// leaderAddress is the leader's as far as this controller knows. It runs on the loop.
	leaderAddress func() string
	// answered counts calls by procedure and code.
	answered func(procedure, code string)
}

// forwardCall passes a call on to the controller behind the base URL.
type forwardCall[Request, Response any] func(ctx context.Context, peers *http.Client, baseURL string, request *connect.Request[Request]) (*connect.Response[Response], error)

// serve lets the Core answer a call. A call that needs the leader is passed on to
// it once; the client gets the leader's answer, or an error that names its address.
func serve[Request, Response any](
	ctx context.Context, s *service, request *connect.Request[Request],
	input func(control.CallID) control.Input, forward forwardCall[Request, Response],
) (*connect.Response[Response], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := serveHere[Request, Response](ctx, s, input)
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" && request.Header().Get(headerForwarded) == "" {
		passedOn := connect.NewRequest(request.Msg)
		passedOn.Header().Set(headerForwarded, "1")
		passedOn.Header().Set(headerAuthorization, request.Header().Get(headerAuthorization))
		leading, stop := s.whileLeading(ctx, notLeader.Leader)
		defer stop()
		response, err = forward(leading, s.peers, s.peerURL(notLeader.Leader), passedOn)
		if err != nil && errors.Is(context.Cause(leading), errLeaderChanged) {
			err = errLeaderChanged
		}
	}
	err = connectError(err)
	s.count(request.Spec().Procedure, err)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.Msg), nil
}

// whileLeading returns a context that ends when the controller behind the address is no
// longer known to lead: a leader that is cut off would be waited for in vain.
func (s *service) whileLeading(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	leading, cancel := context.WithCancelCause(ctx)
	go func() {
		for pause.For(leading, leaderPoll) {
			var known string
			if err := s.loop.inspect(leading, func() { known = s.leaderAddress() }); err != nil {
				return
			}
			if known != address {
				cancel(errLeaderChanged)
				return
			}
		}
	}()
	return leading, func() { cancel(context.Canceled) }
}

func serveHere[Request, Response any](ctx context.Context, s *service, input func(control.CallID) control.Input) (*connect.Response[Response], error) {
	message, err := s.calls.do(ctx, s.loop, input)
	if err != nil {
		return nil, err
	}
	response, fits := any(message).(*Response)
	if !fits {
		return nil, trace.Errorf("the core answered with a %T", message)
	}
	return connect.NewResponse(response), nil
}

func (s *service) count(procedure string, err error) {
	if err == nil {
		s.answered(procedure, "ok")
		return
	}
	code := connect.CodeOf(err)
	s.answered(procedure, code.String())
	if code == connect.CodeInternal {
		s.log.Error().Str("procedure", procedure).Err(err).Msg("a call failed for a reason inside the controller")
	}
}
