package benchcommand

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
	"github.com/hazelpitch/hazelpitch/internal/servercommand"
	"github.com/hazelpitch/hazelpitch/internal/soak"
	"github.com/hazelpitch/hazelpitch/internal/standin/silence"
	"github.com/hazelpitch/hazelpitch/internal/zonedelay"
	"github.com/hazelpitch/hazelpitch/platform"
)

// serveSiteSubcommand is the hidden subcommand with which a soak starts this program:
// serve-site relay|site-controller FLAGS. It runs the server's own code.
const serveSiteSubcommand = "serve-site"

// serveSite runs one server until it stops or its standard input is closed. The soak holds the other end
// of the standard input, so its servers stop with it.
func serveSite(ctx context.Context, arguments []string, environment Environment) int {
	outgoing, toBackEnds := soak.NewOutgoing(), zonedelay.NewDialCuts()
	go func() {
		_ = fleet.ApplyCutCommands(os.Stdin, fleet.CutTargets{Gate: outgoing.Partitioner, Dials: toBackEnds, Network: new(silence.Network)}) // returns when the soak closes standard input
		os.Exit(ExitFailed)
	}()
	dialControllers, err := dialing.ToPeers("")
	if err != nil {
		_, _ = fmt.Fprintln(environment.Stderr, err)
		return ExitFailed
	}
	var listen func(network, address string) (net.Listener, error) // a relay's own listeners accept packet filters
	if len(arguments) > 0 && arguments[0] == soak.ControllerServer {
		listen = silence.ListenAt
	}
	// Only relays dial by this; controllers have their own dialer.
	dial := toBackEnds.WrapDial(dialing.WithDeadPeerDetection(), soak.BackEndPort)
	return servercommand.Run(ctx, arguments, servercommand.Environment{
		Program: environment.Program + " " + serveSiteSubcommand, Stdout: environment.Stdout, Stderr: environment.Stderr, Site: platform.Site(),
		Listen: listen,
		Dial:   dialing.Dial(outgoing.WrapDial(dial, soak.PeerPort)), DialControllers: dialing.Dial(outgoing.WrapDial(dialControllers, soak.PeerPort)),
		ListenPacket: func(network, address string) (net.PacketConn, error) {
			connection, err := net.ListenPacket(network, address)
			if err != nil {
				return nil, err
			}
			return outgoing.WrapPacketConn(connection), nil
		},
	})
}

