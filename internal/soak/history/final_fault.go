package history

import "time"

// FinalFault is the fault that ends a run.
type FinalFault struct {
	// Kind describes the fault, Before what came before it.
	Kind, Before string
	// At is when it began, BackAt when the last process was started again, or went on.
	At, BackAt time.Duration
	// ReadyAt holds, by process name, when each controller and relay was ready after it; 0 for never.
	ReadyAt map[string]time.Duration
}
