package operatorclient

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// HeaderLeaderAddress is the header in which controllers that are not the leader name its address, in
// errors of calls that need the leader.
const HeaderLeaderAddress = "X-Leader-Address"

// UnreachableError reports that no controller answered in time. It is unknown whether the request took
// effect; the same request may be sent again.
type UnreachableError struct {
	// Attempts is the last failure at each controller, in the order of their first failures.
	Attempts []Attempt
}

// Attempt is one controller's last failure.
type Attempt struct {
	Controller string
	Err        error
}

// Error names each controller with its failure.
func (e *UnreachableError) Error() string {
	lines := []string{"no controller answered:"}
	for _, attempt := range e.Attempts {
		lines = append(lines, fmt.Sprintf("  %s: %v", attempt.Controller, attempt.Err))
	}
	return strings.Join(lines, "\n")
}

// RefusedError is a controller's final answer: a retry would not change it.
type RefusedError struct {
	Controller string
	Code       connect.Code
	Message    string
}

// Error returns the controller's message.
func (e *RefusedError) Error() string { return e.Message }

// asRefusal converts a final error to a RefusedError; it returns nil when a retry may succeed.
func asRefusal(controller string, err error) error {
	var peer *keys.PeerError
	if errors.As(err, &peer) {
		return &RefusedError{Controller: controller, Code: connect.CodePermissionDenied, Message: peer.Error()}
	}
	code := connect.CodeOf(err)
	switch code {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeAborted, connect.CodeCanceled:
		return nil
	case connect.CodeUnknown, connect.CodeInternal:
		if !connect.IsWireError(err) {
			return nil // the client made the error itself: the connection broke during the answer
		}
	}
	return &RefusedError{Controller: controller, Code: code, Message: messageOf(err)}
}

// messageOf returns the text that the controller sent.
func messageOf(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return connectError.Message()
	}
	return err.Error()
}

// leaderHint returns the leader's address from a controller's error, or "".
func leaderHint(err error) string {
	var connectError *connect.Error
	if errors.As(err, &connectError) {
		return connectError.Meta().Get(HeaderLeaderAddress)
	}
	return ""
}
