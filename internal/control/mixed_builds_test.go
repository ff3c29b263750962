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

// rebuild stops a controller and starts it again later as the other build, with the disk of the previous build.
func (w *testCluster) rebuild(controller *testController, away time.Duration) {
	w.crash(controller.name)
	controller.translator = formerbuild.New(controller.formerFormat)
	controller.isFormer = !controller.isFormer
	w.after(away, func() { w.start(controller.name) })
}

// mixedBuilds is a cluster whose controllers are upgraded and downgraded under faults.
type mixedBuilds struct {
	*testCluster
	random *rand.Rand
	// number is that of the last document sent; acknowledged is the highest acknowledged number.
	number, acknowledged uint64
	sent                 map[CallID]uint64
	// states are the states of controllers of the new build, by the log indexes that they have applied.
	states  map[appliedIndexes][]byte
	crashes uint64
}

// newMixedBuilds returns a cluster whose controllers are replaced by those of a former format and back.
func newMixedBuilds(t *testing.T, seed uint64, former formats.Number) *mixedBuilds {
	w := newTestCluster(t, 5, func(config *Config) { config.SnapshotEntries = 25 })
	m := &mixedBuilds{testCluster: w, random: rand.New(rand.NewPCG(seed, 9)), sent: map[CallID]uint64{}, states: map[appliedIndexes][]byte{}}
	for _, name := range w.names {
		w.controllers[name].formerFormat = former
		if seed%2 == 0 { // half of the seeds start with the former build
			w.rebuild(w.controllers[name], 0)
		}
	}
	return m
}

// injectFault disturbs one controller, while the others are a quorum.
func (m *mixedBuilds) injectFault() {
	for _, each := range m.controllers {
		if each.core == nil || each.cut {
			return // one fault at a time, so that the others can go on
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

// sendInput sends a document or a report of a crashed replica to a controller.
func (m *mixedBuilds) sendInput() {
	controller := m.controllers[m.names[m.random.IntN(len(m.names))]]
	if controller.core == nil {
		return
	}
	if m.random.IntN(2) == 0 {
		m.crashes++
		signature := quarantine.SignatureOf("", "", "", []byte{byte(m.crashes / 3)})
		crashes := []*v1.ReplicaEnd{{Signature: signature[:], Replica: m.crashes}}
		m.send(controller, func(id CallID) Input { return ReplicaCrashesReceived{Call: id, Crashes: crashes} })
		return
	}
	m.number++
	document := &v1.Document{Number: m.number, Content: []byte(fmt.Sprint("content ", m.number))}
	m.sent[m.send(controller, func(id CallID) Input { return PutDocumentReceived{Call: id, Document: document} })] = m.number
}

// appliedIndexes are the log index that a state has applied and that of its agreement; agreedAt is 0 for first-format
// state.
type appliedIndexes struct{ index, agreedAt uint64 }

// compare checks that controllers that have applied the same entries have the same state.
func (m *mixedBuilds) compare(name string, applied appliedIndexes, state []byte) {
	if known, seen := m.states[applied]; seen {
		require.True(m.t, bytes.Equal(known, state), "%s holds a different state at %v than another controller of its build", name, applied)
	}
	m.states[applied] = state
}

// checkInvariants checks what must hold at any time.
func (m *mixedBuilds) checkInvariants() {
	for call, number := range m.sent {
		if answer, answered := m.answers[call]; answered && answer.Err == nil {
			m.acknowledged = max(m.acknowledged, number)
		}
	}
	for _, controller := range m.controllers {
		if controller.core == nil || controller.isFormer {
			continue
		}
		require.False(m.t, controller.core.halted, controller.name)
		state := controller.core.State()
		snapshot, err := state.Snapshot()
		require.NoError(m.t, err)
		former, err := formerbuild.StripState(snapshot)
		require.NoError(m.t, err)
		m.compare(controller.name, appliedIndexes{index: state.AppliedIndex()}, former)
		if !state.IsMissingAgreedState() {
			m.compare(controller.name, appliedIndexes{index: state.AppliedIndex(), agreedAt: state.AgreementIndex()}, snapshot)
		}
	}
	if leader := m.leader(); leader != nil && leader.core.canAnswerAsLeader() {
		require.GreaterOrEqual(m.t, leader.core.State().Document().GetNumber(), m.acknowledged, "an acknowledged document is in force")
	}
}

// Controllers of two builds vote together while they are upgraded and downgraded in any order, killed and cut off.
// Those of the new build must never hold different states at the same entry, none may halt, and acknowledged
// documents must stay in force. Once all are of the new build, its commands must take effect at all of them.
func TestControllersOfTwoBuildsHoldOneState(t *testing.T) {
	testMixedBuilds(t, formats.First)
}

// The same beside controllers of the second format, which know agreements: they halted on an agreement on a later format.
func TestControllersOfTheSecondFormatHoldOneState(t *testing.T) {
	testMixedBuilds(t, formats.Second)
}

func testMixedBuilds(t *testing.T, former formats.Number) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newMixedBuilds(t, seed, former)
			m.waitLeader()
			for range 400 {
				m.run(time.Duration(m.random.Int64N(int64(100 * time.Millisecond))))
				m.sendInput()
				if m.random.IntN(12) == 0 {
					m.injectFault()
				}
				m.checkInvariants()
			}
			m.run(3 * time.Second)
			for _, name := range m.names {
				if controller := m.controllers[name]; controller.isFormer {
					m.rebuild(controller, 100*time.Millisecond)
					m.run(2 * time.Second)
					m.checkInvariants()
				}
			}
			m.waitAgreement()
			m.run(2 * time.Second)
			m.checkInvariants()
			for _, name := range m.names {
				require.Equal(t, formats.NewestStored, m.controllers[name].core.State().AgreedFormat(), name)
				require.GreaterOrEqual(t, m.controllers[name].core.State().Document().GetNumber(), m.acknowledged)
			}
		})
	}
}

