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

// Directory is the set of back ends that gateways of a zone use.
type Directory struct {
	// Version is a hash of the back ends without their loads: equal sets of back ends have equal versions.
	Version uint64
	// Age is the maximum age of the readings that show back ends as serving.
	Age time.Duration

	tracker  *Tracker
	machines []*Machine
}

// cachedDirectory is a directory that is reused for DirectoryCacheTime.
type cachedDirectory struct {
	directory   Directory
	refreshedAt time.Duration
	// topologyVersion is the tracker's topologyVersion when the machines were chosen.
	topologyVersion uint64
}

// Directory returns the back ends for the gateways of a zone. It reports false until every machine of
// the first list has been polled once. When fewer than half of the engines answer, the cause is more
// likely this controller's network than the silent engines, so their state is unspecified. The directory
// still contains the engines that answer, so that a region that is cut off can use its own engines.
func (t *Tracker) Directory(now time.Duration, zone string) (Directory, bool) {
	if !t.allPolled(now) {
		return Directory{Age: math.MaxInt64}, false
	}
	cached := t.directories[zone]
	if cached == nil || cached.topologyVersion != t.topologyVersion {
		cached = &cachedDirectory{directory: Directory{tracker: t, machines: t.chooseMachines(zone)}, topologyVersion: t.topologyVersion}
		t.directories[zone] = cached
		t.refresh(now, cached)
	} else if now-cached.refreshedAt > t.config.DirectoryCacheTime || now < cached.refreshedAt {
		t.refresh(now, cached)
	}
	directory := cached.directory
	directory.Age += now - cached.refreshedAt
	return directory, true
}

// BackEnds returns the descriptions of the back ends with their current loads.
func (d Directory) BackEnds(now time.Duration) []*v1.BackEnd {
	backEnds := make([]*v1.BackEnd, len(d.machines))
	for position, machine := range d.machines {
		backEnds[position] = machine.backEnd(machine.cachedDescription.state)
		if machine.Load != nil {
			backEnds[position].Load = backEndLoad(machine.Load)
			backEnds[position].LoadAgeMs = uint32(min(machine.LoadAge(now).Milliseconds(), math.MaxUint32))
		}
	}
	return backEnds
}

// allPolled reports whether the first list arrived long enough ago that every machine of it has been polled.
func (t *Tracker) allPolled(now time.Duration) bool {
	return t.listRead && now-t.firstListAt >= t.config.PollInterval+t.config.PollInterval/2
}

// onlyMinorityAnswers reports whether fewer than half of the listed engines answer this controller.
func (t *Tracker) onlyMinorityAnswers(now time.Duration) bool {
	engines, answering := 0, 0
	for _, machine := range t.machines {
		if machine.isPageService || !machine.Listed {
			continue
		}
		engines++
		if !machine.isSilent(now, t.config.MaximumStateAge) {
			answering++
		}
	}
	return 2*answering < engines
}

// chooseMachines returns the machines of a zone's directory, ordered by service.
func (t *Tracker) chooseMachines(zone string) []*Machine {
	var machines []*Machine
	for _, service := range t.machinesByService() {
		machines = append(machines, t.subset(service, zone)...)
	}
	return machines
}

// refresh updates the version and the age of a zone's directory.
func (t *Tracker) refresh(now time.Duration, cached *cachedDirectory) {
	directory := &cached.directory
	directory.Age = 0
	digest := xxhash.New()
	var buffer [8]byte
	onlyMinorityAnswers := t.onlyMinorityAnswers(now)
	for _, machine := range directory.machines {
		state, age := machine.backEndState(now, t.listAt, t.config.MaximumStateAge)
		if onlyMinorityAnswers && state == v1.BackEndState_BACK_END_STATE_CHANGING && machine.isSilent(now, t.config.MaximumStateAge) {
			state = v1.BackEndState_BACK_END_STATE_UNSPECIFIED
		}
		binary.BigEndian.PutUint64(buffer[:], machine.descriptionDigest(state))
		_, _ = digest.Write(buffer[:]) // never fails, by its documentation
		directory.Age = max(directory.Age, age)
	}
	directory.Version = max(digest.Sum64(), 1) // 0 means that a gateway has no directory
	cached.refreshedAt = now
}

// machinesByService groups the machines by service, ordered by the name of the service.
func (t *Tracker) machinesByService() [][]*Machine {
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

// subset reduces a service's machines to the configured maximum: first those of the zone, then those of
// other zones in the order of rendezvous hashing, with each role in proportion. The result has at most
// MaximumPerService machines, or slightly more so that each role has MinimumPerRole.
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
		ranked := rankForZone(byRole[role], zone)
		quota := max(len(ranked)*t.config.MaximumPerService/len(machines), t.config.MinimumPerRole)
		chosen = append(chosen, ranked[:min(quota, len(ranked))]...)
	}
	slices.SortFunc(chosen, func(a, b *Machine) int { return cmp.Compare(a.Row.Name, b.Row.Name) })
	return chosen
}

// role returns the role that the machine reported; "" when it has none.
func (m *Machine) role() enginecontract.Role {
	if m.State == nil {
		return ""
	}
	return m.State.Role
}

// rankForZone orders machines for a zone: first the zone's machines, then by rendezvous weight.
func rankForZone(machines []*Machine, zone string) []*Machine {
	ranked := slices.Clone(machines)
	slices.SortFunc(ranked, func(a, b *Machine) int {
		if sameZone := compareTrueFirst(a.Row.Zone == zone, b.Row.Zone == zone); sameZone != 0 {
			return sameZone
		}
		left, right := rendezvousWeight(zone, a.Row.Name), rendezvousWeight(zone, b.Row.Name)
		return cmp.Or(cmp.Compare(right, left), cmp.Compare(a.Row.Name, b.Row.Name))
	})
	return ranked
}

// compareTrueFirst compares two booleans for sorting, with true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// rendezvousWeight returns the weight of a machine for a zone in rendezvous hashing.
func rendezvousWeight(zone, name string) uint64 {
	return xxhash.Sum64String(zone + "\x00" + name)
}

// BackEndState returns the state of a machine as reported to gateways.
func (t *Tracker) BackEndState(now time.Duration, name string) v1.BackEndState {
	machine := t.machines[name]
	if machine == nil {
		return v1.BackEndState_BACK_END_STATE_UNSPECIFIED
	}
	state, _ := machine.backEndState(now, t.listAt, t.config.MaximumStateAge)
	return state
}

func backEndLoad(load *enginecontract.LoadReport) *v1.BackEndLoad {
	return &v1.BackEndLoad{
		Running: uint32(max(load.Running, 0)), Waiting: uint32(max(load.Waiting, 0)),
		WaitingPromptTokens: uint64(max(load.WaitingPromptTokens, 0)),
		RunningOutputTokens: uint64(max(load.RunningOutputTokens, 0)),
		KvCacheUsed:         load.KVCacheUsed,
	}
}

// BackEndLoad returns the machine's last load report in the format of the internal protocol; nil when
// there is none.
func (m *Machine) BackEndLoad() *v1.BackEndLoad {
	if m.Load == nil {
		return nil
	}
	return backEndLoad(m.Load)
}
