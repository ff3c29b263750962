package shares

import (
	"cmp"
	"slices"
)

// split divides a limit among gateways by what each of them wants. Each gets at least an equal part unless it wants
// less. The remainder is distributed equally so that each can grow. Parts are whole units; their sum never exceeds the
// limit.
func split(limit uint64, wants []uint64) []uint64 {
	parts := make([]uint64, len(wants))
	if len(wants) == 0 || limit == 0 {
		return parts
	}
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(wants[a], wants[b]), cmp.Compare(a, b)) })
	left := limit
	for position, i := range order {
		equal := left / uint64(len(order)-position)
		parts[i] = min(wants[i], equal)
		left -= parts[i]
	}
	spread(parts, order, left)
	return parts
}

// spread distributes the remaining amount left equally over the parts, and its remainder one unit each to the gateways
// that want most, which are last in order.
func spread(parts []uint64, order []int, left uint64) {
	count := uint64(len(order))
	for position, i := range order {
		parts[i] += left / count
		if uint64(len(order)-position) <= left%count {
			parts[i]++
		}
	}
}
