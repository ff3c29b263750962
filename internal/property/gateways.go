package property

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

const (
	drainTimeout = 40 * time.Second
	// restartPause keeps the incarnations of one gateway's processes apart.
	restartPause = 100 * time.Millisecond
)

// process is one run of a gateway's process.
type process struct {
	host   string
	killed bool
	stop   context.CancelFunc
	done   chan error
}

// gateways are the gateways of a run, each over any number of processes. The methods
// that change processes are called from one goroutine.
type gateways struct {
	network     *network
	controllers *controllers
	off         safeguard.Set

	mutex sync.Mutex
	// processes holds all processes of each gateway, the present one last.
	processes [][]*process
	started   int
}

func startGateways(joined *network, served *controllers, count int, off safeguard.Set) *gateways {
	g := &gateways{network: joined, controllers: served, off: off, processes: make([][]*process, count)}
	for number := range count {
		g.start(number)
	}
	return g
}

func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number+1) }

// start starts a process of one gateway on a host of its own, and waits until callers can
// connect.
func (g *gateways) start(number int) {
	g.started++
	host := fmt.Sprintf("10.1.%d.%d", g.started/250, g.started%250+1)
	ctx, stop := context.WithCancel(context.Background())
	begun := &process{host: host, stop: stop, done: make(chan error, 1)}
	ready := make(chan struct{})
	options := gateway.Options{Listen: g.network.listen, Dial: g.network.dialFrom(host), Safeguards: g.off, Started: ready}
	go func() {
		begun.done <- gateway.Run(ctx, gatewaySettings(gatewayName(number), host, g.controllers.addresses), options)
	}()
	<-ready
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.processes[number] = append(g.processes[number], begun)
}

func gatewaySettings(name, host string, controllers []string) settings.Gateway {
	return settings.Gateway{
		Name: name, Fleet: "property", Zone: zone, Listen: host + ":8080", AdminListen: host + ":9090", Controllers: controllers,
		SyncInterval: time.Second, DrainTimeout: drainTimeout,
		Limits: settings.GatewayLimits{
			HeaderBytes: 16384, BodyBytes: 1 << 20, InFlight: 256, QueueLength: 64,
			ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		},
		Log: settings.Log{RingEntries: 16},
	}
}

// address is where callers reach a gateway now.
func (g *gateways) address(number int) string {
	return g.current(number).host + ":8080"
}

func (g *gateways) current(number int) *process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := g.processes[number]
	return all[len(all)-1]
}

// kill ends a gateway's process as seen from outside: every connection breaks at once and
// nothing of it is heard again; then another process of that gateway starts.
func (g *gateways) kill(number int) {
	killed := g.current(number)
	killed.killed = true
	g.network.isolate(killed.host)
	killed.stop()
	time.Sleep(restartPause)
	g.controllers.markGatewayLost(gatewayName(number))
	time.Sleep(restartPause)
	g.start(number)
}

// replace stops a gateway's process in good order while another one starts.
func (g *gateways) replace(number int) {
	leaving := g.current(number)
	time.Sleep(restartPause)
	g.start(number)
	leaving.stop()
}

// close stops every process. A process that was not killed must end in good order.
func (g *gateways) close() error {
	var failures []error
	for _, processes := range g.processes {
		for _, each := range processes {
			each.stop()
			if err := <-each.done; err != nil && !each.killed {
				failures = append(failures, err)
			}
		}
	}
	return trace.NewAggregate(failures...)
}
