package cell

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Size is the target number of engines in a cell: enough to even out their load and to have several
	// engines of both stages, few enough that a decision can evaluate each of them.
	Size = 16
	// minZoneShare sets how many engines, as a share of Size, a zone needs to have cells of its own. Smaller zones
	// share cells, so that a prompt has enough engines to choose from.
	minZoneShare = 0.75
	// localShareSlack is the factor by which a zone may have fewer engines than its fair share and still serve
	// all of its prompts.
	localShareSlack = 1.3
	// localDrawSalt is the hash salt that selects which prompts a zone with fewer engines still serves.
	localDrawSalt = 0x9e3779b97f4a7c15
)

// Member is an engine to be assigned to a cell.
type Member struct {
	// Hash identifies the engine; it is the same at every relay.
	Hash uint64
	Zone string
	// Closed engines accept no new work. They stay in their cell, whose other engines can fetch from their
	// prefix cache.
	Closed bool
}

// Cell is a group of engines for which one relay, the cell's owner, decides where requests run.
type Cell struct {
	// ID identifies the cell; it is the same at every relay.
	ID uint64
	// Zone is the zone of all engines in the cell, or empty if zones share the cell.
	Zone string
	// Members are the indexes of the cell's engines in the list that was passed to Divide.
	Members []int
	// Open is the number of the cell's engines that accept new work.
	Open int
}

// Division is the assignment of a service's engines to cells.
type Division struct {
	cells []Cell
	// cellOf maps an engine's hash to the index of its cell.
	cellOf map[uint64]int
	// openPerZone counts the engines of each zone that accept new work.
	openPerZone map[string]int
}

// Divide assigns the engines of a service to cells. Each engine's cell follows from its hash, so that an engine
// that joins or leaves does not move the others.
func Divide(service string, members []Member) *Division {
	division := &Division{cellOf: make(map[uint64]int, len(members)), openPerZone: map[string]int{}}
	perZone := map[string]int{}
	for _, member := range members {
		perZone[member.Zone]++
	}
	groups := map[string]int{}
	for zone, count := range perZone {
		groups[zoneGroup(zone, count)] += count
	}
	firstCell := map[string]int{}
	for _, group := range sortedGroups(groups) {
		firstCell[group] = len(division.cells)
		for number := range cellCount(groups[group]) {
			division.cells = append(division.cells, Cell{ID: cellID(service, group, number), Zone: group})
		}
	}
	for index, member := range members {
		group := zoneGroup(member.Zone, perZone[member.Zone])
		chosen := firstCell[group] + chooseCell(division.cells[firstCell[group]:firstCell[group]+cellCount(groups[group])], member.Hash)
		division.cells[chosen].Members = append(division.cells[chosen].Members, index)
		if !member.Closed {
			division.cells[chosen].Open++
			division.openPerZone[member.Zone]++
		}
		division.cellOf[member.Hash] = chosen
	}
	return division
}

// zoneGroup returns the zone if its count of engines suffices for cells of its own, or else the group that all smaller
// zones share.
func zoneGroup(zone string, count int) string {
	if float64(count) >= minZoneShare*Size {
		return zone
	}
	return ""
}

// cellCount returns the number of cells into which a number of engines is divided, at least 1.
func cellCount(engines int) int { return max(int(math.Round(float64(engines)/Size)), 1) }

func sortedGroups(groups map[string]int) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// chooseCell picks an engine's cell within its group by rendezvous hashing.
func chooseCell(cells []Cell, engine uint64) int {
	best := 0
	for index := range cells {
		if mix(cells[index].ID, engine) > mix(cells[best].ID, engine) {
			best = index
		}
	}
	return best
}

// Cells returns all cells.
func (d *Division) Cells() []Cell { return d.cells }

// CellOf returns the index of an engine's cell, or false if the engine is not in the division.
func (d *Division) CellOf(engine uint64) (index int, known bool) {
	index, known = d.cellOf[engine]
	return index, known
}

// IndexByID returns the index of the cell with the given ID, or false if there is none.
func (d *Division) IndexByID(id uint64) (index int, known bool) {
	index = slices.IndexFunc(d.cells, func(cell Cell) bool { return cell.ID == id })
	return index, index >= 0
}

// Homes returns the indexes of up to count cells that a prompt with the key should run in, the best first. Cells
// are chosen by rendezvous hashing, weighted by their engines that accept work, so that the load follows the
// engines and a change of one cell moves few prompts. If a zone is given and still serves this prompt itself (see
// keepsLocal), its cells go first: this is for prompts with so little cached that the network latency matters more.
// The last home is then in another zone, so that a zone that has lost its engines passes on its work.
func (d *Division) Homes(key uint64, zone string, count int) []int {
	scored := d.scoreCells(key)
	if zone != "" && d.keepsLocal(key, zone) {
		scored = putZoneFirst(scored, zone, count)
	}
	homes := make([]int, 0, count)
	for _, entry := range scored[:min(count, len(scored))] {
		homes = append(homes, entry.index)
	}
	return homes
}

// scoredCell is a cell with its rendezvous score for a key.
type scoredCell struct {
	index int
	zone  string
	score float64
}

// scoreCells scores the cells with engines that accept work for a key, the best first. If there are none, it scores all.
func (d *Division) scoreCells(key uint64) []scoredCell {
	scored := make([]scoredCell, 0, len(d.cells))
	for index, cell := range d.cells {
		weight := cell.Open
		if len(d.openPerZone) == 0 {
			weight = len(cell.Members)
		}
		if weight > 0 {
			scored = append(scored, scoredCell{index: index, zone: cell.Zone, score: float64(weight) / -math.Log(toUnit(mix(cell.ID, key)))})
		}
	}
	slices.SortFunc(scored, func(a, b scoredCell) int { return cmp.Compare(b.score, a.score) })
	return scored
}

// keepsLocal reports whether a zone serves one of its prompts itself. It serves all of them while it has about its
// fair share of the engines that accept work, and fewer in proportion below that.
func (d *Division) keepsLocal(key uint64, zone string) bool {
	all := 0
	for _, count := range d.openPerZone {
		all += count
	}
	if all == 0 {
		return true
	}
	fairShare := float64(d.openPerZone[zone]*len(d.openPerZone)) / float64(all)
	return toUnit(mix(key, localDrawSalt)) < fairShare*localShareSlack
}

// putZoneFirst moves the cells of a zone to the front, except for the last of count homes.
func putZoneFirst(scored []scoredCell, zone string, count int) []scoredCell {
	var inside, outside []scoredCell
	for _, entry := range scored {
		if entry.zone == zone {
			inside = append(inside, entry)
		} else {
			outside = append(outside, entry)
		}
	}
	first := len(inside)
	if len(outside) > 0 && count > 1 {
		first = min(first, count-1)
	}
	return slices.Concat(inside[:first], outside, inside[first:])
}
