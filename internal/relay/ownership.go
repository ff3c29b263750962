package relay

import (
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/placement"
)

const (
	// ownersOfCell is how many relays know a cell: its owner, and a stand-in that hears the same
	// notices and so can take its place at once.
	ownersOfCell = 2
	// rankedOwners is how many relays are ranked for a cell, so that some are left when the first
	// do not answer.
	rankedOwners = 5
)

// cells are the engines of one service in cells, with the relays that own each.
type cells struct {
	division *cell.Division
	// members are the engines of each cell, owners its relays by rank.
	members [][]*backEnd
	owners  [][]string
}

// rankOf is 0 for the relay that owns a cell, above 0 for those that stand in, and -1 for others.
func (c *cells) rankOf(index int, relay string) int {
	owners := c.owners[index]
	return slices.Index(owners[:min(ownersOfCell, len(owners))], relay)
}

// ownership says which relays decide on which engines, as far as this relay knows. It is
// replaced as a whole and never changed.
type ownership struct {
	services map[string]*cells
}

// of returns the cells of a service and the index of an engine's; nil for a back end that belongs
// to none.
func (o *ownership) of(engine *backEnd) (found *cells, index int) {
	known := o.services[engine.Service]
	if known == nil {
		return nil, 0
	}
	index, is := known.division.CellOf(engine.hash)
	if !is {
		return nil, 0
	}
	return known, index
}

// ownedCell is this relay's part in one cell.
type ownedCell struct {
	service string
	zone    string
	// standsIn tells that another relay owns it.
	standsIn bool
	engines  int
}

// ownerTable keeps the ownership of the newest lists of engines and relays.
type ownerTable struct {
	// self is the address of this relay's datagrams.
	self string
	// event begins a line of the log.
	event   func(events.Event) *zerolog.Event
	current atomic.Pointer[ownership]

	mutex  sync.Mutex
	relays []string
	// ranked are the owners of cells by rank for these relays, by the cells' identities.
	ranked map[uint64][]string
	view   *view
	// owned are the cells that are this relay's, by their identities.
	owned map[uint64]ownedCell
}

func newOwnerTable(self string, event func(events.Event) *zerolog.Event) *ownerTable {
	table := &ownerTable{self: self, event: event, ranked: map[uint64][]string{}}
	table.current.Store(&ownership{services: map[string]*cells{}})
	return table
}

// setRelays takes the addresses of all relays; it reports whether they are others than before.
func (t *ownerTable) setRelays(addresses []string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if slices.Equal(addresses, t.relays) {
		return false
	}
	t.relays = slices.Clone(addresses)
	t.ranked = map[uint64][]string{}
	t.rebuild()
	return true
}

// setView takes a list of engines that was put in force.
func (t *ownerTable) setView(next *view) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.view = next
	t.rebuild()
}

// rebuild divides the engines and ranks the owners. The mutex is held.
func (t *ownerTable) rebuild() {
	next := &ownership{services: map[string]*cells{}}
	if t.view != nil {
		for service, backEnds := range t.view.byService {
			if len(backEnds) > 0 && backEnds[0].isEngine() {
				next.services[service] = t.divide(service, backEnds)
			}
		}
	}
	t.current.Store(next)
	t.noteOwned(next)
}

// noteOwned writes a line for each cell that has become this relay's or is no longer. The mutex is
// held.
func (t *ownerTable) noteOwned(next *ownership) {
	owned := map[uint64]ownedCell{}
	for name, service := range next.services {
		for index, divided := range service.division.Cells() {
			if rank := service.rankOf(index, t.self); rank >= 0 {
				owned[divided.ID] = ownedCell{service: name, zone: divided.Zone, standsIn: rank > 0, engines: len(divided.Members)}
			}
		}
	}
	for id, cell := range owned {
		if former, had := t.owned[id]; !had || former.standsIn != cell.standsIn {
			t.cellEvent(events.CellAcquired, id, cell)
		}
	}
	for id, cell := range t.owned {
		if _, has := owned[id]; !has {
			t.cellEvent(events.CellReleased, id, cell)
		}
	}
	t.owned = owned
}

// cellEvent writes a line on a cell.
func (t *ownerTable) cellEvent(event events.Event, id uint64, cell ownedCell) {
	t.event(event).Str("cell", strconv.FormatUint(id, 16)).Str("service", cell.service).Str("zone", cell.zone).
		Bool("stands_in", cell.standsIn).Int("engines", cell.engines).Send()
}

// divide divides the engines of a service. The mutex is held.
func (t *ownerTable) divide(service string, backEnds []*backEnd) *cells {
	members := make([]cell.Member, len(backEnds))
	for index, backEnd := range backEnds {
		members[index] = cell.Member{Hash: backEnd.hash, Zone: backEnd.Zone, Closed: backEnd.Leaving}
	}
	made := &cells{division: cell.Divide(service, members)}
	for _, divided := range made.division.Cells() {
		engines := make([]*backEnd, len(divided.Members))
		for index, member := range divided.Members {
			engines[index] = backEnds[member]
		}
		made.members = append(made.members, engines)
		made.owners = append(made.owners, t.rank(divided.ID))
	}
	return made
}

// rank returns the owners of a cell by rank. The mutex is held.
func (t *ownerTable) rank(id uint64) []string {
	ranked, known := t.ranked[id]
	if !known {
		ranked = cell.Owners(id, t.relays, rankedOwners)
		t.ranked[id] = ranked
	}
	return ranked
}

// ownedEngines are the engines of the cells that this relay owns or stands in for.
func (t *ownerTable) ownedEngines() []*backEnd {
	var owned []*backEnd
	for _, service := range t.current.Load().services {
		for index, members := range service.members {
			if service.rankOf(index, t.self) >= 0 {
				owned = append(owned, members...)
			}
		}
	}
	return owned
}

// homes returns the indexes of the cells in which a prompt had better run, the best first. Only
// a shared part that is worth fetching ties a prompt to cells of other zones.
func (c *cells) homes(prompt []placement.PrefixBlock, request, zone string, least, count int) []int {
	if shared := sharedTokens(prompt); shared >= least {
		return c.division.Homes(uint64(prompt[len(prompt)-2].Hash), "", count)
	}
	return c.division.Homes(hashOfRequest(request), zone, count)
}

// sharedTokens is the length of a prompt without its last part, which is its own.
func sharedTokens(prompt []placement.PrefixBlock) int {
	shared := 0
	for _, part := range prompt[:max(len(prompt)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// hashOfRequest spreads requests that no part ties to a cell.
func hashOfRequest(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}