// soakFlags are the flags of `hazelbench soak`.
type soakFlags struct {
	Seed        uint64        `long:"seed" default:"1" description:"first seed; each draws requests and faults anew"`
	Seeds       int           `long:"seeds" default:"1" description:"how many seeds are run, one after another"`
	Length      time.Duration `long:"length" default:"20s" description:"how long faults go on in each seed"`
	Calm        time.Duration `long:"calm" default:"16s" description:"how long each seed goes on after its last fault"`
	Controllers int           `long:"controllers" default:"3" description:"controllers, each a process"`
	Relays      int           `long:"relays" default:"4" description:"relays, each a process"`
	Pages       int           `long:"pages" default:"8" description:"back ends that answer whole"`
	Engines     int           `long:"engines" default:"8" description:"back ends that answer in streams"`
	Clients     int           `long:"clients" default:"24" description:"clients that send at the same time"`
	Poisons     int           `long:"poisons" default:"2" description:"requests that end each back end that runs them, sent again and again"`
	Program     string        `long:"program" value-name:"FILE" description:"hazelpitch as users get it; default: the same code in this program"`
	Other       string        `long:"other" value-name:"FILE" description:"hazelpitch of another build: processes are replaced by it and back, in any order"`
	Plain       bool          `long:"plain" description:"back ends ask for no rests, name no limits and start under new identities: for other builds that know nothing of these"`
	Uneven      bool          `long:"uneven" description:"engines report slowdowns that change many times a second and work accordingly; a third of them are always slow"`
	Pressure    bool          `long:"pressure" description:"add a service with fewer slots than relays and tenants that ask for more than it carries; in half of the seeds relays share its slots, and their owner is struck"`
	Returns     bool          `long:"check-returns" description:"with --pressure, in the seeds that share slots: require that nine in ten of the clients that return as told, and of the attempts of tenants below their share, are served; faults leave out the owner of the slots and the back ends with few slots"`
	StandStill  bool          `long:"stand-still" description:"sound back ends, single ones and several at once, stand still for 0.8 to 2 s and go on, beside reloads and stops of relays"`
	BackEndCuts bool          `long:"back-end-cuts" description:"cut relays off from all back ends: one, half of a zone, or a zone; relays and back ends are in two zones"`
	Unframed    bool          `long:"unframed" description:"a quarter of the answers of back ends have neither a length nor chunks and end with their connection; two in five of these are broken off"`
	Long        bool          `long:"long-requests" description:"one in sixteen requests with a body is of 1 MiB; back ends answer two in five of these before they have received them, and crash with nothing unread"`
	Versions    bool          `long:"versions" description:"engines start with one of three software versions each and break streams off; clients take these up, at any relay"`
	Parts       int           `long:"parts" default:"0" description:"parts of prompts that end each back end which begins to answer a request with them; no two such requests are alike, and sound ones share their first part"`
	HotRelay    bool          `long:"hot-relay" description:"for some seconds most new connections go to one relay, then to another one, while clients open more of them"`
	Changes     bool          `long:"changes" description:"submit hundreds of large configurations in quick succession; at the end all controllers are killed, and one comes back with an empty disk"`
	CoreCuts    bool          `long:"controller-cuts" description:"cut controllers from each other, one, a part or all, silently, one way or by resets, for 0.5 to 40 s; the last time while nothing else happens"`
	FinalFault  bool          `long:"final-fault" description:"end each seed with a fault of all controllers, drawn by seed: all killed, all suspended or silent, or as many disks lost as may be while all others lose power; then read the configuration back"`
	Releases    bool          `long:"releases" description:"replace the engines by those of new software versions again and again, and kill all relays or all processes, or hold one relay out of step, meanwhile; answers are garbled, connections reset, and clients take up streams that break off"`
	Alone       bool          `long:"releases-alone" description:"with --releases or --moves: no other faults"`
	Moves       bool          `long:"moves" description:"series of configurations lead the routes of streams to another service and back, split them, and add and remove a narrower one, while all relays or all processes are killed, or one relay is out of step; answers and clients as with --releases"`
	Directory   string        `long:"directory" value-name:"DIR" description:"where settings, disks and logs go; default: a temporary directory, which stays where a rule was broken"`
	Untimed     bool          `long:"untimed" description:"leave out the rules with time bounds: for machines that are busy"`
	Verbose     bool          `long:"verbose" description:"print each fault as it strikes"`
}

func soakCommand() command {
	return command{
		name:  "soak",
		short: "run relays and controllers as real processes under faults from outside, and check every rule",
		long: "For each seed: starts controllers and relays on loopback with stand-ins of the users' platform around them, sends " +
			"requests of all kinds, some of which crash their back ends, changes the configuration, kills, freezes, stops, restarts " +
			"and wipes processes, crashes, drains, resets, silences and slows back ends, and checks the rules on what clients, " +
			"back ends and the operator saw. It fails when a rule was broken, and prints the command that runs the seed again.",
		runner: new(soakFlags),
	}
}

