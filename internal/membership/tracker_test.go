package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

const (
	serving  = v1.BackEndState_BACK_END_STATE_SERVING
	changing = v1.BackEndState_BACK_END_STATE_CHANGING
	leaving  = v1.BackEndState_BACK_END_STATE_LEAVING
	gone     = v1.BackEndState_BACK_END_STATE_UNSPECIFIED
)

// platform is the machine list and the engines behind it.
type platform struct {
	tracker       *Tracker
	now           time.Duration
	list          enginecontract.MachineList
	states        map[string]*enginecontract.EngineState // a nil state means that the engine does not answer
	listAvailable bool
}

func newPlatform(config Config, machines ...enginecontract.Machine) *platform {
	p := &platform{tracker: New(config), states: map[string]*enginecontract.EngineState{}, listAvailable: true}
	p.list = enginecontract.MachineList{Version: 1, Machines: machines}
	for _, machine := range machines {
		p.states[machine.Name] = &enginecontract.EngineState{
			Engine: machine.Name, Service: machine.Service, Zone: machine.Zone, Incarnation: 1,
			State: enginecontract.StateServing, Role: enginecontract.RoleMixed,
		}
	}
	return p
}

func engineRow(name, service, zone string) enginecontract.Machine {
	return enginecontract.Machine{Name: name, Service: service, Zone: zone, Address: "127.0.0.1:1", State: enginecontract.StateServing}
}

// run advances the time; the list is read every second, polls are answered at once.
func (p *platform) run(span time.Duration) {
	for end := p.now + span; p.now < end; p.now += 50 * time.Millisecond {
		if p.listAvailable && p.now%time.Second == 0 {
			p.tracker.ApplyList(p.now, p.list)
		}
		for _, poll := range p.tracker.DuePolls(p.now) {
			var answer *enginecontract.EngineState
			var load *enginecontract.LoadReport
			if state := p.states[poll.Name]; state != nil {
				copied := *state
				answer = &copied
				load = &enginecontract.LoadReport{Engine: poll.Name, Incarnation: copied.Incarnation, AgeMs: 100}
			}
			p.tracker.RecordPollAnswer(p.now, poll.Name, answer, load)
		}
		p.tracker.RemoveGone(p.now)
	}
}

func (p *platform) stateOf(name string) v1.BackEndState { return p.tracker.BackEndState(p.now, name) }

// TestLeavingBackEndIsOutWithinTheBound makes a back end leave while the list and its answers lag or are
// lost, and checks the bounds of the package documentation.
func TestLeavingBackEndIsOutWithinTheBound(t *testing.T) {
	cases := []struct {
		name    string
		service string
		leave   func(*platform)
		within  time.Duration
		state   v1.BackEndState
	}{
		{"leaving, reported by the engine", "engines", func(p *platform) { p.states["x"].State = enginecontract.StateLeaving }, DefaultPollInterval, leaving},
		{"draining, reported by the engine", "engines", func(p *platform) { p.states["x"].State = enginecontract.StateDraining }, DefaultPollInterval, changing},
		{"leaving, marked in the list", "engines", func(p *platform) {
			p.list.Version++
			p.list.Machines[0].State = enginecontract.StateLeaving
		}, time.Second, leaving},
		{"falls silent while listed as serving", "engines", func(p *platform) { p.states["x"] = nil }, DefaultMaximumStateAge, changing},
		{"page service, marked in the list", "pages", func(p *platform) {
			p.list.Version++
			p.list.Machines[0].State = enginecontract.StateLeaving
		}, time.Second, leaving},
		{"page service without a current list", "pages", func(p *platform) { p.listAvailable = false }, DefaultMaximumStateAge, changing},
		{"unlisted and silent", "engines", func(p *platform) {
			p.states["x"] = nil
			p.list.Version++
			p.list.Machines = p.list.Machines[1:]
		}, DefaultRemoveAfter, gone},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			p := newPlatform(Config{}, engineRow("x", test.service, "zone-a"),
				engineRow("y", "engines", "zone-a"), engineRow("z", "engines", "zone-a"))
			p.tracker.SetPageServices(map[string]bool{"pages": true})
			p.run(5 * time.Second)
			require.Equal(t, serving, p.stateOf("x"))
			test.leave(p)
			p.run(test.within + 150*time.Millisecond)
			require.Equal(t, test.state, p.stateOf("x"))
		})
	}
}

