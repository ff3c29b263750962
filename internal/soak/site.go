package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/soak/history"
	"github.com/hazelpitch/hazelpitch/platform"
	"github.com/hazelpitch/hazelpitch/platform/standin"
)

// Ports of all processes. Each process has its own IP.
const (
	portPeers = 7101
	portAdmin = 7102
	portOuter = 7103
	portReady = 7104
)

// site holds the processes under test and the stand-ins around them.
type site struct {
	options  Options
	recorder *history.Recorder
	list     *standin.List
	pages    []*standin.Replica
	engines  []*standin.Replica
	few      []*standin.Replica
	// spares take the place of engines of the same number in releases, and the other way round.
	spares []*standin.Replica
	// others are the engines of the service to which routes of streams are moved; moves draws where they lead, nil in runs without moves.
	others []*standin.Replica
	moves  *routeMoves
	// outOfStep is the relay that a release holds out of step, or held a moment before; nil for none.
	outOfStep   atomic.Pointer[relayProcess]
	controllers []*fleet.Process
	relays      []*relayProcess
	operator    *standin.Operator
	// servers holds, by process name, the arguments without those that select the build, configs the settings.
	servers map[string][]string
	configs map[string]map[string]any
	// controllerCount is the number of controllers so far, with those that were replaced.
	controllerCount int
	// lastNumber is the highest number of a configuration that operate has submitted.
	lastNumber uint64
}

// relayProcess is a relay with the addresses at which clients and readiness probes reach it.
type relayProcess struct {
	*fleet.Process
	front, ready string
	// peers is the address at which other relays reach it.
	peers string
}

// networkRanges is the number of ranges into which the loopback network is divided, so that concurrent runs of
// different processes do not collide.
const networkRanges = 200

// address returns the loopback IP of a process of this run.
func address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 50+os.Getpid()%networkRanges, group, number+1)
}

// hostPort joins an IP and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// Groups of addresses.
const (
	groupControllers = iota + 1
	groupRelays
	groupPages
	groupEngines
	groupList
	groupFew
	groupSpares
	groupOthers
)

