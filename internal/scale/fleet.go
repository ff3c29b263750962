package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	firstNetwork = 64
	lastNetwork  = 250
	// guardPort is held on a network's first address while a fleet uses it, as
	// internal/fleet does.
	guardPort = 6999
	readyPoll = 20 * time.Millisecond
)

// Options are what a fleet is started with.
type Options struct {
	Plan Plan
	// Directory holds specs, data and logs of the members; it must exist.
	Directory string
	// Arguments make this program run a member; nil runs the members inside this
	// process, where processor time cannot be told apart and a kill is a stop.
	Arguments MemberArguments
}

// Fleet is a running fleet. Its methods are safe for concurrent use; Close is called once.
type Fleet struct {
	Plan  Plan
	Nodes []*Node

	directory   string
	guard       net.Listener
	scraper     *http.Client
	controllers []host
	engines     host

	mutex   sync.Mutex
	cuts    []Cut
	stopped map[string]bool // engines
}

// Start starts engines, controllers and nodes. Nothing is declared yet; see Declare.
func Start(options Options) (*Fleet, error) {
	plan := options.Plan
	if err := plan.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	guard, err := reserveNetwork(&plan)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	fleet := &Fleet{Plan: plan, directory: options.Directory, guard: guard, scraper: &http.Client{Timeout: operatorTimeout}, stopped: map[string]bool{}}
	makeHost := func(name string) host {
		if options.Arguments == nil {
			return &insideHost{}
		}
		return &processHost{name: name, directory: options.Directory, arguments: options.Arguments}
	}
	fleet.engines = makeHost("engines")
	for controller := range plan.Controllers + plan.Standbys {
		fleet.controllers = append(fleet.controllers, makeHost(ControllerName(controller)))
	}
	for number := range plan.Nodes {
		fleet.Nodes = append(fleet.Nodes, newNode(plan, number))
	}
	if err := fleet.start(); err != nil {
		fleet.Close()
		return nil, trace.Wrap(err)
	}
	return fleet, nil
}

func (f *Fleet) start() error {
	if err := f.engines.start(f.spec(PartEngines, 0)); err != nil {
		return trace.Wrap(err)
	}
	for controller := range f.controllers {
		if err := f.StartController(controller); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// reserveNetwork takes the plan's network, or a free one, so that no other fleet of
// this machine uses it.
func reserveNetwork(plan *Plan) (net.Listener, error) {
	if plan.Network != "" {
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", plan.Network, guardPort))
		return guard, trace.Wrap(err, "network %s is in use by another fleet", plan.Network)
	}
	for number := firstNetwork; number <= lastNetwork; number++ {
		network := fmt.Sprintf("127.%d", number)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, guardPort))
		if err == nil {
			plan.Network = network
			return guard, nil
		}
	}
	return nil, trace.LimitExceeded("every network from 127.%d to 127.%d is in use", firstNetwork, lastNetwork)
}

func (f *Fleet) spec(part Part, controller int) Spec {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	spec := Spec{Part: part, Plan: f.Plan, Controller: controller, Directory: f.directory, Cuts: slices.Clone(f.cuts)}
	for name := range f.stopped {
		spec.Stopped = append(spec.Stopped, name)
	}
	slices.Sort(spec.Stopped)
	return spec
}

// Declare applies the plan's declarations and waits until they are in force at every
// node that runs.
func (f *Fleet) Declare(ctx context.Context) error {
	var revision uint64
	for _, file := range Declarations(f.Plan) {
		response, _, err := f.submitFile(ctx, file, f.controllerAddresses())
		if err != nil {
			return trace.Wrap(err)
		}
		revision = response.GetRevision()
	}
	return trace.Wrap(f.WaitRevision(ctx, revision))
}

// WaitRevision waits until a revision is in force at every node that runs.
func (f *Fleet) WaitRevision(ctx context.Context, revision uint64) error {
	for {
		missing := f.Missing(revision)
		if len(missing) == 0 {
			return nil
		}
		if !pause.For(ctx, readyPoll) {
			return trace.Wrap(ctx.Err(), "revision %d is missing at %d nodes, %s among them", revision, len(missing), missing[0].Name)
		}
	}
}

// Missing lists the running nodes where the revision is not in force.
func (f *Fleet) Missing(revision uint64) []*Node {
	var missing []*Node
	for _, node := range f.Nodes {
		if control := node.Control(); control != nil && control.Revision() < revision {
			missing = append(missing, node)
		}
	}
	return missing
}

// StartController starts a controller with the data it kept.
func (f *Fleet) StartController(controller int) error {
	return trace.Wrap(f.controllers[controller].start(f.spec(PartController, controller)))
}

// StopController stops a controller in order; KillController ends it at once.
func (f *Fleet) StopController(controller int) { f.controllers[controller].stop() }

// KillController ends a controller without warning.
func (f *Fleet) KillController(controller int) { f.controllers[controller].kill() }

// EmptyController removes a stopped controller's data, as a replaced machine's disk.
func (f *Fleet) EmptyController(controller int) error {
	return trace.ConvertSystemError(os.RemoveAll(controllerSettings(f.spec(PartController, controller)).DataDirectory))
}

// KillLeader ends the leading controller and returns its number.
func (f *Fleet) KillLeader(ctx context.Context) (int, error) {
	leader, err := f.Leader(ctx)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	f.KillController(leader)
	return leader, nil
}

// StopEngines makes engines vanish; StartEngines brings them back with what they kept.
func (f *Fleet) StopEngines(names ...string) error { return f.commandEngines(VerbStop, names, true) }

// StartEngines brings stopped engines back.
func (f *Fleet) StartEngines(names ...string) error { return f.commandEngines(VerbStart, names, false) }

func (f *Fleet) commandEngines(verb Verb, names []string, stopped bool) error {
	f.mutex.Lock()
	for _, name := range names {
		if stopped {
			f.stopped[name] = true
		} else {
			delete(f.stopped, name)
		}
	}
	f.mutex.Unlock()
	return trace.Wrap(f.engines.send(Command{Verb: verb, Names: names}))
}

// Close stops everything.
func (f *Fleet) Close() {
	var group errgroup.Group
	for _, node := range f.Nodes {
		group.Go(func() error { node.Stop(); return nil })
	}
	_ = group.Wait() // none of them fails
	for _, member := range append(slices.Clone(f.controllers), f.engines) {
		group.Go(func() error { member.stop(); return nil })
	}
	_ = group.Wait() // none of them fails
	_ = f.guard.Close()
}
