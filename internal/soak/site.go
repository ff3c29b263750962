package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

// Ports of all processes, each of which has an IP of its own.
const (
	portPeers = 7101
	portAdmin = 7102
	portOuter = 7103
	portReady = 7104
)

// site is the processes that are looked at, and what stands around them.
type site struct {
	options     Options
	recorder    *history.Recorder
	list        *standin.List
	pages       []*standin.Replica
	engines     []*standin.Replica
	controllers []*fleet.Process
	relays      []*relayProcess
	operator    *standin.Operator
	// servers are the arguments of each process, without those that choose the build, by its name.
	servers map[string][]string
}

// relayProcess is a relay and where it is reached.
type relayProcess struct {
	*fleet.Process
	front, ready string
}

// networkParts divide the loopback network: runs of other processes, and what is started in one.
const networkParts = 200

// address returns the loopback IP of a process of this run.
func address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 50+os.Getpid()%networkParts, group, number+1)
}

// at is an IP:port.
func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Groups of addresses.
const (
	groupControllers = iota + 1
	groupRelays
	groupPages
	groupEngines
	groupList
)

// newSite prepares everything and starts the stand-ins; no process runs yet.
func newSite(options Options) (*site, error) {
	names := map[string]bool{}
	for number := range options.Controllers {
		names[controllerName(number)] = true
	}
	made := &site{options: options, servers: map[string][]string{}, recorder: history.NewRecorder(bounds, standin.Routes(), names)}
	list, err := standin.StartList(at(address(groupList, 0), portOuter), made.recorder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	made.list = list
	if options.Plain {
		list.LeaveOutOthers()
		if options.Seed/2%2 == 1 {
			list.LeaveOutBirths()
		}
	}
	if err := made.startReplicas(); err != nil {
		made.close()
		return nil, trace.Wrap(err)
	}
	made.operator = &standin.Operator{Recorder: made.recorder}
	for number := range options.Controllers {
		made.operator.Controllers = append(made.operator.Controllers, at(address(groupControllers, number), portOuter))
	}
	for number := range options.Controllers {
		if err := made.addController(number); err != nil {
			made.close()
			return nil, trace.Wrap(err)
		}
	}
	for number := range options.Relays {
		if err := made.addRelay(number); err != nil {
			made.close()
			return nil, trace.Wrap(err)
		}
	}
	return made, nil
}

func controllerName(number int) string { return fmt.Sprint("core-", number+1) }

// startReplicas starts the back ends: pages, half of them at each service, and engines.
func (s *site) startReplicas() error {
	for number := range s.options.Pages {
		service := []string{standin.ServicePages, standin.ServiceOther}[number%2]
		replica, err := standin.StartReplica(standin.ReplicaOptions{
			Service: service, Zone: "z", Address: at(address(groupPages, number), portOuter), Slots: 8,
			Work: 8 * time.Millisecond, Seed: s.options.Seed + uint64(number), List: s.list, Recorder: s.recorder, KeepID: !s.options.Plain && number/2%2 == 0,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		s.pages = append(s.pages, replica)
	}
	for number := range s.options.Engines {
		stage := []string{platform.StageDecode, platform.StagePrefill}[number%2]
		replica, err := standin.StartReplica(standin.ReplicaOptions{
			Service: standin.ServiceEngines, Zone: "z", Address: at(address(groupEngines, number), portOuter), Stage: stage, Slots: 16,
			Work: 5 * time.Millisecond, Pause: 15 * time.Millisecond, Seed: s.options.Seed + uint64(number), List: s.list, Recorder: s.recorder, KeepID: !s.options.Plain && number/2%2 == 0,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		s.engines = append(s.engines, replica)
	}
	return nil
}

// seeds are the controllers that all settings name.
func (s *site) seeds() []string { return s.operator.Controllers[:min(3, len(s.operator.Controllers))] }

func (s *site) addController(number int) error {
	name, ip := controllerName(number), address(groupControllers, number)
	data := filepath.Join(s.options.Directory, name+".data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	process, err := s.process(name, "site-controller", data, map[string]any{
		"name": name, "zone": "z", "listen": at(ip, portPeers), "operator_listen": s.operator.Controllers[number],
		"admin_listen": at(ip, portAdmin), "data_directory": data, "seeds": s.seeds(), "bootstrap": true,
		"losses_borne": (s.options.Controllers - 1) / 2, "listing_address": s.list.Address(),
	})
	s.controllers = append(s.controllers, process)
	return trace.Wrap(err)
}

func (s *site) addRelay(number int) error {
	name, ip := fmt.Sprint("front-", number+1), address(groupRelays, number)
	relay := &relayProcess{front: at(ip, portOuter), ready: at(ip, portReady)}
	var err error
	relay.Process, err = s.process(name, "relay", "", map[string]any{
		"name": name, "zone": "z", "listen": relay.front, "ready_listen": relay.ready, "notice_listen": at(ip, portPeers),
		"admin_listen": at(ip, portAdmin), "controllers": s.seeds(), "controller_port": portPeers,
		"listing_address": s.list.Address(), "grace": relayGrace.String(),
		"retry_budget": map[string]any{"ratio": bounds.RetryRatio, "window": bounds.RetryWindow.String(), "slack": bounds.RetrySlack},
	})
	s.relays = append(s.relays, relay)
	return trace.Wrap(err)
}

// relayGrace is how long a stopping relay may take.
const relayGrace = 4 * time.Second

// process writes a process's settings file.
func (s *site) process(name, server, data string, config map[string]any) (*fleet.Process, error) {
	path := filepath.Join(s.options.Directory, name+".yaml")
	content, err := yaml.Marshal(config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s.servers[name] = []string{server, "--settings", path}
	process := fleet.NewProcess(name, "", nil, path, filepath.Join(s.options.Directory, name+".log"), data)
	s.build(process, s.beginsWithOther())
	return process, nil
}

// beginsWithOther reports whether all processes are of the other build at first: every second seed is an upgrade.
func (s *site) beginsWithOther() bool { return s.options.Other != "" && s.options.Seed%2 == 1 }

// build chooses the build of a process's next start.
func (s *site) build(process *fleet.Process, other bool) {
	arguments := s.servers[process.Name]
	switch {
	case other:
		process.ReplaceProgram(s.options.Other, arguments)
	case s.options.Program == "":
		process.ReplaceProgram("", append([]string{s.options.Serve}, arguments...))
	default:
		process.ReplaceProgram(s.options.Program, arguments)
	}
}

// startedBefore writes into a controller's settings that the fleet has started before.
func startedBefore(process *fleet.Process) error {
	content, err := os.ReadFile(process.SettingsPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	changed := strings.Replace(string(content), "bootstrap: true", "bootstrap: false", 1)
	return trace.ConvertSystemError(os.WriteFile(process.SettingsPath, []byte(changed), 0o600))
}

// start starts all processes.
func (s *site) start() error {
	for _, process := range s.controllers {
		if err := process.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, relay := range s.relays {
		if err := relay.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// close ends all processes and stand-ins that run.
func (s *site) close() {
	for _, relay := range s.relays {
		relay.Kill()
	}
	for _, process := range s.controllers {
		process.Kill()
	}
	for _, replica := range append(s.pages, s.engines...) {
		replica.Close()
	}
	s.list.Close()
}
