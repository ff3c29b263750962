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
	// step is the step of virtual time; permit requests and their responses take less.
	step = 10 * time.Millisecond
	// toleratedFactor and toleratedRequests define what a back end tolerates in windowSpan: one and a half times its limit
	// plus five requests.
	toleratedFactor   = 1.5
	toleratedRequests = 5
	backEnd           = uint64(4711)
)

// testProcess is one process of a fleet in virtual time.
type testProcess struct {
	address string
	member  *Member
	// limit is the back end's limit as the process knows it.
	limit backpressure.Limit
	// downUntil is the end of the process's last kill or freeze; disturbedAt is the time of its last kill, freeze or
	// network cut.
	downUntil, disturbedAt time.Duration
	// group is the process's side of a network partition.
	group int
	// listAt is when the process applies the newest list of processes.
	listAt time.Duration
	// skippedUntil are the processes that did not answer, with the time until which they are skipped.
	skippedUntil map[string]time.Duration
	waitsUntil   time.Duration
	listIsFresh  bool
	// share is the process's token bucket under a strategy that divides the limit.
	share bucket
}

// testFleet is a fleet in virtual time that sends requests to one back end.
type testFleet struct {
	random    *rand.Rand
	now       time.Duration
	processes []*testProcess
	listed    []string
	limit     backpressure.Limit
	// strategy is how processes decide whether they may send a request.
	strategy strategy
	// busy is the number of processes that send requests.
	busy int
	// loss is the fraction of messages that are lost.
	loss float64
	// undisturbedArrivals are the arrival times of requests from undisturbed processes, allArrivals those from any process.
	undisturbedArrivals, allArrivals []time.Duration
	denied                           int
}

// strategy is a strategy for enforcing a limit.
type strategy int

// Strategies.
const (
	// oneOwner is the strategy of the product: one owner grants the permits.
	oneOwner strategy = iota
	// equalShares gives each process an equal share of the limit and a bucket of one request.
	equalShares
	// unlimited sends requests as if there were no limit.
	unlimited
)

const neverDisturbed = -time.Hour

func newTestFleet(seed uint64, count int, perSecond float64) *testFleet {
	fleet := &testFleet{random: rand.New(rand.NewPCG(seed, 2)), busy: count, limit: backpressure.Limit{IsSet: true, PerSecond: perSecond}}
	for number := range count {
		process := &testProcess{address: fmt.Sprintf("10.0.%d.%d:1", number/250, number%250), disturbedAt: neverDisturbed}
		fleet.processes = append(fleet.processes, process)
		fleet.start(process)
	}
	fleet.list()
	return fleet
}

// start starts a process without any state.
func (f *testFleet) start(process *testProcess) {
	process.member, process.limit, process.skippedUntil, process.listIsFresh = NewMember(process.address), backpressure.Limit{}, map[string]time.Duration{}, true
	process.listAt = f.now + time.Duration(f.random.Int64N(int64(time.Second)))
}

// list creates a new list of the running processes; each process applies it a while later.
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

// reaches reports whether a message from one process to another is delivered.
func (f *testFleet) reaches(from, to *testProcess) bool {
	return to != nil && f.now >= to.downUntil && from.group == to.group && f.random.Float64() >= f.loss
}

// requestPermit requests a permit from the owners in order.
func (f *testFleet) requestPermit(process *testProcess) bool {
	if !process.limit.IsSet || f.strategy == unlimited {
		return true
	}
	if f.strategy == equalShares {
		process.share.set(f.now, process.limit.PerSecond/float64(len(f.processes)), 1)
		if process.share.tokens < 1 {
			return false
		}
		process.share.tokens--
		return true
	}
	if f.now < process.waitsUntil {
		return false
	}
	for _, address := range process.member.OwnersOf(backEnd) {
		owner := f.find(address)
		if owner == process {
			if answer, isOwner := process.member.HandleRequest(f.now, f.permitRequest(process), process.listIsFresh, f.random.Float64()); isOwner {
				return f.applyResponse(process, answer)
			}
			continue
		}
		if f.now < process.skippedUntil[address] {
			continue
		}
		if !f.reaches(process, owner) {
			process.skippedUntil[address] = f.now + 400*time.Millisecond
			continue
		}
		answer, isOwner := owner.member.HandleRequest(f.now, f.permitRequest(process), owner.listIsFresh, f.random.Float64())
		if !isOwner {
			continue
		}
		if !f.reaches(owner, process) { // the response is lost, so a granted permit is not used
			process.skippedUntil[address] = f.now + 400*time.Millisecond
			continue
		}
		return f.applyResponse(process, answer)
	}
	process.waitsUntil = f.now + 250*time.Millisecond
	return false
}

