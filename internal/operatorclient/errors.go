package operatorclient

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"github.com/hazelpitch/hazelpitch/internal/keys"
)

// HeaderLeaderAddress is set by controllers on errors of calls that need the leader.
const HeaderLeaderAddress = "X-Leader-Address"

// UnreachableError tells that no controller answered in time. Whether the request
// took effect is not known; the same request may be sent again.
type UnreachableError struct {
	// Attempts holds the last failure at each controller, in order.
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

// RefusedError is a controller's answer that will not change by asking again.
type RefusedError struct {
	Controller string
	Code       connect.Code
	Message    string
}

// Error gives the controller's message.
func (e *RefusedError) Error() string { return e.Message }

// refusal returns the error as a final one, or nil when another attempt may help.
func refusal(controller string, err error) error {
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
			return nil // the answer broke off on its way
		}
	}
	return &RefusedError{Controller: controller, Code: code, Message: messageOf(err)}
}

// messageOf is the text that the controller sent.
func messageOf(err error) string {
	var known *connect.Error
	if errors.As(err, &known) {
		return known.Message()
	}
	return err.Error()
}

// leaderHint is the leader's address in an error of a controller, or "".
func leaderHint(err error) string {
	var known *connect.Error
	if errors.As(err, &known) {
		return known.Meta().Get(HeaderLeaderAddress)
	}
	return ""
}
