package simulation

import (
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// longestListLag bounds the age of the machine list.
const longestListLag = 8 * time.Second

// platform serves the machine list, which shows the machines as they were some time ago.
type platform struct {
	host
	// versions holds all states of the list, sorted by time.
	versions []listVersion
	lag      time.Duration
}

// listVersion is one state of the list and the time from which it holds.
type listVersion struct {
	at   time.Duration
	list enginecontract.MachineList
}

// update adds the current state of the machines to the versions of the list.
func (p *platform) update() {
	list := enginecontract.MachineList{Version: uint64(len(p.versions) + 1)}
	for _, engine := range p.world.engines {
		if engine.isGone {
			continue
		}
		state := enginecontract.StateServing
		if engine.isLeaving {
			state = enginecontract.StateLeaving
		}
		list.Machines = append(list.Machines, enginecontract.Machine{
			Name: engine.name, Service: engine.service, Zone: engine.zone, Address: engine.name, State: state,
		})
	}
	p.versions = append(p.versions, listVersion{at: p.world.now, list: list})
}

// currentList returns the list as it was p.lag ago.
func (p *platform) currentList() enginecontract.MachineList {
	list := p.versions[0].list
	for _, version := range p.versions {
		if version.at <= p.world.now-p.lag {
			list = version.list
		}
	}
	return list
}
