package control

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/listing"
)

// firstFormatListing is the list of back ends in the form for relays of the first format. It is built only while there
// are such relays.
type firstFormatListing struct {
	// sourceVersion is the version of the list that was converted; version is that of the converted list.
	sourceVersion, version uint64
	history                listing.History
}

// convert returns the version and the history of the list in the first format; version is that of the unconverted list.
func (f *firstFormatListing) convert(version uint64, backEnds []*v1.ListedBackEnd) (uint64, *listing.History) {
	if f.sourceVersion == version {
		return f.version, &f.history
	}
	f.sourceVersion = version
	converted := listing.ToFirstFormat(backEnds)
	if next := listing.VersionOf(converted); next != f.version {
		f.version = next
		f.history.Add(next, converted)
	}
	return f.version, &f.history
}

// listingFor returns the version of the list and its history in the form that a relay supports; version 0 means that
// there is no list yet.
func (c *Core) listingFor(request *v1.WatchRequest) (version uint64, history *listing.History) {
	if c.listing.version == 0 || formats.FromWire(request.GetFormats()).Supports(formats.ReplicaIncarnations) {
		return c.listing.version, &c.listing.history
	}
	return c.listing.firstFormat.convert(c.listing.version, c.listing.backEnds)
}
