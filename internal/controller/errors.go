package controller

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// HeaderLeaderAddress is set on errors of calls that need the leader, when the
// answering controller knows it.
const HeaderLeaderAddress = "X-Leader-Address"

// headerForwarded marks a call that another controller has passed on; it is not
// passed on again.
const headerForwarded = "X-Forwarded-By-Controller"

// connectError gives an error the code that tells a client what it may do:
// Unavailable and ResourceExhausted calls had no effect here and may be tried at
// another controller, InvalidArgument ones will fail again.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var known *connect.Error
	if errors.As(err, &known) {
		return ownError(known)
	}
	coded := connect.NewError(codeOf(err), err)
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		coded.Meta().Set(HeaderLeaderAddress, notLeader.Leader)
	}
	return coded
}

// ownError makes an error that came from the leader one of this controller's own:
// the library sends on neither code nor metadata of errors received from a peer.
func ownError(received *connect.Error) *connect.Error {
	if !connect.IsWireError(received) {
		return received
	}
	own := connect.NewError(received.Code(), errors.New(received.Message()))
	if leader := received.Meta().Get(HeaderLeaderAddress); leader != "" {
		own.Meta().Set(HeaderLeaderAddress, leader)
	}
	return own
}

func codeOf(err error) connect.Code {
	var notLeader *control.NotLeaderError
	switch {
	case errors.As(err, &notLeader), trace.IsConnectionProblem(err):
		return connect.CodeUnavailable
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	case trace.IsBadParameter(err):
		return connect.CodeInvalidArgument
	case trace.IsNotFound(err):
		return connect.CodeNotFound
	case trace.IsAccessDenied(err):
		return connect.CodePermissionDenied
	case trace.IsAlreadyExists(err):
		return connect.CodeAlreadyExists
	case trace.IsCompareFailed(err):
		return connect.CodeFailedPrecondition
	case trace.IsLimitExceeded(err):
		return connect.CodeResourceExhausted
	case trace.IsNotImplemented(err):
		return connect.CodeUnimplemented
	}
	return connect.CodeInternal
}
