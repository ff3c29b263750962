package cell

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Size is the number of engines that a cell should have: enough that their loads even out
	// and that both stages have several, few enough that a decision weighs them one by one.
	Size = 16
	// ownCellShare is the part of Size from which the engines of a zone are cells of their own;
	// those of smaller zones share theirs, so that a prompt's engines do not become too few.
	ownCellShare = 0.75
	// keepSlack is by how much a zone may have fewer engines than its part and keep all prompts of
	// its own.
	keepSlack = 1.3
	// keepSalt draws which of them it keeps.
	keepSalt = 0x9e3779b97f4a7c15
)

// Member is an engine that is divided.
type Member struct {
	// Hash identifies the engine, the same at every relay.
	Hash uint64
	Zone string
	// Closed engines take no new work. They stay in their cell, which others can take from what they
	// keep.
	Closed bool
}

// Cell is a group of engines that one owner decides on.
type Cell struct {
	// ID identifies the cell, the same at every relay.
	ID uint64
	// Zone is that of all its engines; empty where zones share it.
	Zone string
	// Members are the indexes of its engines among those that were divided.
	Members []int
	// Open is how many of them take new work.
	Open int
}

// Division is a service's engines in cells.
type Division struct {
	cells []Cell
	// of is the cell of each engine, by the engine's hash.
	of map[uint64]int
	// open are the engines of each zone that take new work.
	open map[string]int
}

// Divide divides the engines of a service. Each engine draws its cell by its hash, so that one
// that comes or goes leaves the others where they are.
func Divide(service string, members []Member) *Division {
	division := &Division{of: make(map[uint64]int, len(members)), open: map[string]int{}}
	perZone := map[string]int{}
	for _, member := range members {
		perZone[member.Zone]++
	}
	groups := map[string]int{}
	for zone, count := range perZone {
		groups[groupOf(zone, count)] += count
	}
	first := map[string]int{}
	for _, group := range sortedGroups(groups) {
		first[group] = len(division.cells)
		for number := range cellCount(groups[group]) {
			division.cells = append(division.cells, Cell{ID: hashOf(service, group, number), Zone: group})
		}
	}
	for index, member := range members {
		group := groupOf(member.Zone, perZone[member.Zone])
		chosen := first[group] + chooseCell(division.cells[first[group]:first[group]+cellCount(groups[group])], member.Hash)
		division.cells[chosen].Members = append(division.cells[chosen].Members, index)
		if !member.Closed {
			division.cells[chosen].Open++
			division.open[member.Zone]++
		}
		division.of[member.Hash] = chosen
	}
	return division
}

// groupOf is the zone itself where it has enough engines for cells of its own, or the group of
// all smaller zones.
func groupOf(zone string, count int) string {
	if float64(count) >= ownCellShare*Size {
		return zone
	}
	return ""
}

// cellCount is how many cells so many engines make.
func cellCount(engines int) int { return max(int(math.Round(float64(engines)/Size)), 1) }

func sortedGroups(groups map[string]int) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// chooseCell draws an engine's cell among those of its group by rendezvous hashing.
func chooseCell(cells []Cell, engine uint64) int {
	best := 0
	for index := range cells {
		if mix(cells[index].ID, engine) > mix(cells[best].ID, engine) {
			best = index
		}
	}
	return best
}

// Cells are all cells.
func (d *Division) Cells() []Cell { return d.cells }

// CellOf returns the index of an engine's cell; it reports false for an engine that was not divided.
func (d *Division) CellOf(engine uint64) (index int, known bool) {
	index, known = d.of[engine]
	return index, known
}

// IndexByID returns the index of the cell with an identity; it reports false when there is none.
func (d *Division) IndexByID(id uint64) (index int, known bool) {
	index = slices.IndexFunc(d.cells, func(cell Cell) bool { return cell.ID == id })
	return index, index >= 0
}

// Homes returns the indexes of up to count cells in which a prompt with the key had better run,
// the best first. Cells draw for it with the number of their engines that take work as weight, so
// that the load follows the engines and a change of one cell moves little. A zone, if given, goes
// first: it is for prompts of which so little is kept that their way weighs more. The last home is
// then one of another zone, so that a zone which has lost its engines passes its work on.
func (d *Division) Homes(key uint64, zone string, count int) []int {
	draws := d.draw(key)
	if zone != "" && d.keeps(key, zone) {
		draws = zoneFirst(draws, zone, count)
	}
	homes := make([]int, 0, count)
	for _, draw := range draws[:min(count, len(draws))] {
		homes = append(homes, draw.index)
	}
	return homes
}

// drawn is a cell with what it drew for a key.
type drawn struct {
	index int
	zone  string
	score float64
}

// draw lets the cells that take work draw for a key, the best first. Where none takes any, all draw.
func (d *Division) draw(key uint64) []drawn {
	draws := make([]drawn, 0, len(d.cells))
	for index, cell := range d.cells {
		weight := cell.Open
		if len(d.open) == 0 {
			weight = len(cell.Members)
		}
		if weight > 0 {
			draws = append(draws, drawn{index: index, zone: cell.Zone, score: float64(weight) / -math.Log(unit(mix(cell.ID, key)))})
		}
	}
	slices.SortFunc(draws, func(a, b drawn) int { return cmp.Compare(b.score, a.score) })
	return draws
}

// keeps reports whether a zone keeps a prompt of its own to itself: all of them while it has about its
// part of the engines that take work, and fewer the fewer it has.
func (d *Division) keeps(key uint64, zone string) bool {
	all := 0
	for _, count := range d.open {
		all += count
	}
	if all == 0 {
		return true
	}
	part := float64(d.open[zone]*len(d.open)) / float64(all)
	return unit(mix(key, keepSalt)) < part*keepSlack
}

// zoneFirst puts the cells of a zone first, but for the last of so many homes.
func zoneFirst(draws []drawn, zone string, count int) []drawn {
	var inside, outside []drawn
	for _, draw := range draws {
		if draw.zone == zone {
			inside = append(inside, draw)
		} else {
			outside = append(outside, draw)
		}
	}
	first := len(inside)
	if len(outside) > 0 && count > 1 {
		first = min(first, count-1)
	}
	return slices.Concat(inside[:first], outside, inside[first:])
}
