// Package machinelist is a stand-in for the platform's list of machines: it tells
// what was true some time ago.
package machinelist

import (
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
)

// DefaultLag is how far the list lags when nothing is set.
const DefaultLag = 2 * time.Second

const shutdownPatience = time.Second

// Config is what a machine list is.
type Config struct {
	Address string // IP:port; port 0 takes a free one
	// Lag is how old the answer is; 0 is DefaultLag, below 0 is none.
	Lag time.Duration
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// edition is the list from one time on.
type edition struct {
	from time.Time
	list enginecontract.MachineList
}

// Server is one machine list. It is safe for concurrent use.
type Server struct {
	server  *crashable.Server
	address string

	mutex    sync.Mutex
	lag      time.Duration
	editions []edition
}

// Start starts a machine list with machines that have always been there.
func Start(config Config, machines []enginecontract.Machine) (*Server, error) {
	if config.Listen == nil {
		config.Listen = net.Listen
	}
	if config.Lag == 0 {
		config.Lag = DefaultLag
	}
	listener, err := config.Listen("tcp", config.Address)
	if err != nil {
		return nil, trace.Wrap(err, "the machine list can't listen on %s", config.Address)
	}
	first := enginecontract.MachineList{Version: 1, Machines: slices.Clone(machines)}
	list := &Server{address: listener.Addr().String(), lag: config.Lag, editions: []edition{{list: first}}}
	list.server = crashable.Start(listener, list.handle)
	return list, nil
}

// Address is the IP:port the list answers at.
func (s *Server) Address() string { return s.address }

// Close stops the list.
func (s *Server) Close() { _ = s.server.Close(shutdownPatience) } // it breaks what is left in any case

// SetLag changes how old the answers are.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// SetState changes one machine's state; false when it isn't listed.
func (s *Server) SetState(name string, state enginecontract.ServiceState) bool {
	return s.change(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		for index := range machines {
			if machines[index].Name == name {
				machines[index].State = state
				return machines, true
			}
		}
		return nil, false
	})
}

// RemoveMachine takes a machine off the list; false when it isn't listed.
func (s *Server) RemoveMachine(name string) bool {
	return s.change(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		left := slices.DeleteFunc(slices.Clone(machines), func(machine enginecontract.Machine) bool { return machine.Name == name })
		return left, len(left) < len(machines)
	})
}

// AddMachine puts a machine on the list.
func (s *Server) AddMachine(machine enginecontract.Machine) {
	s.change(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		return append(machines, machine), true
	})
}

// change makes a new edition out of the last.
func (s *Server) change(edit func([]enginecontract.Machine) ([]enginecontract.Machine, bool)) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.editions[len(s.editions)-1].list
	machines, changed := edit(slices.Clone(last.Machines))
	if changed {
		next := enginecontract.MachineList{Version: last.Version + 1, Machines: machines}
		s.editions = append(s.editions, edition{from: time.Now(), list: next})
	}
	return changed
}

// told is the list as it was the lag ago; older editions are dropped.
func (s *Server) told() enginecontract.MachineList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	horizon := time.Now().Add(-max(s.lag, 0))
	for len(s.editions) > 1 && !s.editions[1].from.After(horizon) {
		s.editions = s.editions[1:]
	}
	return s.editions[0].list
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != enginecontract.PathMachines || !ctx.IsGet() {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	text, err := json.Marshal(s.told())
	if err != nil { // the shape always marshals
		panic(err)
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(text)
}
