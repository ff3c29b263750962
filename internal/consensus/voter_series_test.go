package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// seriesElectionTimeout and seriesHeartbeat are the defaults of site controllers.
	seriesElectionTimeout = 400 * time.Millisecond
	seriesHeartbeat       = 80 * time.Millisecond
	// seriesCatchUp is the time after which a machine that has returned, or the successor of one that is gone, no longer
	// counts as lost.
	seriesCatchUp = 4 * time.Second
	// seriesSettle limits the time to a leader and complete voters once all faults are over.
	seriesSettle = 30 * time.Second
)

// seriesMachine is one machine of a series: a process with a disk, at an address of its own.
type seriesMachine struct {
	name string
	disk string
	// diskLost is true from the loss of the machine's disk until its new disk, or its successor's, has had the time to
	// catch up. A machine that is gone for good has lost its disk.
	diskLost bool
	// isGone is true for a machine that does not return; successor is the machine in its place, if any.
	isGone    bool
	successor *seriesMachine
	// calmTime is the time for which the machine has run since its start or its last disturbance. Times in which more
	// machines were lost than tolerated do not count for machines with lost disks.
	calmTime time.Duration
	// disturbedUntil is the end of a silence or of downtime, isDown distinguishes the two; zero when there is none.
	disturbedUntil time.Duration
	isDown         bool
	// goesAt is when the machine is to go for good; 0 for never.
	goesAt time.Duration
}

// voterSeries plays random joins, replacements, silences, removals, restarts and lost disks against a seeded cluster.
// At no time are more disks lost than tolerated; silent and restarting machines may overlap beyond that.
type voterSeries struct {
	*testCluster
	random    *rand.Rand
	tolerated int
	machines  []*seriesMachine
	// acknowledged is the position of the newest entry that a leader has reported as committed.
	acknowledged position
	proposals    int
	// isNamed is true for named peers in place of seeds; such machines are not replaced by others.
	isNamed bool
	// promisesNothing skips the checks after each step.
	promisesNothing bool
	disks           int
	history         []string
}

func newVoterSeries(t *testing.T, size int, seed uint64, isNamed bool) *voterSeries {
	cluster := newTestCluster(t, 0, seed)
	cluster.bootstrap = true
	cluster.formationSize = size
	cluster.electionTimeout, cluster.heartbeatInterval = seriesElectionTimeout, seriesHeartbeat
	cluster.syncDelay = true
	s := &voterSeries{testCluster: cluster, random: rand.New(rand.NewPCG(seed, uint64(size))), tolerated: (size - 1) / 2, isNamed: isNamed}
	for index := range size {
		cluster.seeds = append(cluster.seeds, fmt.Sprintf("machine-%d", index+1))
	}
	cluster.seeds = cluster.seeds[:3]
	if isNamed {
		cluster.seeds, cluster.peers = nil, size
	}
	for range size {
		s.add()
	}
	if isNamed {
		for _, machine := range s.machines {
			s.start(machine.name) // now that all peers have names
		}
	}
	s.stepUntil("all voters", func() bool { leader := s.leader(); return leader != "" && len(voterIDs(s.cores[leader])) == size })
	cluster.bootstrap = false
	for _, machine := range s.machines {
		machine.calmTime = seriesCatchUp
	}
	return s
}

// add starts a machine with an empty disk.
func (s *voterSeries) add() *seriesMachine {
	machine := &seriesMachine{name: fmt.Sprintf("machine-%d", len(s.names)+1)}
	s.names = append(s.names, machine.name)
	s.machines = append(s.machines, machine)
	s.updateSeeds()
	s.emptyDisk(machine)
	s.start(machine.name)
	return machine
}

// updateSeeds sets the seeds of processes that start from now on to the addresses of three machines that exist, as
// settings list them that are written now.
func (s *voterSeries) updateSeeds() {
	if s.isNamed || s.bootstrap {
		return
	}
	s.seeds = nil
	present := s.present()
	for _, machine := range present[:min(len(present), 3)] {
		s.seeds = append(s.seeds, machine.name)
	}
}

