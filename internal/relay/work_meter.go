package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// workMeter sums the time that requests spend at prefill and at decoding engines, by
// service, for the plan of the engines' stages. It is safe for concurrent use.
type workMeter struct {
	mutex    sync.Mutex
	since    time.Duration
	services map[string]*serviceWork
	reported []*v1.RoleDemand
}

// serviceWork integrates the numbers of requests over time.
type serviceWork struct {
	prompts, streams       int
	at                     time.Duration
	promptTime, streamTime time.Duration
}

// workWindow is the time over which work is averaged.
const workWindow = 2 * time.Second

func newWorkMeter() *workMeter { return &workMeter{services: map[string]*serviceWork{}} }

// prompt notes that a prompt's reading begins (1) or ends (-1).
func (m *workMeter) prompt(now time.Duration, service string, change int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance(now, service).prompts += change
}

// stream notes that a stream at a decoding engine begins (1) or ends (-1).
func (m *workMeter) stream(now time.Duration, service string, change int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.advance(now, service).streams += change
}

func (m *workMeter) advance(now time.Duration, service string) *serviceWork {
	work := m.services[service]
	if work == nil {
		work = &serviceWork{at: now}
		m.services[service] = work
	}
	passed := now - work.at
	work.promptTime += time.Duration(work.prompts) * passed
	work.streamTime += time.Duration(work.streams) * passed
	work.at = now
	return work
}

// report returns the work of the last whole window.
func (m *workMeter) report(now time.Duration) []*v1.RoleDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	window := now - m.since
	if window < workWindow {
		return m.reported
	}
	m.reported = nil
	for service := range m.services {
		work := m.advance(now, service)
		m.reported = append(m.reported, &v1.RoleDemand{
			Service: service, WindowMs: uint32(window.Milliseconds()),
			PrefillMs: uint64(work.promptTime.Milliseconds()), DecodeMs: uint64(work.streamTime.Milliseconds()),
		})
		work.promptTime, work.streamTime = 0, 0
	}
	slices.SortFunc(m.reported, func(a, b *v1.RoleDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	m.since = now
	return m.reported
}