func (f *testFleet) permitRequest(process *testProcess) PermitRequest {
	return PermitRequest{BackEnd: backEnd, Limit: process.limit, RequesterID: cell.HashEngine(process.address), Rank: f.random.IntN(3)}
}

func (f *testFleet) applyResponse(process *testProcess, answer PermitResponse) bool {
	process.limit, process.waitsUntil = answer.Limit, f.now+answer.Wait
	return answer.Granted
}

// send sends one request of a process if it gets a permit.
func (f *testFleet) send(process *testProcess) {
	knewLimit := process.limit.IsSet
	if !f.requestPermit(process) {
		f.denied++
		return
	}
	f.allArrivals = append(f.allArrivals, f.now)
	if knewLimit && f.now-process.disturbedAt > windowSpan {
		f.undisturbedArrivals = append(f.undisturbedArrivals, f.now)
	}
	if process.limit != f.limit { // the answer names the limit
		process.limit = f.limit
		for _, address := range process.member.OwnersOf(backEnd) {
			if owner := f.find(address); owner == process || f.reaches(process, owner) {
				owner.member.SetLimit(f.now, BackEndLimit{BackEnd: backEnd, Limit: f.limit})
				break
			}
		}
	}
}

// sendNotices delivers the owners' notices to the other processes.
func (f *testFleet) sendNotices() {
	for _, process := range f.processes {
		if f.now < process.downUntil {
			continue
		}
		for _, notice := range process.member.Notices(f.now) {
			for _, other := range f.processes {
				if other != process && f.reaches(process, other) {
					other.limit = notice.Limit
					other.member.ApplyNotice(f.now, process.address, notice)
				}
			}
		}
	}
}

// run simulates a span of time with perSecond requests per second; injectFault is called at every step.
func (f *testFleet) run(length time.Duration, perSecond float64, injectFault func()) {
	for end := f.now + length; f.now < end; f.now += step {
		injectFault()
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
			f.sendNotices()
		}
	}
}

// maximumInWindow returns the largest number of arrivals in any window, and the end of that window.
func maximumInWindow(arrivals []time.Duration) (count int, at time.Duration) {
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
	return toleratedFactor*perSecond*windowSpan.Seconds() + toleratedRequests
}

// randomFaults returns a function that injects random faults.
func (f *testFleet) randomFaults() func() {
	return func() {
		if f.random.Float64() > 0.6*step.Seconds() {
			return
		}
		target := f.processes[f.random.IntN(len(f.processes))]
		if f.random.IntN(2) == 0 { // at least half of the faults hit the limit's owner
			if first := f.find(f.processes[0].member.firstOwnerOf(backEnd)); first != nil {
				target = first
			}
		}
		length := time.Duration(f.random.Int64N(int64(6 * time.Second)))
		switch f.random.IntN(5) {
		case 0: // killed; removed from the list a while later, and listed again after its restart
			target.downUntil, target.disturbedAt = f.now+length, f.now+length
			f.start(target)
			target.listAt = f.now + length + time.Second
			f.list()
		case 1: // frozen
			target.downUntil, target.disturbedAt = f.now+length, f.now+length
		case 2: // its process list becomes stale
			target.listIsFresh = false
			target.listAt = max(target.listAt, f.now+length)
		case 3: // cut off from the others
			target.group, target.disturbedAt = 1-target.group, f.now
		case 4:
			f.list()
			f.loss = 0.1 * f.random.Float64()
			for _, process := range f.processes {
				process.listIsFresh = true
				if process.group != 0 {
					process.group, process.disturbedAt = 0, f.now
				}
			}
		}
	}
}

// firstOwnerOf returns the first owner of a back end's limit; empty for none.
func (m *Member) firstOwnerOf(backEnd uint64) string {
	if owners := m.OwnersOf(backEnd); len(owners) > 0 {
		return owners[0]
	}
	return ""
}
