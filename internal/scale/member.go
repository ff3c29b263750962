package scale

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/controller"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/machinelist"
)

// Part is what one process of a fleet is.
type Part string

// Parts.
const (
	PartController Part = "controller"
	PartEngines    Part = "engines" // all hollow engines and the machine list
)

// Spec is what a member process needs to know.
type Spec struct {
	Part       Part     `json:"part"`
	Plan       Plan     `json:"plan"`
	Controller int      `json:"controller"`
	Directory  string   `json:"directory"`
	Cuts       []Cut    `json:"cuts"`
	Stopped    []string `json:"stopped"` // engines that do not start
}

// Verb is what a command asks of a member.
type Verb string

// Verbs.
const (
	VerbCut   Verb = "cut"   // replace the cuts of the network
	VerbStop  Verb = "stop"  // make engines vanish
	VerbStart Verb = "start" // make engines come back
)

// Command is one instruction to a running member.
type Command struct {
	Verb  Verb     `json:"verb"`
	Cuts  []Cut    `json:"cuts,omitempty"`
	Names []string `json:"names,omitempty"`
}

// operatorKey is the administrator's key of every scale fleet.
const operatorKey = "scale-administrator"

// RunMember runs a member until the context ends. Each command is answered with its
// error, or nil, after it took effect.
func RunMember(ctx context.Context, spec Spec, commands <-chan Command, answers chan<- error) error {
	network := NewNetwork(spec.Plan)
	network.SetCuts(spec.Cuts)
	if spec.Part == PartController {
		go obey(ctx, commands, answers, network, nil)
		return trace.Wrap(runController(ctx, spec, network))
	}
	engines := make([]*hollowEngine, spec.Plan.Replicas)
	machines := make([]enginecontract.Machine, len(engines))
	for replica := range engines {
		engines[replica] = newHollowEngine(spec.Plan, replica)
		machines[replica] = engines[replica].row
		if slices.Contains(spec.Stopped, engines[replica].row.Name) {
			continue
		}
		if err := engines[replica].start(network); err != nil {
			return trace.Wrap(err)
		}
		defer engines[replica].stop()
	}
	list, err := machinelist.Start(machinelist.Config{Address: spec.Plan.machineListAddress(), Listen: network.Listen}, machines)
	if err != nil {
		return trace.Wrap(err)
	}
	defer list.Close()
	obey(ctx, commands, answers, network, engines)
	return nil
}

// obey carries out commands until the context or the commands end.
func obey(ctx context.Context, commands <-chan Command, answers chan<- error, network *Network, engines []*hollowEngine) {
	for {
		select {
		case <-ctx.Done():
			return
		case command, more := <-commands:
			if !more {
				return
			}
			answers <- carryOut(command, network, engines)
		}
	}
}

func carryOut(command Command, network *Network, engines []*hollowEngine) error {
	switch command.Verb {
	case VerbCut:
		network.SetCuts(command.Cuts)
		return nil
	case VerbStop, VerbStart:
		for _, engine := range engines {
			if !slices.Contains(command.Names, engine.row.Name) {
				continue
			}
			if command.Verb == VerbStop {
				engine.stop()
			} else if err := engine.start(network); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	}
	return trace.BadParameter("unknown verb %q", command.Verb)
}

func runController(ctx context.Context, spec Spec, network *Network) error {
	config := controllerSettings(spec)
	if err := os.MkdirAll(config.DataDirectory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	log := logring.New(config.Name, config.Log)
	logging, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go log.Run(logging)
	return trace.Wrap(controller.Run(ctx, config, controller.Options{Listen: network.Listen, Log: log}))
}

// controllerSettings are what a controller's settings file would say.
func controllerSettings(spec Spec) settings.Controller {
	plan, number := spec.Plan, spec.Controller
	config := settings.Controller{
		Name: ControllerName(number), Fleet: fleetName, Zone: ZoneName(plan.ControllerZone(number)),
		Listen: plan.ControllerAddress(number), AdminListen: plan.ControllerAdmin(number),
		SourceAddress:   plan.host(plan.ControllerZone(number), controllerHost+number),
		DataDirectory:   filepath.Join(spec.Directory, ControllerName(number)),
		MachineList:     plan.machineListAddress(),
		OperatorKeyHash: keys.Hash(operatorKey),
		ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		PlanInterval: dutyInterval, MachineListInterval: dutyInterval,
		Join: number >= plan.Controllers,
		Log:  settings.Log{RingEntries: ringEntries, DumpDirectory: filepath.Join(spec.Directory, "logs")},
	}
	for peer := range plan.Controllers {
		config.Peers = append(config.Peers, settings.Peer{
			Name: ControllerName(peer), Address: plan.ControllerAddress(peer), Zone: ZoneName(plan.ControllerZone(peer)),
		})
	}
	return config
}
