package simulation

import "slices"

// startNetwork begins a network fault and returns the function that ends it.
func (f *faults) startNetwork(kind FaultKind, c *controller, e *engine, g *gateway) func() {
	w := f.world
	hosts := []*host{&c.host, &c.host, &e.host, &g.host}
	victim := hosts[w.random.IntN(len(hosts))]
	var cut []link
	switch kind {
	case FaultBadNetwork:
		return f.badNetwork(kind)
	case FaultCutOffController:
		victim = &c.host
		cut = w.linksOf(victim)
	case FaultCutPeers:
		if slices.ContainsFunc(w.controllers, w.isCutFromPeers) {
			return nil // at most one controller is cut off by this kind, so that the others keep their quorum
		}
		victim = &c.host
		cut = w.peerLinks(c)
	case FaultCutLink:
		victim = &c.host
		other := w.controllers[w.random.IntN(len(w.controllers))]
		cut = []link{{c.name, other.name}}
		if w.random.IntN(2) == 0 {
			cut = append(cut, link{other.name, c.name})
		}
	case FaultIsolate:
		cut = w.linksOf(victim)
	case FaultOneWay:
		inward := w.random.IntN(2) == 0
		for _, other := range w.hostNames() {
			if inward {
				cut = append(cut, link{other, victim.name})
			} else {
				cut = append(cut, link{victim.name, other})
			}
		}
	case FaultSplit:
		cut = w.splitZones()
	}
	f.traceFault(kind, "%s, %d links", victim.name, len(cut))
	return f.cutLinks(cut)
}

// cutLinks cuts links and returns the function that restores them. A link stays cut while another fault cuts it.
func (f *faults) cutLinks(links []link) func() {
	network := f.world.network
	for _, cut := range links {
		network.cuts[cut]++
	}
	return func() {
		for _, cut := range links {
			network.cuts[cut]--
		}
	}
}

// badNetwork loses, duplicates and delays messages on all links.
func (f *faults) badNetwork(kind FaultKind) func() {
	w := f.world
	loss, duplication, slowness := w.random.Float64()*0.3, w.random.Float64()*0.2, w.random.Float64()*0.2
	f.traceFault(kind, "loss %.2f, duplication %.2f, slowness %.2f", loss, duplication, slowness)
	w.network.loss += loss
	w.network.duplication += duplication
	w.network.slowness += slowness
	return func() {
		w.network.loss -= loss
		w.network.duplication -= duplication
		w.network.slowness -= slowness
	}
}

// linksOf returns the links of a host in both directions.
func (w *world) linksOf(victim *host) []link {
	var links []link
	for _, other := range w.hostNames() {
		links = append(links, link{victim.name, other}, link{other, victim.name})
	}
	return links
}

// peerLinks returns the links between a controller and the others in both directions.
func (w *world) peerLinks(c *controller) []link {
	var links []link
	for _, other := range w.controllers {
		if other != c {
			links = append(links, link{c.name, other.name}, link{other.name, c.name})
		}
	}
	return links
}

// hostNames returns the names of all hosts in a fixed order.
func (w *world) hostNames() []string {
	names := []string{w.platform.name}
	for _, c := range w.controllers {
		names = append(names, c.name)
	}
	for _, e := range w.engines {
		names = append(names, e.name)
	}
	for _, g := range w.gateways {
		names = append(names, g.name)
	}
	for _, o := range w.operators {
		names = append(names, o.name)
	}
	return names
}

// splitZones returns the links between one drawn zone and the others in both directions.
func (w *world) splitZones() []link {
	zone := w.options.Deployment.zone(w.random.IntN(len(w.options.Deployment.Zones)))
	var inside, outside []string
	place := func(name, at string) {
		if at == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, c := range w.controllers {
		place(c.name, c.zone)
	}
	for _, e := range w.engines {
		place(e.name, e.zone)
	}
	for _, g := range w.gateways {
		place(g.name, g.zone)
	}
	var cut []link
	for _, a := range inside {
		for _, b := range outside {
			cut = append(cut, link{a, b}, link{b, a})
		}
	}
	return cut
}
