package authority

import "errors"

// Reasons why an order cannot be given now; returned errors wrap them.
var (
	// ErrNoAuthority: this controller does not lead, or the engine has not confirmed its fence yet.
	ErrNoAuthority = errors.New("no authority over the engine yet")
	// ErrEngineUnknown: no engine of this name has reported.
	ErrEngineUnknown = errors.New("the engine is not known")
	// ErrEngineSilent: the engine's last reported state is too old to base an order on.
	ErrEngineSilent = errors.New("the engine has not answered lately")
	// ErrEngineBusy: the engine has an order, or one is being committed.
	ErrEngineBusy = errors.New("the engine is busy with an order")
	// ErrEngineState: the engine is not in a state that allows the order.
	ErrEngineState = errors.New("the engine's state does not allow the order")
	// ErrTooManyOutOfService: the bound on engines out of service at once is reached.
	ErrTooManyOutOfService = errors.New("too many engines are out of service at once")
	// ErrRoleBound: the declared bounds of a role do not allow the change.
	ErrRoleBound = errors.New("the declared bounds forbid the change")
	// ErrTooManyLoads: the maximum number of concurrent loads from the weight store is reached.
	ErrTooManyLoads = errors.New("too many loads from the weight store at once")
)
