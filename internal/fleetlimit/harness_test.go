package fleetlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/backpressure"
	"github.com/hazelpitch/hazelpitch/internal/cell"
)

const (
	// step is that of virtual time; asks and answers take less.
	step = 10 * time.Millisecond
	// toleratedPart and toleratedRequests are what a back end tolerates in windowSpan: one and a half times its limit,
	// and five requests.
	toleratedPart     = 1.5
	toleratedRequests = 5
	backEnd           = uint64(4711)
)

// testProcess is one process of a fleet in virtual time.
type testProcess struct {
	address string
	member  *Member
	// limit is what it holds of the back end, told whether it knows of one.
	limit backpressure.Limit
	// downUntil is until when it is killed or frozen, disturbedAt when it was killed, frozen or cut off last.
	downUntil, disturbedAt time.Duration
	// group is its side of a cut.
	group int
	// listAt is when it takes the newest list of processes.
	listAt time.Duration
	// doubted are the processes that did not answer, until when they are passed over.
	doubted  map[string]time.Duration
	waitsTil time.Duration
	fresh    bool
	// share is its own part of the limit, for fleets that divide it.
	share bucket
}

// testFleet is a fleet in virtual time that sends to one back end.
type testFleet struct {
	random    *rand.Rand
	now       time.Duration
	processes []*testProcess
	listed    []string
	limit     backpressure.Limit
	// way is how processes decide whether they may send.
	way way
	// busy is how many of the processes send.
	busy int
	// loss is the part of messages that is lost.
	loss float64
	// counted are the times of arrivals of processes that were not disturbed, all those of any.
	counted, all []time.Duration
	denied       int
}

// way is a way of keeping a limit.
type way int

// Ways.
const (
	// oneKeeper is what runs.
	oneKeeper way = iota
	// equalShares gives each process its part of the limit, and one request in hand.
	equalShares
	// unheeded sends as if there were no limit.
	unheeded
)

const undisturbed = -time.Hour

func newTestFleet(seed uint64, count int, perSecond float64) *testFleet {
	fleet := &testFleet{random: rand.New(rand.NewPCG(seed, 2)), busy: count, limit: backpressure.Limit{IsSet: true, PerSecond: perSecond}}
	for number := range count {
		process := &testProcess{address: fmt.Sprintf("10.0.%d.%d:1", number/250, number%250), disturbedAt: undisturbed}
		fleet.processes = append(fleet.processes, process)
		fleet.start(process)
	}
	fleet.list()
	return fleet
}

// start begins a process anew: it knows nothing.
func (f *testFleet) start(process *testProcess) {
	process.member, process.limit, process.doubted, process.fresh = NewMember(process.address), backpressure.Limit{}, map[string]time.Duration{}, true
	process.listAt = f.now + time.Duration(f.random.Int64N(int64(time.Second)))
}

// list makes the list of those that run; each process takes it a while later.
func (f *testFleet) list() {
	f.listed = nil
	for _, process := range f.processes {
		if f.now >= process.downUntil {
			f.listed = append(f.listed, process.address)
		}
	}
	for _, process := range f.processes {
		process.listAt = f.now + time.Duration(f.random.Int64N(int64(time.Second)))
	}
}

func (f *testFleet) find(address string) *testProcess {
	index := slices.IndexFunc(f.processes, func(process *testProcess) bool { return process.address == address })
	if index < 0 {
		return nil
	}
	return f.processes[index]
}

// reaches reports whether a message gets through.
func (f *testFleet) reaches(from, to *testProcess) bool {
	return to != nil && f.now >= to.downUntil && from.group == to.group && f.random.Float64() >= f.loss
}

// permitted asks the keepers in their order.
func (f *testFleet) permitted(process *testProcess) bool {
	if !process.limit.IsSet || f.way == unheeded {
		return true
	}
	if f.way == equalShares {
		process.share.set(f.now, process.limit.PerSecond/float64(len(f.processes)), 1)
		if process.share.tokens < 1 {
			return false
		}
		process.share.tokens--
		return true
	}
	if f.now < process.waitsTil {
		return false
	}
	for _, address := range process.member.OwnersOf(backEnd) {
		keeper := f.find(address)
		if keeper == process {
			if answer, keeps := process.member.HandleRequest(f.now, f.ask(process), process.fresh, f.random.Float64()); keeps {
				return f.take(process, answer)
			}
			continue
		}
		if f.now < process.doubted[address] {
			continue
		}
		if !f.reaches(process, keeper) {
			process.doubted[address] = f.now + 400*time.Millisecond
			continue
		}
		answer, keeps := keeper.member.HandleRequest(f.now, f.ask(process), keeper.fresh, f.random.Float64())
		if !keeps {
			continue
		}
		if !f.reaches(keeper, process) { // the answer is lost: what was granted is not used
			process.doubted[address] = f.now + 400*time.Millisecond
			continue
		}
		return f.take(process, answer)
	}
	process.waitsTil = f.now + 250*time.Millisecond
	return false
}

