package controller

import (
	"net"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// Options are what the process around a controller decides.
type Options struct {
	// Listen opens a listener; nil means net.Listen. The bench wraps it to inject
	// the latency between zones.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens outgoing connections; nil means TCP from settings.source_address.
	Dial dialing.Dial
	// Site is set where the controller serves relays; nil elsewhere.
	Site *Site
	// Log is required. Run dumps its ring on errors and signals.
	Log *logring.Log
}
