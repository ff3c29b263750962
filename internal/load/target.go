package load

// Target is the destination of a run's requests.
type Target struct {
	// Gateways are IP:ports, used in turn.
	Gateways []string
	// GatewayZones are the zones of Gateways, in the same order; a request with a zone goes to
	// the gateways of this zone.
	GatewayZones []string
	// Engines and Pages are the destinations of a direct run, which has no gateways.
	Engines []string
	Pages   []string
	// Keys are the tenants' API keys.
	Keys []string
	// SourceAddress is the source IP of the callers.
	SourceAddress string
}

// Direct reports whether the run bypasses the gateways.
func (t Target) Direct() bool { return len(t.Gateways) == 0 }

// addressFor returns the address of the back end or gateway that a request is sent to.
func (t Target) addressFor(req request) string {
	var list []string
	switch {
	case !t.Direct():
		list = t.gatewaysIn(req.zone)
	case req.chat:
		list = t.Engines
	default:
		list = t.Pages
	}
	return list[(req.arrival.index+req.gatewayOffset)%len(list)]
}

// gatewaysIn returns the gateways of a zone; all of them for the empty zone.
func (t Target) gatewaysIn(zone string) []string {
	if zone == "" {
		return t.Gateways
	}
	var found []string
	for index, candidate := range t.GatewayZones {
		if candidate == zone {
			found = append(found, t.Gateways[index])
		}
	}
	return found
}
