// Package page is a stand-in for a page service. It serves pages, accepts alerts and
// registrations, counts executions by idempotency key, and fails when a fault is set.
//
// It supports the faults refuse, error, lose-answer, late, wrong-echo, truncate (Tokens
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

// Paths at which hazelbench controls a stand-in page service; real page services do not have them.
const (
	PathBenchFaults = "/bench/faults"
	PathBenchRuns   = "/bench/runs"
)

// foreignExchange is the exchange ID of an answer that belongs to another request.
const foreignExchange = "00000000000000000000000000000bad"

// shutdownTimeout is how long Close waits for requests in flight.
const shutdownTimeout = time.Second

// Config configures one page service replica.
type Config struct {
	Name    string
	Service string
	Zone    string
	Address string // IP:port; port 0 selects a free port
	// ServiceTime is the time that one request takes.
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
	// frozenUntil is the time at which a freeze ends.
	frozenUntil time.Time
}

// Start starts a replica and returns once it listens.
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

// Address returns the IP:port that the replica listens on.
func (s *Service) Address() string { return s.address }

// Name returns the replica's name in the machine list.
func (s *Service) Name() string { return s.config.Name }

// Config returns the configuration that the replica was started with.
func (s *Service) Config() Config { return s.config }

// Faults returns the faults that are set.
func (s *Service) Faults() *fault.Set { return s.faults }

// Restart starts the replica again after a Crash; it does nothing while the replica runs.
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

// Crash resets every connection and stops listening. The counts survive: hazelbench reads
// them over all crashes.
func (s *Service) Crash() {
	if server := s.detachServer(); server != nil {
		server.Crash()
	}
}

// Close stops the replica; requests in flight have shutdownTimeout to finish.
func (s *Service) Close() {
	if server := s.detachServer(); server != nil {
		_ = server.Close(shutdownTimeout) // Close resets the remaining connections in any case
	}
}

func (s *Service) detachServer() *crashable.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server := s.server
	s.server = nil
	return server
}

// Freeze delays every answer until pause has passed, as a suspended process does.
func (s *Service) Freeze(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozenUntil = time.Now().Add(pause)
}

// StartLeaving makes the replica refuse new work until it is closed.
func (s *Service) StartLeaving() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// Runs reports what the replica has executed since its first start.
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
