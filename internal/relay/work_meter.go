package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// workMeter sums the time that requests keep prefill and decoding engines busy, by
// service, for the plan of the engines' stages. It is safe for concurrent use.
type workMeter struct {
	mutex    sync.Mutex
	since    time.Duration
	services map[string]*serviceWork
	reported []*v1.RoleDemand
}

// serviceWork is the engine time of one service in the window that runs.
type serviceWork struct{ prefill, decode time.Duration }

// workWindow is the time over which work is summed.
const workWindow = time.Second

func newWorkMeter() *workMeter { return &workMeter{services: map[string]*serviceWork{}} }

// add notes engine time of a service.
func (m *workMeter) add(service string, prefill, decode time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	work := m.services[service]
	if work == nil {
		work = &serviceWork{}
		m.services[service] = work
	}
	work.prefill += prefill
	work.decode += decode
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
	for service, work := range m.services {
		m.reported = append(m.reported, &v1.RoleDemand{
			Service: service, WindowMs: uint32(window.Milliseconds()),
			PrefillMs: uint64(work.prefill.Milliseconds()), DecodeMs: uint64(work.decode.Milliseconds()),
		})
		*work = serviceWork{}
	}
	slices.SortFunc(m.reported, func(a, b *v1.RoleDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	m.since = now
	return m.reported
}
