package controller

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/control"
)

// HeaderLeaderAddress is the header with the leader's address. It is set on errors of calls that
// need the leader, if the answering controller knows it.
const HeaderLeaderAddress = "X-Leader-Address"

// headerForwarded marks a call that another controller has forwarded; such a call is not
// forwarded again.
const headerForwarded = "X-Forwarded-By-Controller"

// connectError adds the code that tells a client how to react. Calls with the codes
// Unavailable and ResourceExhausted had no effect here and may be retried at another
// controller; calls with InvalidArgument will fail again.
func connectError(err error) error {
	if err == nil {
		return nil
	}
	var known *connect.Error
	if errors.As(err, &known) {
		return localError(known)
	}
	coded := connect.NewError(codeOf(err), err)
	var notLeader *control.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		coded.Meta().Set(HeaderLeaderAddress, notLeader.Leader)
	}
	return coded
}

// localError turns an error received from the leader into a new error of this controller:
// the library forwards neither the code nor the metadata of errors received from a peer.
func localError(received *connect.Error) *connect.Error {
	if !connect.IsWireError(received) {
		return received
	}
	local := connect.NewError(received.Code(), errors.New(received.Message()))
	if leader := received.Meta().Get(HeaderLeaderAddress); leader != "" {
		local.Meta().Set(HeaderLeaderAddress, leader)
	}
	return local
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
