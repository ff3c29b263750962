package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/listing"
)

// formerListing is the list of back ends in the form for relays of the first format, made while there are any.
type formerListing struct {
	// madeOf is the version of the list that it was made of, version its own.
	madeOf, version uint64
	history         listing.History
}

// of returns the form of a list.
func (f *formerListing) of(version uint64, backEnds []*v1.ListedBackEnd) (uint64, *listing.History) {
	if f.madeOf == version {
		return f.version, &f.history
	}
	f.madeOf = version
	former := listing.ToFirstFormat(backEnds)
	if next := listing.VersionOf(former); next != f.version {
		f.version = next
		f.history.Add(next, former)
	}
	return f.version, &f.history
}

// listingFor returns the version of the list, and its history, in the form that a relay knows; version 0 is none yet.
func (c *Core) listingFor(request *v1.WatchRequest) (version uint64, history *listing.History) {
	if c.listing.version == 0 || formats.FromWire(request.GetFormats()).Knows(formats.StartsOfReplicas) {
		return c.listing.version, &c.listing.history
	}
	return c.listing.former.of(c.listing.version, c.listing.backEnds)
}
