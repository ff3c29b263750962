package streamorigin

import "github.com/cespare/xxhash/v2"

// Version identifies a version of the software of a service's back ends, by a hash. Versions have no order.
type Version uint64

const (
	// None is no version: a stream that is bound to it may run anywhere.
	None Version = 0
	// Unknown is a version that nobody has told. It equals no version, itself included: nothing goes on at a guess.
	Unknown Version = 1
)

// VersionOf returns the version that the list of back ends names; Unknown for an empty name.
func VersionOf(software string) Version {
	if software == "" {
		return Unknown
	}
	return max(Version(xxhash.Sum64String(software)), Unknown+1)
}

// Allows reports whether a stream that is bound to the version may go on at a back end of the other version.
func (v Version) Allows(other Version) bool {
	return v == None || v != Unknown && v == other
}
