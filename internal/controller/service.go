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

// callTimeout limits a call whose client set no shorter deadline.
const callTimeout = 10 * time.Second

// leaderPollInterval is the interval at which a forwarded call checks which controller leads.
const leaderPollInterval = 100 * time.Millisecond

// errLeaderChanged is the error of a call that was forwarded to a controller which, as far as this
// one knows, no longer leads. The call may have had an effect.
var errLeaderChanged = trace.ConnectionProblem(nil,
	"the leader changed before it answered; send the call again with the same identity")

// service holds what the handlers of the three services share.
type service struct {
	loop  *loop
	calls *calls
	// peers is the HTTP client for other controllers.
	peers *http.Client
	// peerURL returns the base URL of another controller.
	peerURL func(address string) string
	log     *logring.Log
	// leaderAddress returns the leader's address as far as this controller knows. It runs on the loop.
	leaderAddress func() string
	// countCall counts calls by procedure and code.
	countCall func(procedure, code string)
}

// forwardCall forwards a call to the controller at the base URL.
type forwardCall[Request, Response any] func(ctx context.Context, peers *http.Client, baseURL string, request *connect.Request[Request]) (*connect.Response[Response], error)

// serve has the Core answer a call. A call that needs the leader is forwarded to
// it once; the client receives the leader's answer, or an error that names the leader's address.
func serve[Request, Response any](
	ctx context.Context, s *service, request *connect.Request[Request],
	input func(control.CallID) control.Input, forward forwardCall[Request, Response],
) (*connect.Response[Response], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := serveLocally[Request, Response](ctx, s, input)
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" && request.Header().Get(headerForwarded) == "" {
		forwarded := connect.NewRequest(request.Msg)
		forwarded.Header().Set(headerForwarded, "1")
		forwarded.Header().Set(headerAuthorization, request.Header().Get(headerAuthorization))
		leading, stop := s.contextWhileLeading(ctx, notLeader.Leader)
		defer stop()
		response, err = forward(leading, s.peers, s.peerURL(notLeader.Leader), forwarded)
		if err != nil && errors.Is(context.Cause(leading), errLeaderChanged) {
			err = errLeaderChanged
		}
	}
	err = connectError(err)
	s.countOutcome(request.Spec().Procedure, err)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.Msg), nil
}

// contextWhileLeading returns a context that ends once this controller knows that the controller at the
// address no longer leads: a leader that is partitioned from the others would never answer.
func (s *service) contextWhileLeading(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	leading, cancel := context.WithCancelCause(ctx)
	go func() {
		for pause.For(leading, leaderPollInterval) {
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

func serveLocally[Request, Response any](ctx context.Context, s *service, input func(control.CallID) control.Input) (*connect.Response[Response], error) {
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

func (s *service) countOutcome(procedure string, err error) {
	if err == nil {
		s.countCall(procedure, "ok")
		return
	}
	code := connect.CodeOf(err)
	s.countCall(procedure, code.String())
	if code == connect.CodeInternal {
		s.log.Error().Str("procedure", procedure).Err(err).Msg("a call failed with an internal error")
	}
}
