package control

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/formats/formerbuild"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

// rebuild ends a controller and starts it again later as the other build, on the disk as the one before left it.
func (w *world) rebuild(controller *testController, away time.Duration) {
	w.crash(controller.name)
	controller.translator = formerbuild.New()
	controller.former = !controller.former
	w.after(away, func() { w.start(controller.name) })
}

// mixedBuilds is a world whose controllers are replaced by the other build and back under faults.
type mixedBuilds struct {
	*world
	random *rand.Rand
	// number is that of the last document that was sent, acknowledged of the newest that was acknowledged.
	number, acknowledged uint64
	sent                 map[CallID]uint64
	// states are those of controllers of the new build by what they have applied.
	states map[appliedBy][]byte
	ends   uint64
}

func newMixedBuilds(t *testing.T, seed uint64) *mixedBuilds {
	w := newWorld(t, 5, func(config *Config) { config.SnapshotEntries = 25 })
	m := &mixedBuilds{world: w, random: rand.New(rand.NewPCG(seed, 9)), sent: map[CallID]uint64{}, states: map[appliedBy][]byte{}}
	for _, name := range w.names {
		if seed%2 == 0 { // every second one is an upgrade
			w.rebuild(w.controllers[name], 0)
		}
	}
	return m
}

// strike does one thing to one controller, while the others are a quorum.
func (m *mixedBuilds) strike() {
	for _, each := range m.controllers {
		if each.core == nil || each.cut {
			return // one at a time: the rest goes on
		}
	}
	controller := m.controllers[m.names[m.random.IntN(len(m.names))]]
	away := time.Duration(m.random.Int64N(int64(time.Second)))
	switch m.random.IntN(6) {
	case 0:
		m.restart(controller)
	case 1:
		controller.cut = true
		m.after(away, func() { controller.cut = false })
	default:
		m.rebuild(controller, away)
	}
}

// send puts a document, or tells of an ended replica, at a controller.
func (m *mixedBuilds) tell() {
	controller := m.controllers[m.names[m.random.IntN(len(m.names))]]
	if controller.core == nil {
		return
	}
	if m.random.IntN(2) == 0 {
		m.ends++
		signature := quarantine.SignatureOf("", "", "", []byte{byte(m.ends / 3)})
		ends := []*v1.ReplicaEnd{{Signature: signature[:], Replica: m.ends}}
		m.send(controller, func(id CallID) Input { return ReplicaCrashesReceived{Call: id, Crashes: ends} })
		return
	}
	m.number++
	document := &v1.Document{Number: m.number, Content: []byte(fmt.Sprint("content ", m.number))}
	m.sent[m.send(controller, func(id CallID) Input { return PutDocumentReceived{Call: id, Document: document} })] = m.number
}

// appliedBy is the log index that a state has applied, and that of its agreement; 0 for what is of the first format.
type appliedBy struct{ index, agreedAt uint64 }

// compare holds a state against those of other controllers that have applied the same.
func (m *mixedBuilds) compare(name string, applied appliedBy, state []byte) {
	if known, seen := m.states[applied]; seen {
		require.True(m.t, bytes.Equal(known, state), "%s holds another state by %v than another controller of its build", name, applied)
	}
	m.states[applied] = state
}

// look checks what holds at any moment.
func (m *mixedBuilds) look() {
	for call, number := range m.sent {
		if answer, answered := m.answers[call]; answered && answer.Err == nil {
			m.acknowledged = max(m.acknowledged, number)
		}
	}
	for _, controller := range m.controllers {
		if controller.core == nil || controller.former {
			continue
		}
		require.False(m.t, controller.core.halted, controller.name)
		state := controller.core.State()
		whole, err := state.Snapshot()
		require.NoError(m.t, err)
		former, err := formerbuild.StripState(whole)
		require.NoError(m.t, err)
		m.compare(controller.name, appliedBy{index: state.AppliedIndex()}, former)
		if !state.IsMissingAgreedState() {
			m.compare(controller.name, appliedBy{index: state.AppliedIndex(), agreedAt: state.AgreementIndex()}, whole)
		}
	}
	if leader := m.leader(); leader != nil && leader.core.canAnswerAsLeader() {
		require.GreaterOrEqual(m.t, leader.core.State().Document().GetNumber(), m.acknowledged, "what was acknowledged is in force")
	}
}

