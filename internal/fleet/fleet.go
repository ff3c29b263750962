// Package fleet starts a complete deployment on loopback addresses: the external systems
// as stand-ins in this process, and controllers and gateways as separate processes, with
// the latencies between zones injected by address.
package fleet

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/scenario"
)

// readyPollInterval is the time between two checks whether a process is ready.
const readyPollInterval = 50 * time.Millisecond

// Options configure a fleet.
type Options struct {
	// Deployment is the directory with fleet.yaml, settings and declarations.
	Deployment string
	// Directory receives the run's settings, data and logs. It must exist.
	Directory string
	// Network is the first two numbers of all addresses; empty selects a free network.
	Network string
	// Profile of the stand-in engines; the zero value selects the default profile.
	Profile enginemodel.Profile
	// Scenario, when not nil, overrides the engines, roles, latencies and lags of the
	// deployment's description.
	Scenario *scenario.Scenario
	// Serve returns the arguments with which this program runs a server. Required.
	Serve ServeArguments
}

// Fleet is a running deployment.
type Fleet struct {
	Description Description
	StandIns    *StandIns
	Processes   []*Process
	Directory   string
	Deployment  string
	reservation *networkReservation
	cuts        *networkCuts
}

// Start starts a deployment: stand-ins, then controllers, then gateways. It returns once
// the processes run; WaitReady waits until they can serve.
func Start(options Options) (*Fleet, error) {
	description, err := LoadDescription(options.Deployment)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if options.Scenario != nil {
		if description, err = description.ForScenario(*options.Scenario); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	var reserved *networkReservation
	if options.Network == "" {
		reserved, err = reserveFreeNetwork()
	} else {
		reserved, err = reserveNetwork(options.Network)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fleet := &Fleet{
		Description: description.OnNetwork(reserved.network), Directory: options.Directory,
		Deployment: options.Deployment, reservation: reserved,
	}
	if err := fleet.start(options, description); err != nil {
		fleet.Close()
		return nil, trace.Wrap(err)
	}
	return fleet, nil
}

func (f *Fleet) start(options Options, original Description) error {
	directory, err := filepath.Abs(options.Directory)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	options.Directory = directory
	processes, err := prepareRun(options, original.Network, f.Description)
	if err != nil {
		return trace.Wrap(err)
	}
	if options.Profile.Name == "" {
		options.Profile = enginemodel.DefaultProfile()
	}
	f.StandIns, err = StartStandIns(f.Description, options.Profile)
	if err != nil {
		return trace.Wrap(err)
	}
	f.cuts = &networkCuts{gate: f.StandIns.topology.Gate()}
	f.Processes = processes
	for _, process := range processes {
		if process.Role == RoleController {
			if err := os.MkdirAll(process.DataDirectory, 0o755); err != nil {
				return trace.ConvertSystemError(err)
			}
		}
		if err := process.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// WaitReady waits until all processes of a role report that they can serve.
func (f *Fleet) WaitReady(ctx context.Context, role Role) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, process := range f.ProcessesOf(role) {
		group.Go(func() error { return process.WaitReady(ctx) })
	}
	return trace.Wrap(group.Wait())
}

// WaitReady waits until the process reports that it can serve.
func (p *Process) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		status, body, err := checkedconn.Get("http://" + p.AdminListen + metrics.PathReady)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if !p.Running() {
			return trace.Errorf("%s exited before it was ready; its log is %s", p.Name, p.LogPath)
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "%s is not ready: %s (its log is %s)", p.Name, body, p.LogPath)
		case <-ticker.C:
		}
	}
}

// ProcessesOf returns the processes of a role.
func (f *Fleet) ProcessesOf(role Role) []*Process {
	var found []*Process
	for _, process := range f.Processes {
		if process.Role == role {
			found = append(found, process)
		}
	}
	return found
}

// Addresses returns the IP:ports on which the processes of a role listen.
func (f *Fleet) Addresses(role Role) []string {
	var addresses []string
	for _, process := range f.ProcessesOf(role) {
		addresses = append(addresses, process.Listen)
	}
	return addresses
}

// Close stops the gateways, then the controllers, then the stand-ins.
func (f *Fleet) Close() {
	for _, role := range []Role{RoleGateway, RoleController} {
		var group errgroup.Group
		for _, process := range f.ProcessesOf(role) {
			group.Go(func() error {
				process.Stop()
				return nil
			})
		}
		_ = group.Wait() // the functions return no error
	}
	if f.StandIns != nil {
		f.StandIns.Close()
	}
	f.reservation.release()
}