func (s *soakFlags) run(ctx context.Context, environment Environment, rest []string) error {
	if err := rejectArguments(rest); err != nil {
		return err
	}
	if s.Controllers < 1 || s.Relays < 1 || s.Pages < 2 || s.Engines < 2 || s.Clients < 1 || s.Seeds < 1 || s.Poisons < 0 || s.Parts < 0 || s.Length <= 0 || s.Calm < 0 {
		return &usageError{cause: trace.BadParameter("--controllers, --relays, --clients, --seeds and --length must be above 0, --pages and --engines above 1, --poisons, --parts and --calm not below 0")}
	}
	if s.Pressure && s.Relays < soak.MinPressureRelays || s.Returns && (!s.Pressure || s.Untimed || s.Other != "") {
		return &usageError{cause: trace.BadParameter("--pressure takes --relays of at least %d; --check-returns takes --pressure, and neither --untimed nor --other", soak.MinPressureRelays)}
	}
	if s.BackEndCuts && (s.Relays < soak.MinCutRelays || s.Program != "" || s.Other != "") {
		return &usageError{cause: trace.BadParameter("--back-end-cuts takes --relays of at least %d, and neither --program nor --other: only this program's relays accept commands that cut their connections", soak.MinCutRelays)}
	}
	if s.CoreCuts && (s.Controllers < soak.MinCutControllers || s.Program != "" || s.Other != "") {
		return &usageError{cause: trace.BadParameter("--controller-cuts takes --controllers of at least %d, and neither --program nor --other: only this program's controllers accept commands that cut their network", soak.MinCutControllers)}
	}
	if (s.Releases || s.Moves) && (s.Program != "" || s.Other != "") || s.Alone && !s.Releases && !s.Moves {
		return &usageError{cause: trace.BadParameter("--releases and --moves take neither --program nor --other: only this program's relays accept commands that cut their network; --releases-alone takes --releases or --moves")}
	}
	var failures []error
	for number := range s.Seeds {
		if err := s.runSeed(ctx, environment, s.Seed+uint64(number)); err != nil {
			failures = append(failures, err)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return trace.NewAggregate(failures...)
}

// runSeed runs one seed. It keeps the seed's files if the run failed or broke a rule that the soak checks.
func (s *soakFlags) runSeed(ctx context.Context, environment Environment, seed uint64) error {
	directory, err := s.makeDirectory(seed)
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := soak.Run(ctx, s.options(environment, seed, directory))
	if err != nil {
		return trace.Wrap(err, "seed %d; its logs are in %s", seed, directory)
	}
	fmt.Fprintln(environment.Stdout, report)
	if err := report.Err(); err != nil {
		fmt.Fprintf(environment.Stdout, "  again: %s soak --seed %d --length %s --calm %s --controllers %d --relays %d --pages %d --engines %d --clients %d --poisons %d --parts %d%s\n  logs: %s\n",
			environment.Program, seed, s.Length, s.Calm, s.Controllers, s.Relays, s.Pages, s.Engines, s.Clients, s.Poisons, s.Parts, s.buildFlags(), directory)
		return trace.Wrap(err)
	}
	if s.Directory == "" {
		return trace.ConvertSystemError(os.RemoveAll(directory))
	}
	return nil
}

// buildFlags returns the flags for other builds and further parts as they were given, as text for the command that repeats
// a run.
func (s *soakFlags) buildFlags() string {
	flags := ""
	if s.Program != "" {
		flags += " --program " + s.Program
	}
	if s.Other != "" {
		flags += " --other " + s.Other
	}
	for _, flag := range []struct {
		given bool
		text  string
	}{{s.Plain, " --plain"}, {s.Uneven, " --uneven"}, {s.Pressure, " --pressure"}, {s.Returns, " --check-returns"}, {s.StandStill, " --stand-still"}, {s.BackEndCuts, " --back-end-cuts"}, {s.Unframed, " --unframed"}, {s.Long, " --long-requests"}, {s.Versions, " --versions"}, {s.HotRelay, " --hot-relay"}, {s.Changes, " --changes"}, {s.CoreCuts, " --controller-cuts"}, {s.FinalFault, " --final-fault"}, {s.Releases, " --releases"}, {s.Alone, " --releases-alone"}, {s.Moves, " --moves"}, {s.Untimed, " --untimed"}} {
		if flag.given {
			flags += flag.text
		}
	}
	return flags
}

// makeDirectory creates the directory of a seed's files.
func (s *soakFlags) makeDirectory(seed uint64) (string, error) {
	if s.Directory == "" {
		temporary, err := os.MkdirTemp("", fmt.Sprintf("hazelbench-soak-%d-", seed))
		return temporary, trace.ConvertSystemError(err)
	}
	path := filepath.Join(s.Directory, fmt.Sprint("seed-", seed))
	return path, trace.ConvertSystemError(os.MkdirAll(path, 0o755))
}

func (s *soakFlags) options(environment Environment, seed uint64, directory string) soak.Options {
	options := soak.Options{
		Seed: seed, Controllers: s.Controllers, Relays: s.Relays, Pages: s.Pages, Engines: s.Engines, Clients: s.Clients, Poisons: s.Poisons,
		FaultDuration: s.Length, QuietDuration: s.Calm, Directory: directory, Program: s.Program, Serve: serveSiteSubcommand, CheckTimeBounds: !s.Untimed,
		OtherProgram: s.Other, FirstFormatOnly: s.Plain, Uneven: s.Uneven, Pressure: s.Pressure, CheckReturns: s.Returns,
		StandStill: s.StandStill, BackEndCuts: s.BackEndCuts, Unframed: s.Unframed, LongRequests: s.Long, Versions: s.Versions, DeadlyParts: s.Parts, HotRelay: s.HotRelay, ManyChanges: s.Changes, ControllerCuts: s.CoreCuts, FinalFault: s.FinalFault,
		Releases: s.Releases, ReleasesAlone: s.Alone, Moves: s.Moves,
	}
	if s.Verbose {
		options.Progress = func(line string) { fmt.Fprintln(environment.Stderr, line) }
	}
	return options
}
