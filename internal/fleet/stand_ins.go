package fleet

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/machinelist"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
	"github.com/hazelpitch/hazelpitch/internal/standin/weightstore"
)

// StandIns are the stand-ins for external systems of a fleet. They all run in this process.
type StandIns struct {
	Engines     []*engine.Engine
	Pages       []*page.Service
	Machines    *machinelist.Server
	WeightStore *weightstore.Server

	topology Topology
}

// StartStandIns starts the stand-ins of a description. The stand-in engines have the timing of profile.
func StartStandIns(description Description, profile enginemodel.Profile) (*StandIns, error) {
	standIns := &StandIns{topology: NewTopology(description)}
	if err := standIns.start(description, profile); err != nil {
		standIns.Close()
		return nil, trace.Wrap(err)
	}
	return standIns, nil
}

func (o *StandIns) start(description Description, profile enginemodel.Profile) error {
	topology := o.topology
	var err error
	o.WeightStore, err = weightstore.Start(weightstore.Config{
		Address: description.WeightStore.Address, BytesPerSecond: description.WeightStore.BytesPerSecond,
		MaxReaders: description.WeightStore.MaxReaders, Weights: description.WeightStore.Weights, Listen: topology.Listen,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	var machines []enginecontract.Machine
	for _, replica := range description.Replicas() {
		if err := o.startReplica(description, replica, profile); err != nil {
			return trace.Wrap(err)
		}
		machines = append(machines, enginecontract.Machine{
			Name: replica.Name, Service: replica.Service.Name, Zone: replica.Zone,
			Address: replica.Address, State: enginecontract.StateServing,
		})
	}
	o.Machines, err = machinelist.Start(machinelist.Config{
		Address: description.MachineList.Address, Lag: description.MachineList.Lag, Listen: topology.Listen,
	}, machines)
	return trace.Wrap(err)
}

func (o *StandIns) startReplica(description Description, replica Replica, profile enginemodel.Profile) error {
	listen := o.topology.Listen
	service := replica.Service
	if replica.Type == TypePage {
		started, err := page.Start(page.Config{
			Name: replica.Name, Service: service.Name, Zone: replica.Zone, Address: replica.Address,
			ServiceTime: service.ServiceTime, Faults: service.Faults, Listen: listen,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		o.Pages = append(o.Pages, started)
		return nil
	}
	engineProfile := profile.Faster(service.Speed)
	if service.RoleChange > 0 {
		engineProfile.RoleChange = service.RoleChange
	}
	started, err := engine.Start(engine.Config{
		Name: replica.Name, Service: service.Name, Zone: replica.Zone, Address: replica.Address,
		Role: replica.Role, Model: service.Model, Version: service.Version, Profile: engineProfile,
		WeightStore: description.WeightStore.Address, LoadLag: service.LoadLag, Faults: service.Faults, Listen: listen,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	o.Engines = append(o.Engines, started)
	return nil
}

// Engine returns the engine with a name, or nil.
func (o *StandIns) Engine(name string) *engine.Engine {
	index := slices.IndexFunc(o.Engines, func(present *engine.Engine) bool { return present.Name() == name })
	if index < 0 {
		return nil
	}
	return o.Engines[index]
}

// Totals returns the sum of all engines' counts.
func (o *StandIns) Totals() engine.Totals {
	var sum engine.Totals
	for _, each := range o.Engines {
		sum = sum.Plus(each.Runs().Totals)
	}
	return sum
}

// Close stops all stand-ins in parallel and waits for them.
func (o *StandIns) Close() {
	stops := []func(){}
	for _, each := range o.Engines {
		stops = append(stops, each.Close)
	}
	for _, each := range o.Pages {
		stops = append(stops, each.Close)
	}
	if o.Machines != nil {
		stops = append(stops, o.Machines.Close)
	}
	if o.WeightStore != nil {
		stops = append(stops, o.WeightStore.Close)
	}
	done := make(chan struct{})
	for _, stop := range stops {
		go func() {
			stop()
			done <- struct{}{}
		}()
	}
	for range stops {
		<-done
	}
}
