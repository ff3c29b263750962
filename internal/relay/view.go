package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// view is what the relay believes: the configuration in force and the back ends. It is
// replaced as a whole and never changed.
type view struct {
	// table is nil before the first configuration.
	table *serving.Table
	// configuredAt and listedAt are when the configuration and the list were put in force.
	configuredAt, listedAt time.Duration
	// listingVersion is the controllers' version of the list; 0 for one read here.
	listingVersion uint64
	// isListed tells that a list has been read at all.
	isListed bool
	// byService holds the back ends of each service, by identity.
	byService map[string][]*backEnd
	// byHash holds the back ends by the hash that relays name replicas with, byStart by that of their starts.
	byHash        map[uint64]*backEnd
	byIncarnation map[uint64]*backEnd
}

// engine returns what the configuration tells of a service's engines; nil for nothing.
func (v *view) engine(service string) *serving.Engine {
	if v.table == nil {
		return nil
	}
	if known := v.table.Service(service); known != nil {
		return known.Engine
	}
	return nil
}

// isReady reports whether requests can be served.
func (v *view) isReady() bool { return v.missing() == "" }
