package streamorigin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// DropOldest removes a number of entries, those with the earliest times, and reports whether there were any to remove.
func DropOldest[Key comparable](times map[Key]time.Duration, count int) bool {
	if count = min(count, len(times)); count <= 0 {
		return false
	}
	oldestFirst := slices.SortedFunc(maps.Keys(times), func(a, b Key) int { return cmp.Compare(times[a], times[b]) })
	for _, key := range oldestFirst[:count] {
		delete(times, key)
	}
	return true
}
