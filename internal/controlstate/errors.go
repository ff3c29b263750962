package controlstate

import "errors"

// Errors of commands. They are wrapped with details and the remedy.
var (
	// ErrStaleEpoch means that the proposer no longer has authority over the engines.
	ErrStaleEpoch = errors.New("the authority epoch is not the one in force")
	// ErrOrderOutstanding means that the engine may still hold another order.
	ErrOrderOutstanding = errors.New("the engine has an outstanding order")
	// ErrNoSuchOrder means that the order is not outstanding; it may have finished already.
	ErrNoSuchOrder = errors.New("the order is not outstanding")
	// ErrUnknownEngine means that no such engine is recorded.
	ErrUnknownEngine = errors.New("the engine is not known")
	// ErrRequestReused means that a request identity was used before with other content.
	ErrRequestReused = errors.New("the request identity was used for another submission")
	// ErrTooManyClaims means that the limit on retained claims is reached.
	ErrTooManyClaims = errors.New("too many claims are remembered; wait until some expire")
	// ErrClaimExpired means that the claim's time to live has passed.
	ErrClaimExpired = errors.New("the claim has expired")
	// ErrClaimNotHeld means that the attempt does not hold the claim.
	ErrClaimNotHeld = errors.New("the attempt does not hold the claim")
	// ErrTrialDenied means that the quarantined request may not be tried now.
	ErrTrialDenied = errors.New("no trial is granted")
	// ErrFormatNotAgreed means that the command has no effect because not all voters are known to support its format.
	ErrFormatNotAgreed = errors.New("the command is of a format that is not agreed on")
	// ErrUnknownCommand means that this build cannot apply a command that other builds apply. The controller must stop.
	ErrUnknownCommand = errors.New("the command is of a newer build")
	// ErrInvalidCommand means that the command is malformed.
	ErrInvalidCommand = errors.New("the command is invalid")
)
