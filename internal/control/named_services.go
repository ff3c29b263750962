package control

import (
	"slices"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// namedServices are the services that the configuration in force names. A list entry of any other service is not the
// platform's, or of no use: nobody is told of it, and nothing is ordered there.
type namedServices struct {
	// number is the configuration's; 0 before the first.
	number uint64
	names  map[string]bool
}

// readNamedServices reads the services when the configuration has changed. A service that is new may be on the list
// already: it is read again at once.
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

// filterNamedServices returns the back ends whose services the configuration names; all where it names none, or is not
// known.
func (c *Core) filterNamedServices(listed []*v1.ListedBackEnd) []*v1.ListedBackEnd {
	names := c.listing.namedServices.names
	if len(names) == 0 {
		return listed
	}
	return slices.DeleteFunc(slices.Clone(listed), func(backEnd *v1.ListedBackEnd) bool { return !names[backEnd.GetService()] })
}
