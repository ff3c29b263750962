package controller

import (
	"net"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/logring"
)

// Options are the parts of a controller that its process supplies.
type Options struct {
	// Listen opens a listener; nil means dialing.Listen. hazelbench wraps it to inject
	// the latency between zones.
	Listen func(network, address string) (net.Listener, error)
	// Site is set if the controller serves relays, and nil otherwise.
	Site *Site
	// Log is required. Run dumps its ring on errors and signals.
	Log *logring.Log
}

// withDefaults returns the Options with defaults in place of unset fields.
func (o Options) withDefaults() Options {
	if o.Listen == nil {
		o.Listen = dialing.Listen
	}
	return o
}
