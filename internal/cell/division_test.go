package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet returns engines in several zones.
func fleet(zones, perZone int) []Member {
	var members []Member
	for zone := range zones {
		for number := range perZone {
			members = append(members, Member{Hash: mix(uint64(zone+1), uint64(number+1)), Zone: fmt.Sprint("zone-", zone)})
		}
	}
	return members
}

// For any size of the fleet, cells have a similar size and each engine belongs to one cell.
func TestCellsKeepTheirSize(t *testing.T) {
	for name, row := range map[string]struct {
		zones, perZone, cells int
		ownZones              bool
	}{
		"one small zone":        {zones: 1, perZone: 5, cells: 1},
		"a small site":          {zones: 3, perZone: 3, cells: 1},
		"two zones of twelve":   {zones: 2, perZone: 12, cells: 2, ownZones: true},
		"zones share two cells": {zones: 4, perZone: 8, cells: 2},
		"hundreds of engines":   {zones: 5, perZone: 32, cells: 10, ownZones: true},
		"the target size":       {zones: 10, perZone: 93, cells: 60, ownZones: true},
	} {
		t.Run(name, func(t *testing.T) {
			members := fleet(row.zones, row.perZone)
			division := Divide("service", members)
			require.Len(t, division.Cells(), row.cells)
			counted := 0
			for index, cell := range division.Cells() {
				require.Equal(t, row.ownZones, cell.Zone != "")
				require.NotEmpty(t, cell.Members)
				require.LessOrEqual(t, len(cell.Members), 2*Size)
				for _, member := range cell.Members {
					of, known := division.CellOf(members[member].Hash)
					require.True(t, known)
					require.Equal(t, index, of)
					counted++
				}
			}
			require.Equal(t, len(members), counted)
		})
	}
}

// Relays that list the engines in different orders get the same cells.
func TestDivisionDoesNotDependOnTheOrder(t *testing.T) {
	members := fleet(3, 20)
	shuffled := slices.Clone(members)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	one, other := Divide("service", members), Divide("service", shuffled)
	for _, member := range members {
		a, _ := one.CellOf(member.Hash)
		b, _ := other.CellOf(member.Hash)
		require.Equal(t, one.Cells()[a].ID, other.Cells()[b].ID)
	}
}

// An engine that leaves moves no other engine to another cell, and few prompts to another home.
func TestRemovingAnEngineMovesFewPrompts(t *testing.T) {
	members := fleet(5, 32)
	before, after := Divide("service", members), Divide("service", members[1:])
	for _, member := range members[1:] {
		a, _ := before.CellOf(member.Hash)
		b, _ := after.CellOf(member.Hash)
		require.Equal(t, before.Cells()[a].ID, after.Cells()[b].ID)
	}
	const prompts = 5000
	moved := 0
	for key := range uint64(prompts) {
		if before.Homes(key, "", 1)[0] != after.Homes(key, "", 1)[0] {
			moved++
		}
	}
	require.Less(t, moved, prompts/50)
}

// Homes returns the cells for a prompt, the best first. The share of prompts that have a cell as their first home must be
// about the cell's share of all engines. Every cell must be the second home of some prompt.
func TestHomesAreProportionalToEngines(t *testing.T) {
	division := Divide("service", fleet(5, 32))
	const prompts = 20000
	first, second := map[int]int{}, map[int]int{}
	for key := range uint64(prompts) {
		homes := division.Homes(key, "", 2)
		require.NotEqual(t, homes[0], homes[1])
		first[homes[0]]++
		second[homes[1]]++
	}
	for index, cell := range division.Cells() {
		share := float64(len(cell.Members)) / 160
		require.InDelta(t, share, float64(first[index])/prompts, 0.2*share)
		require.NotZero(t, second[index])
	}
}

// The cells of the requested zone are the first homes, followed by those of other zones.
func TestHomesPreferTheRequestedZone(t *testing.T) {
	division := Divide("service", fleet(5, 32))
	for key := range uint64(100) {
		homes := division.Homes(key, "zone-3", 4)
		require.Len(t, homes, 4)
		require.Equal(t, "zone-3", division.Cells()[homes[0]].Zone)
		require.Equal(t, "zone-3", division.Cells()[homes[1]].Zone)
		require.NotEqual(t, "zone-3", division.Cells()[homes[2]].Zone)
	}
	require.Empty(t, Divide("service", nil).Homes(1, "", 3))

	division = Divide("service", fleet(3, 64)) // four cells in each zone: the last home is in another zone
	for key := range uint64(100) {
		homes := division.Homes(key, "zone-1", 3)
		require.Equal(t, "zone-1", division.Cells()[homes[1]].Zone)
		require.NotEqual(t, "zone-1", division.Cells()[homes[2]].Zone)
	}
}

// A cell is found by its ID; a cell of another service is not.
func TestIndexByID(t *testing.T) {
	division := Divide("service", fleet(2, 16))
	index, known := division.IndexByID(division.Cells()[1].ID)
	require.True(t, known)
	require.Equal(t, 1, index)
	_, known = division.IndexByID(Divide("other", fleet(2, 16)).Cells()[0].ID)
	require.False(t, known)
}

// A zone that has lost most of its engines passes on the prompts that exceed its capacity, and cells without an
// engine that accepts work are not homes.
func TestAZoneWithoutEnginesPassesItsWorkOn(t *testing.T) {
	members := fleet(3, 32)
	for index := range members {
		members[index].Closed = members[index].Zone == "zone-1"
	}
	division := Divide("service", members)
	for key := range uint64(100) {
		homes := division.Homes(key, "zone-1", 3)
		require.Len(t, homes, 3)
		for _, home := range homes {
			require.NotEqual(t, "zone-1", division.Cells()[home].Zone)
		}
	}

	for index := range members { // a quarter of its engines is back
		members[index].Closed = members[index].Zone == "zone-1" && index%4 > 0
	}
	division = Divide("service", members)
	local := 0
	for key := range uint64(1000) {
		if division.Cells()[division.Homes(key, "zone-1", 3)[0]].Zone == "zone-1" {
			local++
		}
	}
	require.Greater(t, local, 100)
	require.Less(t, local, 600)

	for index := range members {
		members[index].Closed = true
	}
	require.Len(t, Divide("service", members).Homes(1, "zone-1", 3), 3, "if no engine accepts work, all cells are homes")
}