// emptyDisk gives a machine an empty disk.
func (s *voterSeries) emptyDisk(machine *seriesMachine) {
	s.disks++
	machine.disk = fmt.Sprintf("%s/%d", machine.name, s.disks)
	s.testCluster.disks[machine.name] = &testDisk{restored: Restored{DiskID: machine.disk}}
}

func (s *voterSeries) record(format string, arguments ...any) {
	s.history = append(s.history, fmt.Sprintf("%8v ", s.now)+fmt.Sprintf(format, arguments...))
}

// present returns the machines that are not gone.
func (s *voterSeries) present() []*seriesMachine {
	return slices.DeleteFunc(slices.Clone(s.machines), func(machine *seriesMachine) bool { return machine.isGone })
}

// lostDisks counts the machines whose lost disks still count.
func (s *voterSeries) lostDisks() int {
	lost := 0
	for _, machine := range s.machines {
		if machine.diskLost {
			lost++
		}
	}
	return lost
}

// disturbed counts the machines that are lost now, for whatever reason: a machine is lost while it is silent or down, and
// until it has had the time to catch up after that. A machine that is gone and its successor count as one.
func (s *voterSeries) disturbed() int {
	lost := map[*seriesMachine]bool{}
	for _, machine := range s.machines {
		isSuccessor := slices.ContainsFunc(s.machines, func(other *seriesMachine) bool { return other.successor == machine && !other.isGone })
		if machine.diskLost || !machine.isGone && !isSuccessor && machine.calmTime < seriesCatchUp {
			lost[machine.inPlace()] = true
		}
	}
	return len(lost)
}

// advance plays one step and checks the promises after it.
func (s *voterSeries) advance() {
	s.endDisturbances()
	s.step()
	isCalm := s.disturbed() <= s.tolerated
	for _, machine := range s.machines {
		if machine.disturbedUntil == 0 && !machine.isGone && (isCalm || !s.standsForLostDisk(machine)) {
			machine.calmTime += time.Millisecond
		}
	}
	for _, machine := range s.machines {
		if inPlace := machine.inPlace(); machine.diskLost && !inPlace.isGone && inPlace.calmTime >= seriesCatchUp {
			machine.diskLost = false
		}
	}
	s.propose()
	if !s.promisesNothing {
		s.checkPromises()
	}
}

// inPlace returns the machine that is in this one's place now: itself, or the last of its successors.
func (m *seriesMachine) inPlace() *seriesMachine {
	for m.isGone && m.successor != nil {
		m = m.successor
	}
	return m
}

// standsForLostDisk reports whether a machine must catch up before a lost disk no longer counts.
func (s *voterSeries) standsForLostDisk(machine *seriesMachine) bool {
	return slices.ContainsFunc(s.machines, func(other *seriesMachine) bool { return other.diskLost && other.inPlace() == machine })
}

// endDisturbances ends the silences and the downtimes that are due.
func (s *voterSeries) endDisturbances() {
	for _, machine := range s.machines {
		if machine.goesAt != 0 && s.now >= machine.goesAt && !machine.isGone {
			s.remove(machine)
		}
		if machine.isGone || machine.disturbedUntil == 0 || s.now < machine.disturbedUntil {
			continue
		}
		machine.disturbedUntil = 0
		s.isolated[machine.name], s.frozen[machine.name] = false, false
		if machine.isDown {
			machine.isDown = false
			s.updateSeeds()
			s.start(machine.name)
		}
	}
}

// propose proposes an entry at the leader now and then, and notes what is acknowledged.
func (s *voterSeries) propose() {
	name := s.leader()
	if name == "" {
		return
	}
	leader := s.cores[name]
	if s.now%(20*time.Millisecond) == 0 {
		s.proposals++
		_, _, _ = leader.Propose(s.now, fmt.Appendf(nil, "entry %d", s.proposals))
	}
	if leader.log.commit > s.acknowledged.index {
		term, err := leader.log.termAt(leader.log.commit)
		require.NoError(s.t, err)
		s.acknowledged = position{index: leader.log.commit, term: term}
	}
}

