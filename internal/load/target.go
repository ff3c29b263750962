package load

// Target is where a run's requests go.
type Target struct {
	// Gateways are IP:ports; requests take them in turn.
	Gateways []string
	// GatewayZones are the gateways' zones, in their order; requests of a zone go to
	// the gateways there.
	GatewayZones []string
	// Engines and Pages take their place in a direct run, without gateways.
	Engines []string
	Pages   []string
	// Keys are the tenants' API keys.
	Keys []string
	// SourceAddress is the IP that callers call from.
	SourceAddress string
}

// Direct tells that the run goes past the gateways.
func (t Target) Direct() bool { return len(t.Gateways) == 0 }

// address of the back end or gateway that takes a request.
func (t Target) address(of request) string {
	var list []string
	switch {
	case !t.Direct():
		list = t.gatewaysOf(of.zone)
	case of.chat:
		list = t.Engines
	default:
		list = t.Pages
	}
	return list[(of.arrival.number+of.detour)%len(list)]
}

// gatewaysOf returns the gateways of a zone; of the empty zone all of them.
func (t Target) gatewaysOf(zone string) []string {
	if zone == "" {
		return t.Gateways
	}
	var found []string
	for index, present := range t.GatewayZones {
		if present == zone {
			found = append(found, t.Gateways[index])
		}
	}
	return found
}
