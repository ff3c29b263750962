package authority

import "errors"

// Reasons why an order may not be given now; returned errors wrap them.
var (
	// ErrNoAuthority: this controller does not lead, or its fence is not up yet.
	ErrNoAuthority = errors.New("no authority over the engine yet")
	// ErrEngineUnknown: the engine has not been heard of.
	ErrEngineUnknown = errors.New("the engine is not known")
	// ErrEngineSilent: the engine's own word is too old to decide by.
	ErrEngineSilent = errors.New("the engine has not answered lately")
	// ErrEngineBusy: the engine holds an order, or one is being committed.
	ErrEngineBusy = errors.New("the engine is busy with an order")
	// ErrEngineState: the engine is not in a state that allows the order.
	ErrEngineState = errors.New("the engine's state does not allow the order")
	// ErrTooManyOutOfService: the bound on engines out of service at once is reached.
	ErrTooManyOutOfService = errors.New("too many engines are out of service at once")
	// ErrRoleBound: the declared bounds of a role forbid the change.
	ErrRoleBound = errors.New("the declared bounds forbid the change")
	// ErrTooManyLoads: the weight store's budget of loads at once is spent.
	ErrTooManyLoads = errors.New("too many loads from the weight store at once")
)
