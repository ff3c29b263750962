// Package speeds holds a relay's estimates of how fast engines work. It makes internal/enginespeed safe for concurrent
// use, and asks engines for their speed that have not reported it for a while.
package speeds

import (
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/enginespeed"
)

// slowEngine is the usual time of work, relative to the average of the service's engines, above which an engine is slow: a
// run that moves to an average engine then saves more time than the transfer of its KV cache takes.
const slowEngine = 1.25

// Speeds holds the estimates for the engines of all services.
type Speeds struct {
	mutex     sync.Mutex
	byService map[string]*enginespeed.Table
}

// Estimate is what is known about the speed of one engine. The zero value means that the engines of the service do not
// report their relative time, so that their speeds are not used for decisions.
type Estimate struct {
	// Step is the usual time of one decode step.
	Step time.Duration
	// UsualTime is the time that work usually takes at the engine, relative to the average of the service's engines; 0 if
	// the engine has reported nothing.
	UsualTime float64
	// Slowdown is how much longer work takes at the engine now than usually there, and Peak how much longer it takes at
	// engines of the service at times.
	Slowdown, Peak float64
}

// New returns Speeds without observations.
func New() *Speeds { return &Speeds{byService: map[string]*enginespeed.Table{}} }

// ObserveReport records the relative time that an engine of a service reports; see enginespeed.Table.
func (s *Speeds) ObserveReport(now time.Duration, service string, engine uint64, relativeTime float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	if table == nil {
		table = enginespeed.NewTable()
		s.byService[service] = table
	}
	table.ObserveReport(now, engine, relativeTime)
}

// ObserveStep records the time of a decode step at an engine with a number of running streams.
func (s *Speeds) ObserveStep(now time.Duration, service string, engine uint64, step time.Duration, streams int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if table := s.byService[service]; table != nil {
		table.ObserveStep(now, engine, step, streams)
	}
}

// HasReports reports whether engines of the service report their relative time.
func (s *Speeds) HasReports(service string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	return table != nil && table.HasReports()
}

// ReportAge returns the time since the last report of an engine; false if it has never reported.
func (s *Speeds) ReportAge(now time.Duration, service string, engine uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	if table == nil {
		return 0, false
	}
	at, reported := table.ReportedAt(engine)
	return now - at, reported
}

// IsSlowedDown reports whether an engine is known to be slowed down at this moment.
func (s *Speeds) IsSlowedDown(now time.Duration, service string, engine uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	return table != nil && table.IsSlowedDown(now, engine)
}

// IsSlow reports whether work usually takes considerably longer at an engine than at others of its service.
func (s *Speeds) IsSlow(service string, engine uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	if table == nil {
		return false
	}
	usual, known := table.UsualTime(engine)
	return known && usual > slowEngine*table.AverageTime()
}

// EstimateOf returns the estimate of an engine with a number of running streams.
func (s *Speeds) EstimateOf(now time.Duration, service string, engine uint64, streams int) Estimate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	table := s.byService[service]
	if table == nil || !table.HasReports() {
		return Estimate{}
	}
	estimate := Estimate{Step: table.Step(engine, streams), Slowdown: table.Slowdown(now, engine), Peak: table.PeakSlowdown(now)}
	if usual, known := table.UsualTime(engine); known {
		estimate.UsualTime = usual / table.AverageTime()
	}
	return estimate
}

// Retain removes the engines that are not listed.
func (s *Speeds) Retain(listed func(engine uint64) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, table := range s.byService {
		table.Retain(listed)
	}
}
