// Package page is a stand-in for a page service: it serves pages, takes alerts and
// registrations, counts each by its idempotency key, and fails on demand.
//
// It shows the faults refuse, error, lose-answer, late, wrong-echo, truncate (Tokens
// is the number of bytes sent) and cut.
package page

import (
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// Paths of the bench alone.
const (
	PathBenchFaults = "/bench/faults"
	PathBenchRuns   = "/bench/runs"
)

// otherExchange is the identity that a crossed answer carries.
const otherExchange = "00000000000000000000000000000bad"

// shutdownPatience is how long Close waits for answers.
const shutdownPatience = time.Second

// Config is what one page service replica is.
type Config struct {
	Name    string
	Service string
	Zone    string
	Address string // IP:port; port 0 takes a free one
	// ServiceTime is how long one answer takes.
	ServiceTime time.Duration
	Faults      []fault.Fault
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Report is the answer to GET /bench/runs.
type Report struct {
	Service string `json:"service"`
	// Executions counts executions by idempotency key.
	Executions map[string]int `json:"executions"`
	// Served counts all requests that ran.
	Served int `json:"served"`
	// Refused counts requests that did not run.
	Refused int `json:"refused"`
}

// Service is one replica. It is safe for concurrent use.
type Service struct {
	config  Config
	faults  *fault.Set
	address string

	mutex   sync.Mutex
	server  *crashable.Server // nil while crashed
	leaving bool
	report  Report
	// frozenUntil is when a freeze ends.
	frozenUntil time.Time
}

// Start starts a replica.
func Start(config Config) (*Service, error) {
	if config.Listen == nil {
		config.Listen = net.Listen
	}
	service := &Service{
		config: config, faults: fault.NewSet(config.Faults...), address: config.Address,
		report: Report{Service: config.Name, Executions: make(map[string]int)},
	}
	return service, trace.Wrap(service.Restart())
}

// Address is the IP:port the replica listens on.
func (s *Service) Address() string { return s.address }

// Name is the replica's name in the machine list.
func (s *Service) Name() string { return s.config.Name }

// Config is what the replica was started with.
func (s *Service) Config() Config { return s.config }

// Faults are the faults switched on.
func (s *Service) Faults() *fault.Set { return s.faults }

// Restart starts the process again after a Crash.
func (s *Service) Restart() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := s.config.Listen("tcp", s.address)
	if err != nil {
		return trace.Wrap(err, "page service %s can't listen on %s", s.config.Name, s.address)
	}
	s.address = listener.Addr().String()
	s.server = crashable.Start(listener, s.handle)
	return nil
}

// Crash breaks every connection and stops listening. The counts stay: they are the
// bench's own.
func (s *Service) Crash() {
	if server := s.take(); server != nil {
		server.Crash()
	}
}

// Close stops the replica; answers get a short time to end.
func (s *Service) Close() {
	if server := s.take(); server != nil {
		_ = server.Close(shutdownPatience) // it breaks what is left in any case
	}
}

func (s *Service) take() *crashable.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server := s.server
	s.server = nil
	return server
}

// Freeze holds every answer back for a time, as a paused process does.
func (s *Service) Freeze(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozenUntil = time.Now().Add(pause)
}

// StartLeaving makes the replica refuse new work for good.
func (s *Service) StartLeaving() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// Runs reports what the replica ran since its first start.
func (s *Service) Runs() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.report
	report.Executions = make(map[string]int, len(s.report.Executions))
	for key, count := range s.report.Executions {
		report.Executions[key] = count
	}
	return report
}
