package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/hazelpitch/hazelpitch/internal/cell"
	"github.com/hazelpitch/hazelpitch/internal/events"
	"github.com/hazelpitch/hazelpitch/internal/placement"
	"github.com/hazelpitch/hazelpitch/internal/serving"
	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

const (
	// activeOwnersPerCell is how many relays receive the load notices of a cell's engines: its owner, and a deputy that can
	// replace the owner at once because it receives the same notices.
	activeOwnersPerCell = 2
	// rankedOwnersPerCell is how many relays are ranked as owners of a cell, so that some are left when the first ones do
	// not answer.
	rankedOwnersPerCell = 5
)

// serviceCells are the cells into which the engines of one service are divided, with the owners of each. A cell is a group
// of engines on which one relay, its owner, decides for all relays.
type serviceCells struct {
	division *cell.Division
	// members holds the engines of each cell, owners its relays by rank.
	members [][]*backEnd
	owners  [][]string
}

// rankOf returns 0 for the owner of a cell, a higher rank for a deputy, and -1 for other relays.
func (c *serviceCells) rankOf(index int, relay string) int {
	owners := c.owners[index]
	return slices.Index(owners[:min(activeOwnersPerCell, len(owners))], relay)
}

// ownership says which relays decide on which engines, according to this relay's lists. It is immutable and replaced as a
// whole.
type ownership struct {
	services map[string]*serviceCells
}

// cellOf returns the cells of an engine's service and the index of the engine's cell; nil for a back end that belongs to
// no cell.
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

// ownedCell describes a cell of which this relay is owner or deputy.
type ownedCell struct {
	service string
	zone    string
	// isDeputy is true if another relay is the owner.
	isDeputy bool
	engines  int
}

// ownerTable derives the ownership from the newest lists of engines and relays.
type ownerTable struct {
	// self is the address of this relay's datagram socket.
	self string
	// event begins a log line.
	event   func(events.Event) *zerolog.Event
	current atomic.Pointer[ownership]

	mutex  sync.Mutex
	relays []string
	// ownersByCell caches the ranked owners of cells for the current relays, by the cells' identities.
	ownersByCell map[uint64][]string
	view         *view
	// ownedCells are the cells of which this relay is owner or deputy, by their identities.
	ownedCells map[uint64]ownedCell
}

func newOwnerTable(self string, event func(events.Event) *zerolog.Event) *ownerTable {
	table := &ownerTable{self: self, event: event, ownersByCell: map[uint64][]string{}}
	table.current.Store(&ownership{services: map[string]*serviceCells{}})
	return table
}

// setRelays sets the addresses of all relays and reports whether they differ from the earlier ones.
func (t *ownerTable) setRelays(addresses []string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if slices.Equal(addresses, t.relays) {
		return false
	}
	t.relays = slices.Clone(addresses)
	t.ownersByCell = map[uint64][]string{}
	t.rebuild()
	return true
}

// setView sets the view whose engines are divided into cells.
func (t *ownerTable) setView(next *view) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.view = next
	t.rebuild()
}

// rebuild divides the engines into cells and ranks the owners. The mutex is held.
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

// logOwnershipChanges writes a log line for each cell that this relay begins or ceases to own. The mutex is held.
func (t *ownerTable) logOwnershipChanges(next *ownership) {
	owned := map[uint64]ownedCell{}
	for name, service := range next.services {
		for index, entry := range service.division.Cells() {
			if rank := service.rankOf(index, t.self); rank >= 0 {
				owned[entry.ID] = ownedCell{service: name, zone: entry.Zone, isDeputy: rank > 0, engines: len(entry.Members)}
			}
		}
	}
	for id, cell := range owned {
		if former, existed := t.ownedCells[id]; !existed || former.isDeputy != cell.isDeputy {
			t.logCellEvent(events.CellAcquired, id, cell)
		}
	}
	for id, cell := range t.ownedCells {
		if _, isStillOwned := owned[id]; !isStillOwned {
			t.logCellEvent(events.CellReleased, id, cell)
		}
	}
	t.ownedCells = owned
}

// logCellEvent writes a log line about a cell.
func (t *ownerTable) logCellEvent(event events.Event, id uint64, cell ownedCell) {
	t.event(event).Str("cell", strconv.FormatUint(id, 16)).Str("service", cell.service).Str("zone", cell.zone).
		Bool("stands_in", cell.isDeputy).Int("engines", cell.engines).Send()
}

