package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hazelpitch/hazelpitch/platform"
)

// Ports of the processes, drawn by drawPorts. Each process has a loopback address of its own.
var portPeers, portAdmin, portOuter, portReady int

// Ports are drawn below those that the system gives to outgoing connections.
const (
	firstPort = 10_000
	portCount = 20_000
	// addressesPerGroup is for how many addresses of a group a port must be free.
	addressesPerGroup = 8
)

// drawPorts draws ports that are free at all addresses of this case.
func drawPorts() {
	drawn := map[int]bool{}
	for _, port := range []*int{&portPeers, &portAdmin, &portOuter, &portReady} {
		for *port = 0; *port == 0 || drawn[*port] || !isFree(*port); {
			*port = firstPort + rand.IntN(portCount)
		}
		drawn[*port] = true
	}
}

// isFree reports whether nothing listens on a port at any address of this case.
func isFree(port int) bool {
	for group := groupCore; group <= groupList; group++ {
		for number := range addressesPerGroup {
			listener, err := net.Listen("tcp", hostPort(address(group, number), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// Groups of loopback addresses.
const (
	groupCore = iota + 1
	groupFront
	groupReplica
	groupList
)

// site is a small deployment: controllers and relays as separate processes, and stand-ins of everything outside.
type site struct {
	program   string
	directory string
	record    *record
	list      *list
	cores     []*process
	fronts    []*process
	version   uint64
	client    *http.Client
}

// process is one process of the project.
type process struct {
	name, ip, settings, log, data string
	role                          string
	config                        map[string]any
	command                       *exec.Cmd
	done                          chan struct{}
	mutex                         sync.Mutex
	ends                          int
}

func (p *process) outer() string { return hostPort(p.ip, portOuter) }

func address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%180, group, number+1)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func newSite(program, directory string, record *record, cores, fronts int) (*site, error) {
	drawPorts()
	s := &site{program: program, directory: directory, record: record}
	s.client = &http.Client{
		Timeout:       2 * time.Second,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport:     &http.Transport{DisableKeepAlives: true},
	}
	var err error
	if s.list, err = startList(hostPort(address(groupList, 0), portOuter)); err != nil {
		return nil, err
	}
	var seeds []string
	for number := range min(cores, 3) {
		seeds = append(seeds, hostPort(address(groupCore, number), portOuter))
	}
	for number := range cores {
		ip, name := address(groupCore, number), fmt.Sprintf("core-%d", number+1)
		p := s.newProcess(name, "site-controller", ip)
		p.data = filepath.Join(directory, name+".data")
		if err := os.MkdirAll(p.data, 0o755); err != nil {
			return nil, err
		}
		p.config = map[string]any{
			"name": name, "zone": "a", "listen": hostPort(ip, portPeers), "admin_listen": hostPort(ip, portAdmin),
			"operator_listen": hostPort(ip, portOuter), "data_directory": p.data, "seeds": seeds, "bootstrap": true,
			"losses_borne": (cores - 1) / 2, "listing_address": s.list.address, "order_wait": "3000ms", "memory_limit": 280,
		}
		s.cores = append(s.cores, p)
	}
	for number := range fronts {
		ip, name := address(groupFront, number), fmt.Sprintf("front-%d", number+1)
		p := s.newProcess(name, "relay", ip)
		p.config = map[string]any{
			"name": name, "zone": "a", "listen": hostPort(ip, portOuter), "ready_listen": hostPort(ip, portReady),
			"notice_listen": hostPort(ip, portPeers), "admin_listen": hostPort(ip, portAdmin), "controllers": seeds,
			"controller_port": portPeers, "listing_address": s.list.address, "grace": "8s", "memory_limit": 284,
			"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
			"retry_budget": rawText("{ ratio: 0.2, window: 10s, slack: 54 }"),
		}
		s.fronts = append(s.fronts, p)
	}
	return s, nil
}

func (s *site) newProcess(name, role, ip string) *process {
	return &process{name: name, role: role, ip: ip, settings: filepath.Join(s.directory, name+".yaml"), log: filepath.Join(s.directory, name+".log")}
}

// start starts a process and, like the platform, starts it again whenever it ends by itself.
func (s *site) start(p *process) error {
	if err := os.WriteFile(p.settings, settingsText(p.config), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(s.program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mutex.Lock()
	p.command, p.done = command, done
	p.mutex.Unlock()
	s.record.write("start", "process", p.name)
	go func() {
		err := command.Wait()
		s.record.write("end", "process", p.name, "state", fmt.Sprint(err))
		p.mutex.Lock()
		p.ends++
		p.mutex.Unlock()
		close(done)
	}()
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done != nil {
		<-done
	}
}

func (p *process) running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// settingsText returns the settings of a process in the project's format.
func settingsText(config map[string]any) []byte {
	var text []byte
	for key, value := range config {
		content, _ := json.Marshal(value)
		if raw, isRaw := value.(rawText); isRaw {
			content = []byte(raw)
		}
		text = fmt.Appendf(text, "%s: %s\n", key, content)
	}
	return text
}

// rawText is a value that is written as it is.
type rawText string

// startAll starts all processes and waits until every relay is ready under the given configuration.
func (s *site) startAll(configuration func(version uint64) []byte) error {
	for _, p := range append(append([]*process{}, s.cores...), s.fronts...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	if err := s.put(configuration, 15*time.Second); err != nil {
		return err
	}
	until := time.Now().Add(15 * time.Second)
	for _, p := range s.fronts {
		for !s.isReady(p) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) isReady(p *process) bool {
	response, err := s.client.Get("http://" + hostPort(p.ip, portReady) + dialect.ReadyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// put sends the next configuration, as an operator does, until it is acknowledged.
func (s *site) put(configuration func(version uint64) []byte, limit time.Duration) error {
	s.version += 3
	body := configuration(s.version)
	until := time.Now().Add(limit)
	last := ""
	for try := 0; time.Now().Before(until); try++ {
		target := "http://" + s.cores[try%len(s.cores)].outer() + platform.PathConfiguration
		for range 3 {
			status, location, _, err := s.call(http.MethodPut, target, body)
			last = fmt.Sprint(status, err)
			if status == http.StatusOK {
				s.record.write("acknowledged", "version", s.version)
				return nil
			}
			if status != http.StatusTemporaryRedirect {
				break
			}
			target = location
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged: %s", s.version, last)
}

func (s *site) call(method, target string, body []byte) (status int, location string, answer []byte, err error) {
	request, err := http.NewRequest(method, target, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Location"), answer, err
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, p := range append(append([]*process{}, s.cores...), s.fronts...) {
		if p.running() {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	s.list.close()
}