func (f *testFleet) ask(process *testProcess) PermitRequest {
	return PermitRequest{BackEnd: backEnd, Limit: process.limit, RequesterID: cell.HashEngine(process.address), Rank: f.random.IntN(3)}
}

func (f *testFleet) take(process *testProcess, answer PermitResponse) bool {
	process.limit, process.waitsTil = answer.Limit, f.now+answer.Wait
	return answer.Granted
}

// send lets a process send one request, if it may.
func (f *testFleet) send(process *testProcess) {
	told := process.limit.IsSet
	if !f.permitted(process) {
		f.denied++
		return
	}
	f.all = append(f.all, f.now)
	if told && f.now-process.disturbedAt > windowSpan {
		f.counted = append(f.counted, f.now)
	}
	if process.limit != f.limit { // the answer names it
		process.limit = f.limit
		for _, address := range process.member.OwnersOf(backEnd) {
			if keeper := f.find(address); keeper == process || f.reaches(process, keeper) {
				keeper.member.SetLimit(f.now, BackEndLimit{BackEnd: backEnd, Limit: f.limit})
				break
			}
		}
	}
}

// tell lets keepers tell the others.
func (f *testFleet) tell() {
	for _, process := range f.processes {
		if f.now < process.downUntil {
			continue
		}
		for _, named := range process.member.Notices(f.now) {
			for _, other := range f.processes {
				if other != process && f.reaches(process, other) {
					other.limit = named.Limit
					other.member.ApplyNotice(f.now, process.address, named)
				}
			}
		}
	}
}

// play lets a time pass in which so many requests a second come, and faults strike.
func (f *testFleet) play(length time.Duration, perSecond float64, strike func()) {
	for end := f.now + length; f.now < end; f.now += step {
		strike()
		for number, process := range f.processes {
			if f.now >= process.listAt && f.now >= process.downUntil && f.listed != nil {
				process.listAt = time.Duration(1<<62 - 1)
				process.member.SetProcesses(f.now, f.listed)
			}
			if number < f.busy && f.now >= process.downUntil && f.random.Float64() < perSecond*step.Seconds()/float64(f.busy) {
				f.send(process)
			}
		}
		if f.now%time.Second == 0 {
			f.tell()
		}
	}
}

// most is the most arrivals in any window.
func most(arrivals []time.Duration) (count int, at time.Duration) {
	first := 0
	for last := range arrivals {
		for arrivals[last]-arrivals[first] > windowSpan {
			first++
		}
		if last-first+1 > count {
			count, at = last-first+1, arrivals[last]
		}
	}
	return count, at
}

func tolerated(perSecond float64) float64 {
	return toleratedPart*perSecond*windowSpan.Seconds() + toleratedRequests
}

// faults strikes a fleet at random.
func (f *testFleet) faults() func() {
	return func() {
		if f.random.Float64() > 0.6*step.Seconds() {
			return
		}
		struck := f.processes[f.random.IntN(len(f.processes))]
		if f.random.IntN(2) == 0 { // most faults meet those that keep the count
			if first := f.find(f.processes[0].member.firstOf(backEnd)); first != nil {
				struck = first
			}
		}
		length := time.Duration(f.random.Int64N(int64(6 * time.Second)))
		switch f.random.IntN(5) {
		case 0: // killed; it is listed no more after a while, and again when it is back
			struck.downUntil, struck.disturbedAt = f.now+length, f.now+length
			f.start(struck)
			struck.listAt = f.now + length + time.Second
			f.list()
		case 1: // frozen
			struck.downUntil, struck.disturbedAt = f.now+length, f.now+length
		case 2: // the list that it holds gets old
			struck.fresh = false
			struck.listAt = max(struck.listAt, f.now+length)
		case 3: // cut off
			struck.group, struck.disturbedAt = 1-struck.group, f.now
		case 4:
			f.list()
			f.loss = 0.1 * f.random.Float64()
			for _, process := range f.processes {
				process.fresh = true
				if process.group != 0 {
					process.group, process.disturbedAt = 0, f.now
				}
			}
		}
	}
}

// firstOf is the first keeper of a back end; empty for none.
func (m *Member) firstOf(backEnd uint64) string {
	if keepers := m.OwnersOf(backEnd); len(keepers) > 0 {
		return keepers[0]
	}
	return ""
}
