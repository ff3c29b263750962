package control

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// namedServices are the services that the configuration in force names. List entries of other services do not belong to
// the platform or are of no use, so relays do not get them, and no orders are sent to them.
type namedServices struct {
	// number is the number of the configuration document; 0 before the first.
	number uint64
	names  map[string]bool
}

// readNamedServices updates the named services when the configuration has changed. The list may already contain a
// service that the configuration has newly named, so the list is read again at once.
func (c *Core) readNamedServices() {
	document := c.state.Document()
	if c.config.NamedServices == nil || document.GetNumber() == c.listing.namedServices.number {
		return
	}
	former := c.listing.namedServices.names
	c.listing.namedServices = namedServices{number: document.GetNumber(), names: map[string]bool{}}
	for _, name := range c.config.NamedServices(document.GetContent()) {
		c.listing.namedServices.names[name] = true
		if !former[name] && former != nil {
			c.listing.dueAt = c.now
		}
	}
}

// filterNamedServices returns the back ends whose services the configuration names; all of them when it names none
// or is not known.
func (c *Core) filterNamedServices(listed []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	names := c.listing.namedServices.names
	if len(names) == 0 {
		return listed
	}
	return slices.DeleteFunc(slices.Clone(listed), func(backEnd *v1.ListedBackEnd) bool { return !names[backEnd.GetService()] })
}