// Controllers of two builds vote together while they are replaced in any order, forward and back, killed and cut off:
// those of the new build never hold different states at the same entry, none halts, what was acknowledged stays, and
// once all are of the new build its commands take effect at all of them.
func TestControllersOfTwoBuildsHoldOneState(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newMixedBuilds(t, seed)
			m.waitLeader()
			for range 400 {
				m.run(time.Duration(m.random.Int64N(int64(100 * time.Millisecond))))
				m.tell()
				if m.random.IntN(12) == 0 {
					m.strike()
				}
				m.look()
			}
			m.run(3 * time.Second)
			for _, name := range m.names {
				if controller := m.controllers[name]; controller.former {
					m.rebuild(controller, 100*time.Millisecond)
					m.run(2 * time.Second)
					m.look()
				}
			}
			m.waitAgreement()
			m.run(2 * time.Second)
			m.look()
			for _, name := range m.names {
				require.Equal(t, formats.Newest, m.controllers[name].core.State().AgreedFormat(), name)
				require.GreaterOrEqual(t, m.controllers[name].core.State().Document().GetNumber(), m.acknowledged)
			}
		})
	}
}

// A controller whose state was written while it was of the former build lacks what the others have agreed on since before,
// and nobody has heard of it as that build. It finds out by the next entry, and all agree anew.
func TestAStateThatLacksTheAgreementIsMadeWhole(t *testing.T) {
	w := newWorld(t, 3, func(config *Config) { config.SnapshotEntries = 10 })
	w.waitAgreement()
	leader := w.leader()
	w.holdRequest()
	for number := uint64(1); number <= 30; number++ {
		require.NoError(t, w.putDocument(leader, number, "content").Err)
	}
	w.run(time.Second)
	lacking := w.controllers[w.names[0]]
	if lacking == leader {
		lacking = w.controllers[w.names[1]]
	}
	agreedAt := leader.core.State().AgreementIndex()
	w.crash(lacking.name)
	lacking.disk.Snapshot, _ = formerbuild.StripSnapshot(leader.disk.Snapshot)
	lacking.disk.Entries = slices.Clone(leader.disk.Entries)
	w.start(lacking.name)
	w.run(time.Second)
	require.NoError(t, w.putDocument(leader, 31, "content").Err)
	w.until("another agreement", func() bool {
		state := lacking.core.State()
		return !state.IsMissingAgreedState() && state.AgreedFormat() == formats.Newest && state.AgreementIndex() > agreedAt
	})
	w.run(time.Second)
	theirs, err := leader.core.State().Snapshot()
	require.NoError(t, err)
	mine, err := lacking.core.State().Snapshot()
	require.NoError(t, err)
	require.Equal(t, theirs, mine)
	require.Len(t, w.toldHeld(), 1, "what was held is held")
}

// A controller that meets an entry of a newer build does not go on without it, and leaves its disk as it is.
func TestAControllerHaltsAtAnEntryOfANewerBuild(t *testing.T) {
	w := newWorld(t, 3, nil)
	leader := w.waitLeader()
	require.NoError(t, w.putDocument(leader, 1, "content").Err)
	unknown := &v1.Command{}
	unknown.ProtoReflect().SetUnknown([]byte{0xfa, 0x7f, 0x02, 0x08, 0x01}) // field 2047 with a message
	data, err := proto.Marshal(unknown)
	require.NoError(t, err)
	before := leader.core.State().AppliedIndex()
	_, _, err = leader.core.consensus.Propose(w.now, data)
	require.NoError(t, err)
	w.run(time.Second)
	for _, name := range w.names {
		require.True(t, w.controllers[name].core.halted, name)
		require.Equal(t, uint64(1), w.controllers[name].core.State().Document().GetNumber())
		require.Equal(t, before+1, w.controllers[name].core.State().AppliedIndex())
	}
}