func TestReappearingMachine(t *testing.T) {
	p := newPlatform(Config{}, engineRow("x", "engines", "zone-a"), engineRow("y", "engines", "zone-a"))
	p.run(3 * time.Second)
	p.states["x"].Incarnation = 2
	p.run(2 * time.Second)
	require.Equal(t, uint64(2), p.tracker.Machine("x").State.Incarnation)
	require.False(t, p.tracker.RecordState("x", p.now, &enginecontract.EngineState{
		Engine: "x", Incarnation: 1, State: enginecontract.StateServing}), "a late report of the older process")
	require.False(t, p.tracker.RecordState("x", p.now, &enginecontract.EngineState{Engine: "y", Incarnation: 9}), "an answer of another engine")
	p.states["x"] = nil
	p.list.Version++
	p.list.Machines[0].Address = "127.0.0.2:1"
	p.run(1100 * time.Millisecond)
	require.Equal(t, changing, p.stateOf("x"), "the new machine under this name has not answered yet")
	require.Nil(t, p.tracker.Machine("x").Load)
}

func TestListVersions(t *testing.T) {
	tracker := New(Config{})
	list := func(version uint64) enginecontract.MachineList {
		return enginecontract.MachineList{Version: version, Machines: []enginecontract.Machine{engineRow("x", "s", "z")}}
	}
	require.True(t, tracker.ApplyList(0, list(5)))
	require.False(t, tracker.ApplyList(time.Second, list(4)), "a late copy")
	require.True(t, tracker.ApplyList(2*time.Second, list(5)))
	require.True(t, tracker.ApplyList(2*time.Second+DefaultListResetAfter, list(1)), "the platform has restarted its version numbers")
}

// TestDirectoryWhenMostEnginesAreSilent checks that the directory leaves the state of silent engines
// unspecified when most engines are silent, and still reports those that answer.
func TestDirectoryWhenMostEnginesAreSilent(t *testing.T) {
	p := newPlatform(Config{}, engineRow("x", "s", "z"), engineRow("y", "s", "z"), engineRow("w", "s", "z"))
	_, credible := p.tracker.Directory(p.now, "z")
	require.False(t, credible, "before the first list")
	p.run(3 * time.Second)
	directory, credible := p.tracker.Directory(p.now, "z")
	require.True(t, credible)
	require.Len(t, directory.BackEnds(p.now), 3)
	require.LessOrEqual(t, directory.Age, DefaultPollInterval)
	p.states["x"] = nil
	p.run(4 * time.Second)
	states := func() map[string]v1.BackEndState {
		directory, credible := p.tracker.Directory(p.now, "z")
		require.True(t, credible)
		require.LessOrEqual(t, directory.Age, DefaultPollInterval, "age of the engines that answer")
		states := map[string]v1.BackEndState{}
		for _, backEnd := range directory.BackEnds(p.now) {
			states[backEnd.Name] = backEnd.State
		}
		return states
	}
	const serving, changing, unspecified = v1.BackEndState_BACK_END_STATE_SERVING, v1.BackEndState_BACK_END_STATE_CHANGING, v1.BackEndState_BACK_END_STATE_UNSPECIFIED
	require.Equal(t, map[string]v1.BackEndState{"x": changing, "y": serving, "w": serving}, states(), "one of three is silent")
	p.states["y"] = nil
	p.run(4 * time.Second)
	require.Equal(t, map[string]v1.BackEndState{"x": unspecified, "y": unspecified, "w": serving}, states(), "two of three are silent")
	p.list.Version++
	p.list.Machines[0].State = enginecontract.StateLeaving
	p.run(1100 * time.Millisecond)
	require.Equal(t, v1.BackEndState_BACK_END_STATE_LEAVING, states()["x"], "the list marks it as leaving")
}

