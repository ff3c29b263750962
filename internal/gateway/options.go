package gateway

import (
	"net"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Options are what a process may give Run besides its settings.
type Options struct {
	// Listen opens the listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens the connections to back ends and controllers; nil means the system's.
	Dial dialing.Dial
	// Safeguards is the zero Set but in tests.
	Safeguards safeguard.Set
	// Log receives the log; nil means a ring of its own.
	Log *logring.Log
	// Ready, when not nil, is closed once callers can connect.
	Ready chan<- struct{}
	// DrainDelay is how long a stopping gateway still takes requests; 0 means 500 ms.
	DrainDelay time.Duration
	// KeyCheckTimeout bounds the wait for controllers to say whose key it is; 0 means 2.5 s.
	KeyCheckTimeout time.Duration
	// OnRevision, when not nil, is called with each revision as it comes into force
	// here; it must not block.
	OnRevision func(revision uint64)
}
