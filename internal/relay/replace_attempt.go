package relay

// replacement returns what secures the replacement of the current attempt by a further one; nil if the route allows none.
func (a *attemptTracker) replacement() secureReplacement {
	if !a.hasFurtherAttempt() {
		return nil
	}
	return a.reserveRetry
}

// reserveRetry takes one retry from the budget for the next attempt, and reports whether it holds one.
func (a *attemptTracker) reserveRetry() bool {
	if a.reservedRetry == nil {
		a.reservedRetry = a.relay.budget.Reserve(a.relay.clock.now(), a.request.service.Name)
	}
	return a.reservedRetry != nil
}

// takeRetry reports whether the retry budget allows another attempt. It uses the reserved retry if there is one.
func (a *attemptTracker) takeRetry() bool {
	if a.reservedRetry == nil {
		return a.relay.trySpendRetry(a.request)
	}
	a.reservedRetry = nil
	a.relay.metrics.retries.Inc()
	return true
}

// returnReservedRetry returns a reserved retry that no attempt has used to the budget.
func (a *attemptTracker) returnReservedRetry() {
	if a.reservedRetry != nil {
		a.reservedRetry.Return(a.relay.clock.now())
		a.reservedRetry = nil
	}
}
