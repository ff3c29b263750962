package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/platform"
)

// Ports of the processes, each of which has an address of its own; findAddresses sets them.
var portPeers, portAdmin, portControl, portFront, portReady, portReplica int

// options say what a deployment has.
type options struct {
	controllers, relays int
}

// deployment is a running deployment.
type deployment struct {
	options     options
	record      *record
	directory   string
	network     string
	list        *list
	controllers []*process
	relays      []*process
	version     int
	// leader is the number of the leading controller, as last asked.
	leader int
}

// program is the project's program, as the build of the deploy file makes it.
const program = "target/hazelpitch"

// startDeployment starts controllers and relays, and puts the first configuration in force.
func startDeployment(record *record, options options) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	created := &deployment{options: options, record: record, directory: directory}
	if created.network, err = findAddresses(); err != nil {
		return nil, err
	}
	if created.list, err = startList(created.address(9, 1, portControl)); err != nil {
		return nil, err
	}
	for number := 1; number <= options.controllers; number++ {
		if err := created.startController(number, true); err != nil {
			return nil, err
		}
	}
	for number := 1; number <= options.relays; number++ {
		if err := created.startRelay(number); err != nil {
			return nil, err
		}
	}
	return created, created.putConfiguration()
}

// findAddresses sets the ports to free ones, and returns a range of loopback addresses that nothing else uses.
func findAddresses() (string, error) {
	const firstPort, portStep, attempts = 7400, 10, 100
	ports := []*int{&portPeers, &portAdmin, &portControl, &portFront, &portReady, &portReplica}
	for attempt := range attempts {
		network := fmt.Sprintf("127.%d", 100+(os.Getpid()+attempt)%100)
		isFree := true
		for index, port := range ports {
			*port = firstPort + portStep*attempt + index
			isFree = isFree && isFreePort(fmt.Sprintf("%s.9.1:%d", network, *port))
		}
		if isFree {
			return network, nil
		}
	}
	return "", errors.New("no loopback addresses are free")
}

// isFreePort reports whether nothing listens at an address or at its port on all addresses, for streams and for datagrams.
func isFreePort(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

func (d *deployment) ip(group, number int) string {
	return fmt.Sprintf("%s.%d.%d", d.network, group, number)
}

func (d *deployment) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(group, number), port)
}

func (d *deployment) control(number int) string { return d.address(1, number, portControl) }
func (d *deployment) front(number int) string   { return d.address(2, number, portFront) }
func (d *deployment) replica(number int) string { return d.address(3, number, portReplica) }

func (d *deployment) seeds() string {
	var seeds []string
	for number := 1; number <= min(3, d.options.controllers); number++ {
		seeds = append(seeds, fmt.Sprintf("%q", d.control(number)))
	}
	return "[" + strings.Join(seeds, ", ") + "]"
}

// startController starts a controller with the settings of deploy/site/controller.yaml.
func (d *deployment) startController(number int, bootstrap bool) error {
	name := fmt.Sprintf("core-%d", number)
	data := filepath.Join(d.directory, name+".data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	settings := fmt.Sprintf("name: %s\nzone: z\nlisten: %q\nadmin_listen: %q\noperator_listen: %q\ndata_directory: %q\nseeds: %s\nbootstrap: %v\n"+
		"losses_borne: %d\nlisting_address: %q\norder_wait: 3000ms\nduties: []\nmemory_limit: 280\n",
		name, d.address(1, number, portPeers), d.address(1, number, portAdmin), d.control(number), data, d.seeds(), bootstrap,
		(d.options.controllers-1)/2, d.list.address)
	started, err := d.startServer(name, "site-controller", settings)
	if err != nil {
		return err
	}
	if number > len(d.controllers) {
		d.controllers = append(d.controllers, started)
	}
	d.controllers[number-1] = started
	return nil
}

// startRelay starts a relay with the settings of deploy/site/relay.yaml.
func (d *deployment) startRelay(number int) error {
	name := fmt.Sprintf("front-%d", number)
	settings := fmt.Sprintf("name: %s\nzone: z\nlisten: %q\nready_listen: %q\nnotice_listen: %q\nadmin_listen: %q\ncontrollers: %s\ncontroller_port: %d\n"+
		"listing_address: %q\ncontracts: [base, drain, config, cost, retry, recover, split, stream, engine]\ngrace: 8s\nmemory_limit: 284\n"+
		"retry_budget: { ratio: 0.2, window: 10s, slack: 54 }\n",
		name, d.front(number), d.address(2, number, portReady), d.address(2, number, portPeers), d.address(2, number, portAdmin), d.seeds(), portPeers,
		d.list.address)
	started, err := d.startServer(name, "relay", settings)
	if err != nil {
		return err
	}
	if number > len(d.relays) {
		d.relays = append(d.relays, started)
	}
	d.relays[number-1] = started
	return nil
}

func (d *deployment) startServer(name, role, settings string) (*process, error) {
	path := filepath.Join(d.directory, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return startProcess(name, filepath.Join(d.directory, name+".log"), program, role, "--settings", path)
}

// putConfiguration sends the next configuration to the controllers until one acknowledges it.
func (d *deployment) putConfiguration() error {
	d.version++
	content, err := json.Marshal(configuration{
		Version: d.version, Routes: streamRoutes(), Services: streamServices(),
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for number := 1; number <= d.options.controllers; number++ {
			request, err := http.NewRequest(http.MethodPut, "http://"+d.control(number)+platform.PathConfiguration, bytes.NewReader(content))
			if err != nil {
				return err
			}
			answer, err := client.Do(request)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				d.record.printf("configuration %d is acknowledged", d.version)
				return nil
			}
		}
	}
	return errors.New("no controller acknowledges the configuration")
}

// awaitReady waits until all relays are ready.
func (d *deployment) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for number := 1; number <= d.options.relays; number++ {
		isReady := false
		for until := time.Now().Add(15 * time.Second); !isReady && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			answer, err := client.Get("http://" + d.address(2, number, portReady) + dialect.ReadyPath)
			if err == nil {
				isReady = answer.StatusCode == http.StatusOK
				_ = answer.Body.Close()
			}
		}
		if !isReady {
			return fmt.Errorf("relay %d does not become ready", number)
		}
	}
	return nil
}

// close removes the deployment's files, unless KEEP is set.
func (d *deployment) close() {
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}
