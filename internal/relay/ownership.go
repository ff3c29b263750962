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
	// activeOwnersPerCell is how many relays know a cell: its owner, and a stand-in that hears the same
	// notices and so can take its place at once.
	activeOwnersPerCell = 2
	// rankedOwnersPerCell is how many relays are ranked for a cell, so that some are left when the first
	// do not answer.
	rankedOwnersPerCell = 5
)

// serviceCells are the engines of one service in serviceCells, with the relays that own each.
type serviceCells struct {
	division *cell.Division
	// members are the engines of each cell, owners its relays by rank.
	members [][]*backEnd
	owners  [][]string
}

// rankOf is 0 for the relay that owns a cell, above 0 for those that stand in, and -1 for others.
func (c *serviceCells) rankOf(index int, relay string) int {
	owners := c.owners[index]
	return slices.Index(owners[:min(activeOwnersPerCell, len(owners))], relay)
}

// ownership says which relays decide on which engines, as far as this relay knows. It is
// replaced as a whole and never changed.
type ownership struct {
	services map[string]*serviceCells
}

// cellOf returns the cells cellOf a service and the index cellOf an engine's; nil for a back end that belongs
// to none.
func (o *ownership) cellOf(engine *backEnd) (cells *serviceCells, index int) {
	service := o.services[engine.Service]
	if service == nil {
		return nil, 0
	}
	index, found := service.division.CellOf(engine.hash)
	if !found {
		return nil, 0
	}
	return service, index
}

// ownedCell is this relay's part in one cell.
type ownedCell struct {
	service string
	zone    string
	// isDeputy tells that another relay owns it.
	isDeputy bool
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
	table.current.Store(&ownership{services: map[string]*serviceCells{}})
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
	next := &ownership{services: map[string]*serviceCells{}}
	if t.view != nil {
		for service, backEnds := range t.view.byService {
			if len(backEnds) > 0 && backEnds[0].isEngine() {
				next.services[service] = t.divide(service, backEnds)
			}
		}
	}
	t.current.Store(next)
	t.logOwnershipChanges(next)
}

// logOwnershipChanges writes a line for each cell that has become this relay's or is no longer. The mutex is
// held.
func (t *ownerTable) logOwnershipChanges(next *ownership) {
	owned := map[uint64]ownedCell{}
	for name, service := range next.services {
		for index, divided := range service.division.Cells() {
			if rank := service.rankOf(index, t.self); rank >= 0 {
				owned[divided.ID] = ownedCell{service: name, zone: divided.Zone, isDeputy: rank > 0, engines: len(divided.Members)}
			}
		}
	}
	for id, cell := range owned {
		if former, existed := t.owned[id]; !existed || former.isDeputy != cell.isDeputy {
			t.logCellEvent(events.CellOwned, id, cell)
		}
	}
	for id, cell := range t.owned {
		if _, isStillOwned := owned[id]; !isStillOwned {
			t.logCellEvent(events.CellLeft, id, cell)
		}
	}
	t.owned = owned
}

// logCellEvent writes a line on a cell.
func (t *ownerTable) logCellEvent(event events.Event, id uint64, cell ownedCell) {
	t.event(event).Str("cell", strconv.FormatUint(id, 16)).Str("service", cell.service).Str("zone", cell.zone).
		Bool("stands_in", cell.isDeputy).Int("engines", cell.engines).Send()
}

// divide divides the engines of a service. The mutex is held.
func (t *ownerTable) divide(service string, backEnds []*backEnd) *serviceCells {
	members := make([]cell.Member, len(backEnds))
	for index, backEnd := range backEnds {
		members[index] = cell.Member{Hash: backEnd.hash, Zone: backEnd.Zone, Closed: backEnd.Leaving}
	}
	result := &serviceCells{division: cell.Divide(service, members)}
	for _, divided := range result.division.Cells() {
		engines := make([]*backEnd, len(divided.Members))
		for index, member := range divided.Members {
			engines[index] = backEnds[member]
		}
		result.members = append(result.members, engines)
		result.owners = append(result.owners, t.ownersByRank(divided.ID))
	}
	return result
}

// ownersByRank returns the owners of a cell by ownersByRank. The mutex is held.
func (t *ownerTable) ownersByRank(id uint64) []string {
	ranked, known := t.ranked[id]
	if !known {
		ranked = cell.Owners(id, t.relays, rankedOwnersPerCell)
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

// homeCells returns the indexes of the cells in which a prompt had better run, the best first. Only
// a shared part that is worth fetching ties a prompt to cells of other zones.
func (c *serviceCells) homeCells(prompt []placement.PrefixBlock, request, zone string, least, count int) []int {
	if shared := sharedPrefixTokens(prompt); shared >= least {
		return c.division.Homes(uint64(prompt[len(prompt)-2].Hash), "", count)
	}
	return c.division.Homes(requestHash(request), zone, count)
}

// sharedPrefixTokens is the length of a prompt without its last part, which is its own.
func sharedPrefixTokens(prompt []placement.PrefixBlock) int {
	shared := 0
	for _, part := range prompt[:max(len(prompt)-1, 0)] {
		shared += part.Tokens
	}
	return shared
}

// requestHash spreads requests that no part ties to a cell.
func requestHash(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}