// holds reports whether a machine's disk holds, synced, an entry.
func (s *voterSeries) holds(machine *seriesMachine, entry position) bool {
	restored := s.testCluster.disks[machine.name].restored
	if restored.Snapshot.GetMetadata().GetIndex() >= entry.index {
		return true
	}
	if len(restored.Entries) == 0 || restored.Entries[0].GetIndex() > entry.index {
		return false
	}
	offset := entry.index - restored.Entries[0].GetIndex()
	return offset < uint64(len(restored.Entries)) && restored.Entries[offset].GetTerm() == entry.term
}

// checkPromises checks, on the leader's voters, that the newest acknowledged entry is on more disks than may still be
// lost, and that a quorum remains after as many losses as may still occur.
func (s *voterSeries) checkPromises() {
	name := s.leader()
	if name == "" {
		return
	}
	leader := s.cores[name]
	mayBeLost := s.tolerated - s.lostDisks()
	holders, existing := 0, 0
	for _, machine := range s.machines {
		if machine.isGone || !leader.members.isVoter(machine.disk) {
			continue
		}
		existing++
		if s.holds(machine, s.acknowledged) {
			holders++
		}
	}
	if holders <= mayBeLost {
		s.fail("the acknowledged entry %v is on %d disks of voters, and %d may be lost", s.acknowledged, holders, mayBeLost)
	}
	if voters := len(voterIDs(leader)); existing-mayBeLost <= voters/2 {
		s.fail("%d of %d voters exist, and %d may be lost: no quorum would remain", existing, voters, mayBeLost)
	}
}

func (s *voterSeries) fail(format string, arguments ...any) {
	s.t.Helper()
	s.t.Fatalf("%v: %s\n%s%s", s.now, fmt.Sprintf(format, arguments...), strings.Join(s.history, "\n"), s.describe())
}

// describe returns what each machine knows of the members, and the leader's last decisions.
func (s *voterSeries) describe() string {
	var text strings.Builder
	for _, machine := range s.present() {
		core := s.cores[machine.name]
		if core == nil {
			continue
		}
		fmt.Fprintf(&text, "\n%s, disk %s, %v in term %d, log ends at %v, commit %d, probes: %d, members:", machine.name, machine.disk, core.role, core.term,
			core.log.last(), core.log.commit, core.probeDueAt.Milliseconds())
		for _, member := range core.members.membership.GetMembers() {
			fmt.Fprintf(&text, " %s learner=%v", member.GetId(), member.GetLearner())
		}
		if core.role == RoleLeader {
			for _, decision := range core.decisions.recent {
				fmt.Fprintf(&text, "\n  %s %s: %s, silent %v, %+v", decision.Action, decision.MemberID, decision.Reason, decision.Silence, decision.Counts)
			}
		}
	}
	return text.String()
}

// remove takes a machine away for good.
func (s *voterSeries) remove(machine *seriesMachine) {
	machine.isGone, machine.diskLost = true, true
	s.cores[machine.name] = nil
	s.record("%s is gone for good", machine.name)
	for successor := machine.successor; successor != nil; successor = successor.successor {
		successor.calmTime = 0 // the machine counts as lost from its end on
	}
}

// silence makes a machine silent for a while.
func (s *voterSeries) silence(machine *seriesMachine, freeze bool) {
	machine.calmTime = 0
	machine.disturbedUntil = s.now + s.duration(5*time.Second)
	s.frozen[machine.name], s.isolated[machine.name] = freeze, !freeze
	s.record("%s is silent until %v, frozen: %v", machine.name, machine.disturbedUntil, freeze)
}

// stop stops a machine's process for a while; with wipe its disk is lost.
func (s *voterSeries) stop(machine *seriesMachine, wipe bool) {
	machine.calmTime = 0
	machine.isDown = true
	machine.disturbedUntil = s.now + s.duration(2*time.Second)
	s.cores[machine.name] = nil
	s.isolated[machine.name], s.frozen[machine.name] = false, false
	if wipe {
		machine.diskLost = true
		s.emptyDisk(machine)
	}
	s.record("%s stops until %v, disk lost: %v", machine.name, machine.disturbedUntil, wipe)
}

func (s *voterSeries) duration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit))).Round(time.Millisecond) + time.Millisecond
}

