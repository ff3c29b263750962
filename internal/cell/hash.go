package cell

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HashEngine returns the hash that identifies an engine or any other back end in every process.
func HashEngine(id string) uint64 { return xxhash.Sum64String(id) }

// cellID returns the ID of a cell of a service's group.
func cellID(service, group string, number int) uint64 {
	return xxhash.Sum64String(service + "/" + group + "/" + strconv.Itoa(number))
}

// mix returns a hash of two hashes, each bit of which depends on all bits of both. It uses the finalizer of
// splitmix64.
func mix(a, b uint64) uint64 {
	mixed := a ^ b*0x9e3779b97f4a7c15
	mixed ^= mixed >> 30
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 27
	mixed *= 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// toUnit maps a hash to (0, 1).
func toUnit(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}
