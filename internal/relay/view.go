package relay

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/serving"
)

// view is the configuration and the back ends as this relay knows them. It is immutable and replaced as a whole.
type view struct {
	// table is nil before the first configuration.
	table *serving.Table
	// configuredAt and listedAt are when the configuration and the list were applied.
	configuredAt, listedAt time.Duration
	// listingVersion is the controllers' version of the list; 0 for a list that this relay has read from the platform.
	listingVersion uint64
	// isListed is true if any list has been applied.
	isListed bool
	// byService maps services' names to their back ends, which are ordered by identity.
	byService map[string][]*backEnd
	// byHash maps the hashes by which messages between relays identify replicas to back ends; byIncarnation does the same
	// for the hashes of incarnations.
	byHash        map[uint64]*backEnd
	byIncarnation map[uint64]*backEnd
}

// engine returns the configuration of a service's engines; nil for none.
func (v *view) engine(service string) *serving.Engine {
	if v.table == nil {
		return nil
	}
	if found := v.table.Service(service); found != nil {
		return found.Engine
	}
	return nil
}

// isReady reports whether requests can be served.
func (v *view) isReady() bool { return v.missing() == "" }
