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
	// restartPause separates the start times, and so the incarnations, of one gateway's processes.
	restartPause = 100 * time.Millisecond
)

// process is one process of a gateway.
type process struct {
	host   string
	killed bool
	stop   context.CancelFunc
	done   chan error
}

// gateways are the gateways of a run, each with one process after another. The methods that start and stop processes
// are called from one goroutine.
type gateways struct {
	network     *network
	controllers *controllers
	off         safeguard.Set

	mutex sync.Mutex
	// processes holds all processes of each gateway, the current one last.
	processes [][]*process
	started   int
}

func startGateways(memoryNet *network, quorum *controllers, count int, off safeguard.Set) *gateways {
	g := &gateways{network: memoryNet, controllers: quorum, off: off, processes: make([][]*process, count)}
	for number := range count {
		g.start(number)
	}
	return g
}

func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number+1) }

// start starts a process of one gateway on a new host, and waits until callers can connect.
func (g *gateways) start(number int) {
	g.started++
	host := fmt.Sprintf("10.1.%d.%d", g.started/250, g.started%250+1)
	ctx, stop := context.WithCancel(context.Background())
	created := &process{host: host, stop: stop, done: make(chan error, 1)}
	ready := make(chan struct{})
	options := gateway.Options{Listen: g.network.listen, Dial: g.network.dialFrom(host), Safeguards: g.off, Ready: ready}
	go func() {
		created.done <- gateway.Run(ctx, gatewaySettings(gatewayName(number), host, g.controllers.addresses), options)
	}()
	<-ready
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.processes[number] = append(g.processes[number], created)
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

// address returns the address at which callers currently reach a gateway.
func (g *gateways) address(number int) string {
	return g.current(number).host + ":8080"
}

func (g *gateways) current(number int) *process {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all := g.processes[number]
	return all[len(all)-1]
}

// kill kills a gateway's process as seen from outside: all its connections break and it can open no new ones. Then it
// starts another process of that gateway.
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

// replace starts another process of a gateway and stops the current one gracefully.
func (g *gateways) replace(number int) {
	leaving := g.current(number)
	time.Sleep(restartPause)
	g.start(number)
	leaving.stop()
}

// close stops every process. It returns the errors of processes that were not killed, since these must stop gracefully.
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
