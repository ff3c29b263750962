package gateway

import (
	"net"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Options are the options of Run besides the settings.
type Options struct {
	// Listen opens the listeners; nil means closing.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections to back ends and controllers; nil means TCP from source_address.
	Dial dialing.Dial
	// Safeguards is the zero Set except in tests.
	Safeguards safeguard.Set
	// Log receives the log entries; nil means a new ring.
	Log *logring.Log
	// Ready, when not nil, is closed once callers can connect.
	Ready chan<- struct{}
	// DrainDelay is how long a stopping gateway still accepts requests; 0 means 500 ms.
	DrainDelay time.Duration
	// KeyCheckTimeout bounds the wait for the controllers to resolve an unknown API key; 0 means 2.5 s.
	KeyCheckTimeout time.Duration
	// OnRevision, when not nil, is called with each configuration revision when it is applied
	// here. It must not block.
	OnRevision func(revision uint64)
}
