package control

import (
	"maps"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/servedversions"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// streamRoutes are where the routes of streams lead, by the leader's documents; nil where the build that proposed a document did not tell, or
// without a document.
type streamRoutes struct {
	// inForce are those of the document in force, and proposed those of the one that was proposed last.
	inForce, proposed streamorigin.Routes
	// pending is the number of documents that are proposed and not applied yet.
	pending int
}

// beginRoutes takes the routes of the document in force over from the replicated log.
func (c *Core) beginRoutes() {
	c.routes = streamRoutes{inForce: servedversions.RoutesFromWire(c.state.StreamRoutes())}
	if !c.areRoutesKnown() {
		c.listing.versions.MarkRoutesIncomplete(c.now)
	}
}

// areRoutesKnown reports whether it is known where the routes of the documents before the next one lead.
func (c *Core) areRoutesKnown() bool {
	isKnown := c.routes.inForce != nil || c.state.Document() == nil
	return isKnown && (c.routes.proposed != nil || c.routes.pending == 0)
}

// recordRoutes adds the routes that a document changes to the command that proposes it: relays may use the document as soon as it is
// committed. Either the document in force or the one that was proposed last is the one before it.
func (c *Core) recordRoutes(command *v1.Command, next streamorigin.Routes) (changed map[streamorigin.Route]bool) {
	if !c.recordsVersions() {
		return nil
	}
	if next == nil || !c.areRoutesKnown() {
		c.listing.versions.MarkRoutesIncomplete(c.now)
	}
	changed = c.routes.inForce.ChangedTo(next)
	if c.routes.pending > 0 {
		maps.Copy(changed, c.routes.proposed.ChangedTo(next))
	}
	c.listing.versions.ChangeRoutes(c.now, changed)
	command.ServedVersions = c.listing.versions.Record(c.now, c.leadingTerm)
	command.GetPutDocument().StreamRoutes = servedversions.RoutesToWire(next)
	return changed
}

// proposeRoutes notes the routes of a document that was proposed.
func (c *Core) proposeRoutes(routes streamorigin.Routes) {
	c.routes.proposed = routes
	c.routes.pending++
}

// applyRoutes notes that a document was applied, or lost to one with the same or a higher number. Streams may have begun by the former one until
// now.
func (c *Core) applyRoutes(changed map[streamorigin.Route]bool) {
	c.routes.pending--
	c.routes.inForce = servedversions.RoutesFromWire(c.state.StreamRoutes())
	c.listing.versions.ChangeRoutes(c.now, changed)
}