// replace puts an empty machine in the place of another one, which goes before or after that.
func (s *voterSeries) replace(machine *seriesMachine) {
	if machine.goesAt != 0 || s.promisedLosses() >= s.tolerated {
		return
	}
	machine.goesAt = s.now + s.duration(4*time.Second)
	if s.random.IntN(2) == 0 {
		machine.goesAt = s.now
		s.remove(machine)
		for range s.random.IntN(3000) {
			s.advance()
		}
	}
	machine.successor = s.add()
	s.record("%s is to replace %s, which goes at %v", machine.successor.name, machine.name, machine.goesAt)
}

// promisedLosses counts the lost disks, and those of machines that are to go.
func (s *voterSeries) promisedLosses() int {
	count := s.lostDisks()
	for _, machine := range s.machines {
		if machine.goesAt != 0 && !machine.isGone {
			count++
		}
	}
	return count
}

// disturb plays one random event.
func (s *voterSeries) disturb() {
	present := s.present()
	machine := present[s.random.IntN(len(present))]
	isFree := machine.disturbedUntil == 0
	switch kind := s.random.IntN(10); {
	case kind < 2 && isFree:
		s.silence(machine, s.random.IntN(2) == 0)
	case kind < 3 && isFree:
		s.stop(machine, false)
	case kind < 6 && isFree && (machine.diskLost || s.promisedLosses() < s.tolerated):
		s.stop(machine, true)
	case kind < 9 && isFree && !s.isNamed:
		s.replace(machine)
	case kind == 9:
		s.loseAllPower()
	}
}

// loseAllPower stops all machines at once; some of them lose their disks, as many as may be lost.
func (s *voterSeries) loseAllPower() {
	s.inbox = nil
	present := s.present()
	s.random.Shuffle(len(present), func(a, b int) { present[a], present[b] = present[b], present[a] })
	for _, machine := range present {
		s.stop(machine, s.promisedLosses() < s.tolerated && !machine.diskLost && machine.goesAt == 0)
	}
}

// settle waits until all faults are over, and checks that all machines are voters and that the gone ones are not.
func (s *voterSeries) settle() {
	for limit := s.now + seriesSettle + 7*time.Second; ; s.advance() {
		if s.lostDisks() == 0 && s.disturbed() == 0 && s.isComplete() {
			break
		}
		if s.now > limit {
			s.fail("no leader with complete voters %v after the last fault; disks lost: %d, disturbed: %d", seriesSettle, s.lostDisks(), s.disturbed())
		}
	}
	leader := s.cores[s.leader()]
	require.GreaterOrEqual(s.t, leader.log.commit, s.acknowledged.index)
}

// isComplete reports whether exactly the present machines are voters.
func (s *voterSeries) isComplete() bool {
	name := s.leader()
	if name == "" {
		return false
	}
	present := s.present()
	for _, machine := range present {
		if !s.cores[name].members.isVoter(machine.disk) {
			return false
		}
	}
	return len(voterIDs(s.cores[name])) == len(present)
}

// Guards against acknowledged entries on too few disks and against dead voters that count for ever, in random series of
// joins, replacements, silences, restarts and lost disks.
func TestVotersKeepEnoughDisks(t *testing.T) {
	playVoterSeries(t, 12, false)
}

// Guards against the same among named peers, whose emptied disks take the places of the former ones.
func TestNamedVotersKeepEnoughDisks(t *testing.T) {
	playVoterSeries(t, 6, true)
}

// playVoterSeries plays series with the given number of seeds for each size of the quorum.
func playVoterSeries(t *testing.T, seeds uint64, isNamed bool) {
	const eventsPerSeries = 25
	for _, size := range []int{3, 5, 7} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d controllers, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				newVoterSeries(t, size, seed, isNamed).play(eventsPerSeries)
			})
		}
	}
}

// play plays random events, and lets the machines settle now and then.
func (s *voterSeries) play(events int) {
	const eventsBetweenRests = 5
	for event := range events {
		s.disturb()
		for range s.random.IntN(3000) {
			s.advance()
		}
		if event%eventsBetweenRests == eventsBetweenRests-1 {
			s.settle()
		}
	}
	s.settle()
}
