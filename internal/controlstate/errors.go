package controlstate

import "errors"

// Errors of commands. They are wrapped with the place and the cure.
var (
	// ErrStaleEpoch: the proposer's authority over the engines has ended.
	ErrStaleEpoch = errors.New("the authority epoch is not the one in force")
	// ErrOrderOutstanding: the engine may still hold another order.
	ErrOrderOutstanding = errors.New("the engine has an outstanding order")
	// ErrNoSuchOrder: the order is not outstanding; it may have ended already.
	ErrNoSuchOrder = errors.New("the order is not outstanding")
	// ErrUnknownEngine: no such engine is recorded.
	ErrUnknownEngine = errors.New("the engine is not known")
	// ErrRequestReused: a request identity was used with another content.
	ErrRequestReused = errors.New("the request identity was used for another submission")
	// ErrTooManyClaims: the bound on remembered claims is reached.
	ErrTooManyClaims = errors.New("too many claims are remembered; wait until some expire")
	// ErrClaimExpired: the claim's time to live has passed.
	ErrClaimExpired = errors.New("the claim has expired")
	// ErrClaimNotHeld: the attempt does not hold the claim.
	ErrClaimNotHeld = errors.New("the attempt does not hold the claim")
	// ErrTrialDenied: the request may not be tried.
	ErrTrialDenied = errors.New("no trial is granted")
	// ErrFormatNotAgreed: the command has no effect, since not all voters are known to know it.
	ErrFormatNotAgreed = errors.New("the command is of a format that is not agreed on")
	// ErrUnknownCommand: this build cannot apply the command, which others can. The controller must stop.
	ErrUnknownCommand = errors.New("the command is of a newer build")
	// ErrInvalidCommand: the command is malformed.
	ErrInvalidCommand = errors.New("the command is invalid")
)
