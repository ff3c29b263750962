package soak

import "slices"

const (
	// zoneCount is the number of zones over which relays and back ends are spread where relays are cut off from back ends.
	zoneCount = 2
	// MinCutRelays is the smallest number of relays with which a cut of half a zone differs from one of a zone.
	MinCutRelays = 2 * zoneCount
)

// zone returns the zone of a relay or back end by its number.
func (s *site) zone(number int) string {
	switch {
	case s.options.BackEndCuts:
	case s.options.resumesLater():
		return []string{"a", "b", "c"}[number%3]
	default:
		return "z"
	}
	return []string{"a", "b"}[number%zoneCount]
}

// relaysInZone returns the relays in a zone.
func (s *site) relaysInZone(zone string) []*relayProcess {
	var inZone []*relayProcess
	for number, relay := range s.relays {
		if s.zone(number) == zone {
			inZone = append(inZone, relay)
		}
	}
	return slices.Clip(inZone)
}
