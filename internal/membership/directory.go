package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// Directory is what a gateway of a zone uses.
type Directory struct {
	// Version is equal for equal back ends, loads apart.
	Version uint64
	// Age is the greatest age of the readings behind the serving back ends.
	Age time.Duration

	tracker  *Tracker
	machines []*Machine
}

// zoneDirectory is a directory that is used again for a short time.
type zoneDirectory struct {
	directory Directory
	madeAt    time.Duration
	// shape is the tracker's when the machines were chosen.
	shape uint64
}

// Directory returns the back ends for the gateways of a zone. It reports false while
// this controller's readings are not good enough to say anything: before every
// machine was polled once. When fewer than half of the engines answer, that tells more
// about this controller's network than about the silent ones, whose state is then
// unspecified; those that answer are told of all the same, so that a region which is cut
// off goes on with its own.
func (t *Tracker) Directory(now time.Duration, zone string) (Directory, bool) {
	if !t.polled(now) {
		return Directory{Age: math.MaxInt64}, false
	}
	cached := t.directories[zone]
	if cached == nil || cached.shape != t.shape {
		cached = &zoneDirectory{directory: Directory{tracker: t, machines: t.chosen(zone)}, shape: t.shape}
		t.directories[zone] = cached
		t.describe(now, cached)
	} else if now-cached.madeAt > t.config.DirectoryCacheTime || now < cached.madeAt {
		t.describe(now, cached)
	}
	directory := cached.directory
	directory.Age += now - cached.madeAt
	return directory, true
}

// BackEnds describes the back ends with their loads as they are known now.
func (d Directory) BackEnds(now time.Duration) []*v1.BackEnd {
	backEnds := make([]*v1.BackEnd, len(d.machines))
	for position, machine := range d.machines {
		backEnds[position] = machine.backEnd(machine.described.state)
		if machine.Load != nil {
			backEnds[position].Load = loadOf(machine.Load)
			backEnds[position].LoadAgeMs = uint32(min(machine.LoadAge(now).Milliseconds(), math.MaxUint32))
		}
	}
	return backEnds
}

// polled reports whether every machine of the first list was polled.
func (t *Tracker) polled(now time.Duration) bool {
	return t.listed && now-t.firstListAt >= t.config.PollInterval+t.config.PollInterval/2
}

// hearsFew reports whether fewer than half of the engines answer this controller.
func (t *Tracker) hearsFew(now time.Duration) bool {
	engines, answering := 0, 0
	for _, machine := range t.machines {
		if machine.page || !machine.Listed {
			continue
		}
		engines++
		if !machine.silent(now, t.config.MaximumStateAge) {
			answering++
		}
	}
	return 2*answering < engines
}

// chosen lists the machines of a zone's directory, the services by name.
func (t *Tracker) chosen(zone string) []*Machine {
	var machines []*Machine
	for _, service := range t.services() {
		machines = append(machines, t.subset(service, zone)...)
	}
	return machines
}

// describe brings version and age of a zone's directory up to now.
func (t *Tracker) describe(now time.Duration, cached *zoneDirectory) {
	directory := &cached.directory
	directory.Age = 0
	digest := xxhash.New()
	var buffer [8]byte
	hearsFew := t.hearsFew(now)
	for _, machine := range directory.machines {
		state, age := machine.backEndState(now, t.listAt, t.config.MaximumStateAge)
		if hearsFew && state == v1.BackEndState_BACK_END_STATE_CHANGING && machine.silent(now, t.config.MaximumStateAge) {
			state = v1.BackEndState_BACK_END_STATE_UNSPECIFIED
		}
		binary.BigEndian.PutUint64(buffer[:], machine.describe(state))
		_, _ = digest.Write(buffer[:]) // never fails, by its documentation
		directory.Age = max(directory.Age, age)
	}
	directory.Version = max(digest.Sum64(), 1) // 0 means that a gateway has no directory
	cached.madeAt = now
}

// services lists the machines by service, the services by name.
func (t *Tracker) services() [][]*Machine {
	grouped := map[string][]*Machine{}
	var names []string
	for _, name := range t.names {
		machine := t.machines[name]
		service := machine.Row.Service
		if grouped[service] == nil {
			names = append(names, service)
		}
		grouped[service] = append(grouped[service], machine)
	}
	slices.Sort(names)
	services := make([][]*Machine, len(names))
	for i, name := range names {
		services[i] = grouped[name]
	}
	return services
}

// subset cuts a service's machines to the bound: the zone's own first, then those of
// other zones as rendezvous hashing spreads them, each role in proportion. The result
// has at most PerService machines, or a few more so that each role has PerRole.
func (t *Tracker) subset(machines []*Machine, zone string) []*Machine {
	if len(machines) <= t.config.MaximumPerService {
		return machines
	}
	byRole := map[enginecontract.Role][]*Machine{}
	for _, machine := range machines {
		role := machine.role()
		byRole[role] = append(byRole[role], machine)
	}
	var chosen []*Machine
	for _, role := range []enginecontract.Role{"", enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleMixed} {
		ranked := rank(byRole[role], zone)
		quota := max(len(ranked)*t.config.MaximumPerService/len(machines), t.config.MinimumPerRole)
		chosen = append(chosen, ranked[:min(quota, len(ranked))]...)
	}
	slices.SortFunc(chosen, func(a, b *Machine) int { return cmp.Compare(a.Row.Name, b.Row.Name) })
	return chosen
}

// role is the machine's role by its own word; "" when it has none.
func (m *Machine) role() enginecontract.Role {
	if m.State == nil {
		return ""
	}
	return m.State.Role
}

// rank orders machines for a zone: its own first, then by rendezvous weight.
func rank(machines []*Machine, zone string) []*Machine {
	ranked := slices.Clone(machines)
	slices.SortFunc(ranked, func(a, b *Machine) int {
		if own := compareBool(a.Row.Zone == zone, b.Row.Zone == zone); own != 0 {
			return own
		}
		left, right := weight(zone, a.Row.Name), weight(zone, b.Row.Name)
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(a.Row.Name, b.Row.Name))
	})
	return ranked
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// weight is the rendezvous weight of a machine for a zone.
func weight(zone, name string) uint64 {
	return xxhash.Sum64String(zone + "\x00" + name)
}

// BackEndState is what gateways are told of a machine.
func (t *Tracker) BackEndState(now time.Duration, name string) v1.BackEndState {
	machine := t.machines[name]
	if machine == nil {
		return v1.BackEndState_BACK_END_STATE_UNSPECIFIED
	}
	state, _ := machine.backEndState(now, t.listAt, t.config.MaximumStateAge)
	return state
}

func loadOf(load *enginecontract.LoadReport) *v1.BackEndLoad {
	return &v1.BackEndLoad{
		Running: uint32(max(load.Running, 0)), Waiting: uint32(max(load.Waiting, 0)),
		WaitingPromptTokens: uint64(max(load.WaitingPromptTokens, 0)),
		RunningOutputTokens: uint64(max(load.RunningOutputTokens, 0)),
		KvCacheUsed:         load.KVCacheUsed,
	}
}

// BackEndLoad is the machine's last load report in the internal protocol; nil when
// there is none.
func (m *Machine) BackEndLoad() *v1.BackEndLoad {
	if m.Load == nil {
		return nil
	}
	return loadOf(m.Load)
}
