package routing

import "github.com/cespare/xxhash/v2"

// rendezvousWeight returns the weight of a node for a key in rendezvous hashing. The node with the highest weight owns
// the key, and a node that leaves moves only the keys it owned. Both hashes must be well mixed.
func rendezvousWeight(key, node uint64) uint64 {
	mixed := key ^ node
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
