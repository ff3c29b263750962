package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/engineroles"
)

// Directory is what a gateway of a zone uses.
type Directory struct {
	// Version is equal for equal back ends, loads apart.
	Version  uint64
	BackEnds []*v1.BackEnd
	// Age is the greatest age of the readings behind the serving back ends.
	Age time.Duration
}

// zoneDirectory is a directory that is used again for a short time.
type zoneDirectory struct {
	directory Directory
	madeAt    time.Duration
}

// Directory returns the back ends for the gateways of a zone. It reports false while
// this controller's readings are not good enough to say anything: before every
// machine was polled once, and when fewer than half of the engines answer, which
// tells more about this controller's network than about the engines.
func (t *Tracker) Directory(now time.Duration, zone string) (Directory, bool) {
	if !t.credible(now) {
		return Directory{Age: math.MaxInt64}, false
	}
	cached := t.directories[zone]
	if cached == nil || now-cached.madeAt > t.config.DirectoryLife || now < cached.madeAt {
		cached = &zoneDirectory{directory: t.makeDirectory(now, zone), madeAt: now}
		t.directories[zone] = cached
	}
	directory := cached.directory
	directory.Age += now - cached.madeAt
	return directory, true
}

// credible reports whether this controller's readings say something about the engines.
func (t *Tracker) credible(now time.Duration) bool {
	if !t.listed || now-t.firstListAt < t.config.PollInterval+t.config.PollInterval/2 {
		return false
	}
	engines, answering := 0, 0
	for _, machine := range t.machines {
		if machine.page || !machine.Listed {
			continue
		}
		engines++
		if machine.State != nil && now-machine.AnsweredAt <= t.config.Freshness {
			answering++
		}
	}
	return 2*answering >= engines
}

func (t *Tracker) makeDirectory(now time.Duration, zone string) Directory {
	directory := Directory{}
	for _, service := range t.services() {
		for _, machine := range t.subset(service, zone) {
			backEnd, age := t.backEnd(now, machine)
			directory.BackEnds = append(directory.BackEnds, backEnd)
			directory.Age = max(directory.Age, age)
		}
	}
	directory.Version = directoryVersion(directory.BackEnds)
	return directory
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
	if len(machines) <= t.config.PerService {
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
		quota := max(len(ranked)*t.config.PerService/len(machines), t.config.PerRole)
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

// backEnd describes a machine to gateways, with the age of the reading when it serves.
func (t *Tracker) backEnd(now time.Duration, machine *Machine) (*v1.BackEnd, time.Duration) {
	state, age := machine.backEndState(now, t.listAt, t.config.Freshness)
	backEnd := &v1.BackEnd{
		Name: machine.Row.Name, Service: machine.Row.Service, Zone: machine.Row.Zone,
		Address: machine.Row.Address, State: state,
	}
	if own := machine.State; own != nil {
		backEnd.Role = engineroles.FromContract(own.Role)
		backEnd.Model = own.Model
		backEnd.Version = own.Version
		backEnd.Adapters = own.Adapters
		backEnd.Incarnation = own.Incarnation
	}
	if machine.Load != nil {
		backEnd.Load = loadOf(machine.Load)
		backEnd.LoadAgeMs = uint32(min(machine.LoadAge(now).Milliseconds(), math.MaxUint32))
	}
	return backEnd, age
}

// BackEndState is what gateways are told of a machine.
func (t *Tracker) BackEndState(now time.Duration, name string) v1.BackEndState {
	machine := t.machines[name]
	if machine == nil {
		return v1.BackEndState_BACK_END_STATE_UNSPECIFIED
	}
	state, _ := machine.backEndState(now, t.listAt, t.config.Freshness)
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

// directoryVersion hashes the back ends without their loads. It is never 0, which
// means that a gateway has no directory.
func directoryVersion(backEnds []*v1.BackEnd) uint64 {
	digest := xxhash.New()
	options := proto.MarshalOptions{Deterministic: true}
	var buffer []byte
	for _, backEnd := range backEnds {
		load, age := backEnd.Load, backEnd.LoadAgeMs
		backEnd.Load, backEnd.LoadAgeMs = nil, 0
		data, err := options.MarshalAppend(buffer[:0], backEnd)
		backEnd.Load, backEnd.LoadAgeMs = load, age
		if err != nil {
			continue // names that are not UTF-8 never get this far
		}
		buffer = data
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(data)))
		digest.Write(size[:])
		digest.Write(data)
	}
	return max(digest.Sum64(), 1)
}

// BackEndLoad is the machine's last load report in the internal protocol; nil when
// there is none.
func (m *Machine) BackEndLoad() *v1.BackEndLoad {
	if m.Load == nil {
		return nil
	}
	return loadOf(m.Load)
}
