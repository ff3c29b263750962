// Package machinelist is a stand-in for the platform's machine list: it returns the list as
// it was some time ago.
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

// DefaultLag is the age of the returned list if Config sets none.
const DefaultLag = 2 * time.Second

const shutdownTimeout = time.Second

// Config configures a machine list.
type Config struct {
	Address string // IP:port; port 0 selects a free port
	// Lag is the age of the returned list; 0 is DefaultLag, a negative value is no lag.
	Lag time.Duration
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// listVersion is a version of the list and the time from which it holds.
type listVersion struct {
	from time.Time
	list enginecontract.MachineList
}

// Server is a machine list server. It is safe for concurrent use.
type Server struct {
	server  *crashable.Server
	address string

	mutex    sync.Mutex
	lag      time.Duration
	versions []listVersion
}

// Start starts a machine list. The given machines are visible at once, whatever the lag.
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
	list := &Server{address: listener.Addr().String(), lag: config.Lag, versions: []listVersion{{list: first}}}
	list.server = crashable.Start(listener, list.handle)
	return list, nil
}

// Address returns the IP:port that the list listens on.
func (s *Server) Address() string { return s.address }

// Close stops the server.
func (s *Server) Close() { _ = s.server.Close(shutdownTimeout) } // it resets the remaining connections in any case

// SetLag changes the age of the returned list.
func (s *Server) SetLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// SetState changes one machine's state; it returns false if the machine is not listed.
func (s *Server) SetState(name string, state enginecontract.ServiceState) bool {
	return s.publishChange(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		for index := range machines {
			if machines[index].Name == name {
				machines[index].State = state
				return machines, true
			}
		}
		return nil, false
	})
}

// RemoveMachine removes a machine; it returns false if the machine is not listed.
func (s *Server) RemoveMachine(name string) bool {
	return s.publishChange(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		left := slices.DeleteFunc(slices.Clone(machines), func(machine enginecontract.Machine) bool { return machine.Name == name })
		return left, len(left) < len(machines)
	})
}

// AddMachine adds a machine to the list.
func (s *Server) AddMachine(machine enginecontract.Machine) {
	s.publishChange(func(machines []enginecontract.Machine) ([]enginecontract.Machine, bool) {
		return append(machines, machine), true
	})
}

// publishChange appends a new version of the list; it returns false if edit changed nothing.
func (s *Server) publishChange(edit func([]enginecontract.Machine) ([]enginecontract.Machine, bool)) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.versions[len(s.versions)-1].list
	machines, changed := edit(slices.Clone(last.Machines))
	if changed {
		next := enginecontract.MachineList{Version: last.Version + 1, Machines: machines}
		s.versions = append(s.versions, listVersion{from: time.Now(), list: next})
	}
	return changed
}

// visibleList returns the list as it was before the lag and drops older versions.
func (s *Server) visibleList() enginecontract.MachineList {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	horizon := time.Now().Add(-max(s.lag, 0))
	for len(s.versions) > 1 && !s.versions[1].from.After(horizon) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].list
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != enginecontract.PathMachines || !ctx.IsGet() {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	text, err := json.Marshal(s.visibleList())
	if err != nil { // the type always marshals
		panic(err)
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(text)
}