// A controller whose state was written while it ran the former build, which no other controller noticed, is missing state
// that the others had agreed on. It detects this with the next entry, and a new agreement follows.
func TestAStateThatLacksTheAgreementIsMadeWhole(t *testing.T) {
	w := newTestCluster(t, 3, func(config *Config) { config.SnapshotEntries = 10 })
	w.waitAgreement()
	leader := w.leader()
	w.quarantineRequest()
	for number := uint64(1); number <= 30; number++ {
		require.NoError(t, w.putDocument(leader, number, "content").Err)
	}
	w.run(time.Second)
	outdated := w.controllers[w.names[0]]
	if outdated == leader {
		outdated = w.controllers[w.names[1]]
	}
	agreedAt := leader.core.State().AgreementIndex()
	w.crash(outdated.name)
	outdated.disk.Snapshot, _ = formerbuild.StripSnapshot(leader.disk.Snapshot)
	outdated.disk.Entries = slices.Clone(leader.disk.Entries)
	w.start(outdated.name)
	w.run(time.Second)
	require.NoError(t, w.putDocument(leader, 31, "content").Err)
	w.until("another agreement", func() bool {
		state := outdated.core.State()
		return !state.IsMissingAgreedState() && state.AgreedFormat() == formats.NewestStored && state.AgreementIndex() > agreedAt
	})
	w.run(time.Second)
	theirs, err := leader.core.State().Snapshot()
	require.NoError(t, err)
	mine, err := outdated.core.State().Snapshot()
	require.NoError(t, err)
	require.Equal(t, theirs, mine)
	require.Len(t, w.watchQuarantined(), 1, "the request is still quarantined")
}

// A controller that cannot apply an entry of a newer build must halt and leave its disk unchanged.
func TestAControllerHaltsAtAnEntryOfANewerBuild(t *testing.T) {
	w := newTestCluster(t, 3, nil)
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
