package control

import (
	"maps"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// streamRoutes are where the routes of streams lead, by the leader's documents; nil where the build that proposed a document did not tell.
type streamRoutes struct {
	// inForce are those of the document in force, and proposed those of the one that was proposed last.
	inForce, proposed streamorigin.Routes
	// proposedNumber is the number of the document that was proposed last.
	proposedNumber uint64
}

// beginRoutes takes the routes of the document in force over from the replicated log.
func (c *Core) beginRoutes() {
	known := servedversions.RoutesFromWire(c.state.StreamRoutes())
	switch {
	case known != nil:
	case c.state.Document() == nil:
		known = streamorigin.Routes{}
	default:
		c.listing.versions.ForgetRoutes(c.now)
	}
	c.routes = streamRoutes{inForce: known, proposed: known, proposedNumber: c.state.Document().GetNumber()}
}

// recordRoutes adds the routes that a document changes to the command that proposes it: relays may use the document as soon as it is
// committed. Either the document in force or the one that was proposed last is the one before it.
func (c *Core) recordRoutes(command *v1.Command, next streamorigin.Routes) (changed map[streamorigin.Route]bool) {
	if c.config.ListingInterval == 0 { // there are no back ends whose versions are recorded
		return nil
	}
	if next == nil || c.routes.inForce == nil || c.routes.proposed == nil {
		c.listing.versions.ForgetRoutes(c.now)
	}
	changed = c.routes.inForce.ChangedTo(next)
	if c.routes.proposedNumber != c.state.Document().GetNumber() {
		maps.Copy(changed, c.routes.proposed.ChangedTo(next))
	}
	c.listing.versions.ChangeRoutes(c.now, changed)
	command.ServedVersions = c.listing.versions.Record(c.now, c.leadingTerm)
	command.GetPutDocument().StreamRoutes = servedversions.RoutesToWire(next)
	return changed
}

// applyRoutes applies the routes of a document that came into force now: streams may have begun by the former one until then.
func (c *Core) applyRoutes(received PutDocumentReceived, changed map[streamorigin.Route]bool) {
	if !c.leading || c.state.Document().GetNumber() != received.Document.GetNumber() {
		return
	}
	c.routes.inForce = received.Routes
	c.listing.versions.ChangeRoutes(c.now, changed)
}