// newSite creates the settings of all processes and starts the stand-ins; no process runs yet.
func newSite(options Options) (*site, error) {
	names := map[string]bool{}
	for number := range options.Controllers {
		names[controllerName(number)] = true
	}
	created := &site{options: options, servers: map[string][]string{}, configs: map[string]map[string]any{}, recorder: history.NewRecorder(options.bounds(), standin.Routes(), names)}
	if options.Moves {
		created.moves = newRouteMoves(options)
	}
	list, err := standin.StartList(hostPort(address(groupList, 0), options.listPort()), created.recorder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	created.list = list
	if options.FirstFormatOnly {
		list.OmitForeignEntries()
		if options.Seed/2%2 == 1 {
			list.OmitStartTimes()
		}
	}
	if err := created.startReplicas(); err != nil {
		created.close()
		return nil, trace.Wrap(err)
	}
	created.operator = &standin.Operator{Recorder: created.recorder}
	for number := range options.Controllers {
		created.operator.Controllers = append(created.operator.Controllers, hostPort(address(groupControllers, number), portOuter))
	}
	for number := range options.Controllers {
		process, err := created.newController(created.operator.Controllers[number])
		if err != nil {
			created.close()
			return nil, trace.Wrap(err)
		}
		created.controllers = append(created.controllers, process)
	}
	for number := range options.Relays {
		if err := created.addRelay(number); err != nil {
			created.close()
			return nil, trace.Wrap(err)
		}
	}
	if options.sharesSlots() {
		created.recorder.SetSlotOwner(created.slotOwners()[0].Name)
	}
	return created, nil
}

func controllerName(number int) string { return fmt.Sprint("core-", number+1) }

// usualSpeed returns the usual speed of a back end that reports its slowdown in uneven runs; 0 in others.
func (s *site) usualSpeed(speed float64) float64 {
	if !s.options.Uneven {
		return 0
	}
	return speed
}

// engineTimes are how long the work of engines takes, by number, as multiples of the usual time. Both stages have engines
// of each kind.
var engineTimes = []float64{slowEngineTime, slowEngineTime, fastEngineTime, fastEngineTime, fastEngineTime, fastEngineTime}

const (
	slowEngineTime = 1.7
	fastEngineTime = 0.7
)

// faultTargets returns the back ends into which faults are injected.
func (s *site) faultTargets() []*standin.Replica {
	replicas := slices.Concat(s.pages, s.engines)
	if s.options.checksReturns() {
		return replicas
	}
	replicas = append(replicas, s.runningSpares()...)
	replicas = append(replicas, s.others...)
	return append(replicas, s.few...)
}

// startReplicas starts the back ends: page services, half of them for each service, engines, and those with few slots.
func (s *site) startReplicas() error {
	for number := range s.options.Pages {
		service := []string{standin.ServicePages, standin.ServiceOther}[number%2]
		replica, err := standin.StartReplica(standin.ReplicaOptions{
			Service: service, Zone: s.zone(number / 2), Address: hostPort(address(groupPages, number), portOuter), Slots: 8,
			RunTime: 8 * time.Millisecond, Seed: s.options.Seed + uint64(number), List: s.list, Recorder: s.recorder, Unframed: s.options.Unframed, LeavesUnread: s.options.LongRequests, Garbled: s.options.resumesLater(), ReuseID: !s.options.FirstFormatOnly && number/2%2 == 0,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		s.pages = append(s.pages, replica)
	}
	for number := range s.options.Engines {
		replica, err := standin.StartReplica(s.engineOptions(number, groupEngines))
		if err != nil {
			return trace.Wrap(err)
		}
		s.engines = append(s.engines, replica)
	}
	if s.options.Releases {
		if err := s.startSpares(); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.options.Moves {
		if err := s.startOtherEngines(); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.options.Pressure {
		return trace.Wrap(s.startFewReplicas())
	}
	return nil
}

// engineOptions returns the options of an engine in a group of addresses by its number.
func (s *site) engineOptions(number, group int) standin.ReplicaOptions {
	stage, interval := []string{platform.StageDecode, platform.StagePrefill}[number%2], 15*time.Millisecond
	if s.options.resumesLater() {
		interval = releaseEventInterval
	}
	return standin.ReplicaOptions{
		Service: standin.ServiceEngines, Zone: s.zone(number / 2), Address: hostPort(address(group, number), portOuter), Stage: stage, Slots: 16, Versions: s.engineVersions(),
		RunTime: 5 * time.Millisecond, EventInterval: interval, UsualSpeed: s.usualSpeed(engineTimes[number%len(engineTimes)]), Seed: s.options.Seed + uint64(number), List: s.list, Recorder: s.recorder,
		Unframed: s.options.Unframed, LeavesUnread: s.options.LongRequests, Garbled: s.options.resumesLater(), ReuseID: !s.options.FirstFormatOnly && number/2%2 == 0,
	}
}

// engineVersions returns the software versions from which engines draw theirs.
func (s *site) engineVersions() []string {
	switch {
	case s.options.Releases, s.options.Moves:
		return []string{releaseVersion(0)}
	case s.options.Versions:
		return []string{"v1", "v1.1", "v1.2"}
	default:
		return nil
	}
}

// seeds returns the addresses of the first controllers, at most three, which the settings of all processes name.
func (s *site) seeds() []string { return s.operator.Controllers[:min(3, len(s.operator.Controllers))] }

// newController returns a controller with an empty disk, which is not running yet, and to which operators connect at the given
// address.
func (s *site) newController(operatorAddress string) (*fleet.Process, error) {
	name, ip := controllerName(s.controllerCount), address(groupControllers, s.controllerCount)
	s.controllerCount++
	data := filepath.Join(s.options.Directory, name+".data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	config := map[string]any{
		"name": name, "zone": "z", "listen": hostPort(ip, portPeers), "operator_listen": operatorAddress,
		"admin_listen": hostPort(ip, portAdmin), "data_directory": data, "seeds": s.seeds(), "bootstrap": true,
		"losses_borne": (s.options.Controllers - 1) / 2, "listing_address": s.list.Address(),
	}
	if s.options.cutsControllers() {
		config["source_address"] = ip // packet filters tell the others apart by their addresses
	}
	return s.newProcess(name, ControllerServer, data, config)
}

func (s *site) addRelay(number int) error {
	name, ip := fmt.Sprint("front-", number+1), address(groupRelays, number)
	relay := &relayProcess{front: hostPort(ip, portOuter), ready: hostPort(ip, portReady), peers: hostPort(ip, portPeers)}
	config := map[string]any{
		"name": name, "zone": s.zone(number), "listen": relay.front, "ready_listen": relay.ready, "notice_listen": relay.peers,
		"admin_listen": hostPort(ip, portAdmin), "controllers": s.seeds(), "controller_port": portPeers,
		"listing_address": s.list.Address(), "grace": relayGrace.String(),
		"retry_budget": map[string]any{"ratio": bounds.RetryRatio, "window": bounds.RetryWindow.String(), "slack": bounds.RetrySlack},
	}
	if s.options.sharesSlots() {
		config["contracts"] = []string{"pressure"}
	}
	var err error
	relay.Process, err = s.newProcess(name, RelayServer, "", config)
	s.relays = append(s.relays, relay)
	return trace.Wrap(err)
}

// relayGrace is how long a stopping relay may take to exit.
const relayGrace = 4 * time.Second

// newProcess writes the settings file of a process and returns the process, which is not running yet.
func (s *site) newProcess(name, server, data string, config map[string]any) (*fleet.Process, error) {
	path := filepath.Join(s.options.Directory, name+".yaml")
	if err := writeSettings(path, config); err != nil {
		return nil, trace.Wrap(err)
	}
	s.configs[name] = config
	s.servers[name] = []string{server, "--settings", path}
	process := fleet.NewProcess(name, "", nil, path, filepath.Join(s.options.Directory, name+".log"), data)
	s.chooseBuild(process, s.startsOnOtherBuild())
	return process, nil
}

// startsOnOtherBuild reports whether all processes start on the other build. Every second seed does so, as an upgrade
// from that build.
func (s *site) startsOnOtherBuild() bool {
	return s.options.OtherProgram != "" && s.options.Seed%2 == 1
}

// chooseBuild selects the build of a process's next start.
func (s *site) chooseBuild(process *fleet.Process, other bool) {
	arguments := s.servers[process.Name]
	switch {
	case other:
		process.ReplaceProgram(s.options.OtherProgram, arguments)
	case s.options.Program == "":
		process.ReplaceProgram("", append([]string{s.options.Serve}, arguments...))
	default:
		process.ReplaceProgram(s.options.Program, arguments)
	}
}

// writeSettings writes a settings file.
func writeSettings(path string, config map[string]any) error {
	content, err := yaml.Marshal(config)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, content, 0o600))
}

// disableBootstrap records in a controller's settings that the fleet has started before.
func (s *site) disableBootstrap(process *fleet.Process) error {
	s.configs[process.Name]["bootstrap"] = false
	return writeSettings(process.SettingsPath, s.configs[process.Name])
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

// close stops all processes and stand-ins.
func (s *site) close() {
	for _, relay := range s.relays {
		relay.Kill()
	}
	for _, process := range s.controllers {
		process.Kill()
	}
	for _, replica := range slices.Concat(s.pages, s.engines, s.spares, s.others, s.few) {
		replica.Close()
	}
	s.list.Close()
}