// divide divides the engines of a service into cells. The mutex is held.
func (t *ownerTable) divide(service string, backEnds []*backEnd) *serviceCells {
	members := make([]cell.Member, len(backEnds))
	for index, backEnd := range backEnds {
		members[index] = cell.Member{Hash: backEnd.hash, Zone: backEnd.Zone, Closed: backEnd.Leaving}
	}
	result := &serviceCells{division: cell.Divide(service, members)}
	for _, entry := range result.division.Cells() {
		engines := make([]*backEnd, len(entry.Members))
		for index, member := range entry.Members {
			engines[index] = backEnds[member]
		}
		result.members = append(result.members, engines)
		result.owners = append(result.owners, t.ownersByRank(entry.ID))
	}
	return result
}

// ownersByRank returns the owners of a cell by rank. The mutex is held.
func (t *ownerTable) ownersByRank(id uint64) []string {
	ranked, found := t.ownersByCell[id]
	if !found {
		ranked = cell.Owners(id, t.relays, rankedOwnersPerCell)
		t.ownersByCell[id] = ranked
	}
	return ranked
}

// ownedEngines returns the engines of the cells of which this relay is owner or deputy.
func (t *ownerTable) ownedEngines() []*backEnd {
	return t.enginesWhere(func(rank int) bool { return rank >= 0 })
}

// firstOwnedEngines returns the engines of the cells of which this relay is the owner, not a deputy.
func (t *ownerTable) firstOwnedEngines() []*backEnd {
	return t.enginesWhere(func(rank int) bool { return rank == 0 })
}

// enginesWhere returns the engines of the cells for which this relay's rank among the owners meets the condition.
func (t *ownerTable) enginesWhere(meets func(rank int) bool) []*backEnd {
	var engines []*backEnd
	for _, service := range t.current.Load().services {
		for index, members := range service.members {
			if meets(service.rankOf(index, t.self)) {
				engines = append(engines, members...)
			}
		}
	}
	return engines
}

// homeCells returns the indexes of up to count cells in which a prompt should run, the best first. A prompt with a shared
// prefix of at least minSharedTokens, which is long enough to be worth fetching, has the same cells in all zones. For any
// other prompt, the cells of the given zone go first, and the request's identity spreads requests over the cells.
func (c *serviceCells) homeCells(prompt []placement.PrefixBlock, request, zone string, minSharedTokens, count int) []int {
	if shared := sharedPrefixTokens(prompt); shared >= minSharedTokens {
		return c.division.Homes(uint64(prompt[len(prompt)-2].Hash), "", count)
	}
	return c.division.Homes(requestHash(request), zone, count)
}

// withVersion returns the indexes of up to count cells that have decoding engines of a software version: those of the given homes
// first, then others. If no cell has any, it returns the homes.
func (c *serviceCells) withVersion(homes []int, version streamorigin.Version, count int) []int {
	var matching []int
	for index := range c.members {
		if c.hasVersion(index, version) {
			matching = append(matching, index)
		}
	}
	if len(matching) == 0 {
		return homes
	}
	slices.SortStableFunc(matching, func(a, b int) int { return cmp.Compare(homeRank(homes, a), homeRank(homes, b)) })
	return matching[:min(count, len(matching))]
}

// homeRank returns the rank of a cell among the homes, a higher one than theirs for other cells.
func homeRank(homes []int, cell int) int {
	if rank := slices.Index(homes, cell); rank >= 0 {
		return rank
	}
	return len(homes)
}

// hasVersion reports whether a cell has a decoding engine of the software version that accepts work.
func (c *serviceCells) hasVersion(index int, version streamorigin.Version) bool {
	return slices.ContainsFunc(c.members[index], func(engine *backEnd) bool {
		return engine.Stage == serving.StageDecode && version.Allows(engine.version) && !engine.isClosed()
	})
}

// sharedPrefixTokens returns the length of a prompt without its last block, which no other request shares.
func sharedPrefixTokens(prompt []placement.PrefixBlock) int {
	shared := 0
	for _, block := range prompt[:max(len(prompt)-1, 0)] {
		shared += block.Tokens
	}
	return shared
}

// requestHash returns the hash by which requests without a shared prefix are spread over cells.
func requestHash(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never returns an error
	return hash.Sum64()
}
