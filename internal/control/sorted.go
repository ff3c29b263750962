package control

import (
	"cmp"
	"slices"
)

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