func TestDirectoryVersionIsEqualForEqualBackEnds(t *testing.T) {
	one := newPlatform(Config{}, engineRow("x", "s", "z"), engineRow("y", "s", "z"))
	two := newPlatform(Config{}, engineRow("y", "s", "z"), engineRow("x", "s", "z"))
	one.run(3 * time.Second)
	two.run(7 * time.Second)
	first, _ := one.tracker.Directory(one.now, "z")
	second, _ := two.tracker.Directory(two.now, "z")
	require.Equal(t, first.Version, second.Version, "two controllers with the same back ends")
	one.states["x"].Role = enginecontract.RoleDecode
	one.run(2 * time.Second)
	changed, _ := one.tracker.Directory(one.now, "z")
	require.NotEqual(t, first.Version, changed.Version)
}

func TestSubsetIsBoundedSharedAndFair(t *testing.T) {
	const zones, perZone = 10, 40
	var machines []enginecontract.Machine
	for zone := range zones {
		for i := range perZone {
			machines = append(machines, engineRow(fmt.Sprintf("engine-%d-%d", zone, i), "s", fmt.Sprint("zone-", zone)))
		}
	}
	p := newPlatform(Config{MaximumPerService: 60}, machines...)
	for i, machine := range machines {
		if i%4 == 0 {
			p.states[machine.Name].Role = enginecontract.RolePrefill
		}
	}
	p.run(3 * time.Second)
	uses := map[string]int{}
	for zone := range zones {
		directory, credible := p.tracker.Directory(p.now, fmt.Sprint("zone-", zone))
		require.True(t, credible)
		require.LessOrEqual(t, len(directory.BackEnds(p.now)), 60)
		local, prefill := 0, 0
		for _, backEnd := range directory.BackEnds(p.now) {
			uses[backEnd.Name]++
			if backEnd.Zone == fmt.Sprint("zone-", zone) {
				local++
			}
			if backEnd.Role == v1.Role_ROLE_PREFILL {
				prefill++
			}
		}
		require.Equal(t, perZone, local, "all engines of the zone must be chosen first")
		require.Equal(t, 15, prefill, "each role must be chosen in proportion")
		again, _ := p.tracker.Directory(p.now, fmt.Sprint("zone-", zone))
		require.Equal(t, directory.Version, again.Version)
	}
	foreign := 0
	for _, count := range uses {
		require.LessOrEqual(t, count, 6, "no engine may be in far more subsets than the others")
		foreign += count - 1
	}
	require.Equal(t, zones*(60-perZone), foreign)
}

func TestGateways(t *testing.T) {
	tracker := New(Config{})
	identity := func(name string, incarnation uint64) *v1.NodeIdentity {
		return &v1.NodeIdentity{Name: name, Zone: "z", Incarnation: incarnation}
	}
	tracker.RecordHeartbeat(0, identity("a", 2), 7, false)
	tracker.RecordHeartbeat(time.Second, identity("a", 1), 9, false)
	require.Equal(t, uint64(7), tracker.Gateways()[0].Revision, "a late heartbeat of an older process must be ignored")
	require.True(t, tracker.IsGatewayGone(time.Second, 0, "a", 1), "a newer incarnation has the same name")
	require.False(t, tracker.IsGatewayGone(time.Second, 0, "a", 2))
	require.True(t, tracker.IsGatewayGone(DefaultGatewayTimeout+time.Second, 0, "a", 2))
	require.False(t, tracker.IsGatewayGone(DefaultGatewayTimeout+time.Second, 5*time.Second, "a", 2), "a new leader must wait for the whole timeout")
	require.True(t, tracker.IsGatewayGone(DefaultGatewayTimeout+time.Second, 0, "never heard of", 1))
	for i := range MaximumGateways + 5 {
		tracker.RecordHeartbeat(time.Duration(i)*time.Millisecond, identity(fmt.Sprint("g", i), 1), 1, false)
	}
	require.Len(t, tracker.Gateways(), MaximumGateways)
}

// BenchmarkDirectory measures the cost of refreshing a zone's directory for fleets of several sizes.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []int{93, 465, 930} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			var machines []enginecontract.Machine
			for i := range size {
				machines = append(machines, engineRow(fmt.Sprint("engine-", i), fmt.Sprint("service-", i%24), fmt.Sprint("zone-", i%10)))
			}
			p := newPlatform(Config{}, machines...)
			p.run(3 * time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				// Each call comes too late to reuse the previous directory.
				now := p.now + time.Duration(i%2)*2*DefaultDirectoryCacheTime
				p.tracker.Directory(now, "zone-1")
			}
		})
	}
}
