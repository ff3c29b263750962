package scale

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/pause"
)

// sampleInterval is the time between two readings of the controllers' counters.
const sampleInterval = 250 * time.Millisecond

// drillWatch observes a fleet during a drill. It is safe for concurrent use.
type drillWatch struct {
	fleet *Fleet

	mutex   sync.Mutex
	decides map[bool]int64 // by whether it was refused
	refusal map[string]int64
	lost    map[string]bool
	toLost  int64
	// lastToLost is when a request was sent to a lost engine last; sentTo counts the
	// requests to each engine since it was asked for.
	lastToLost time.Time
	sentTo     map[string]int64
	// refusedIn and decidedIn count by the node's region.
	refusedIn, decidedIn map[int]int64
	// reachable is when a node was last started, or a cut around it healed.
	reachable map[string]time.Time

	controllers []controllerSample
	leader      int
	from        windowStart
	load        DrillLoad
}

// controllerSample is a controller's counters as last read.
type controllerSample struct {
	calls, bytes float64
	at           time.Time
	// windowCalls sums the calls in the present window, over restarts.
	windowCalls, windowBytes float64
	// recent are the readings of the last second and the one before, oldest first.
	recent []callReading
}

// callReading is what a controller had answered at a time.
type callReading struct {
	calls float64
	at    time.Time
}

// inASecond adds a reading and returns the calls of the second that ends with it; of
// readings further apart it is the calls a second between them.
func (s *controllerSample) inASecond(read callReading) float64 {
	s.recent = append(s.recent, read)
	for len(s.recent) > 2 && read.at.Sub(s.recent[1].at) >= time.Second {
		s.recent = s.recent[1:]
	}
	oldest := s.recent[0]
	return (read.calls - oldest.calls) / max(read.at.Sub(oldest.at).Seconds(), 1)
}

// windowStart is what the nodes had counted when the window began.
type windowStart struct {
	at    time.Time
	nodes []nodeReading
}

func newDrillWatch(fleet *Fleet) *drillWatch {
	return &drillWatch{
		fleet: fleet, decides: map[bool]int64{}, refusal: map[string]int64{}, lost: map[string]bool{}, sentTo: map[string]int64{},
		refusedIn: map[int]int64{}, decidedIn: map[int]int64{}, reachable: map[string]time.Time{},
		controllers: make([]controllerSample, len(fleet.controllers)), leader: -1,
		from: windowStart{at: time.Now(), nodes: readNodes(fleet)},
	}
}

func readNodes(fleet *Fleet) []nodeReading {
	read := make([]nodeReading, len(fleet.Nodes))
	for number, node := range fleet.Nodes {
		read[number] = nodeReading{node.received.Load(), node.sent.Load(), node.dials.Load()}
	}
	return read
}

// decided counts one request.
func (w *drillWatch) decided(node *Node, engine string, refusal error) {
	region := w.fleet.Plan.Region(node.Zone)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.decides[refusal != nil]++
	w.decidedIn[region]++
	if refusal != nil {
		w.refusedIn[region]++
		w.refusal[refusalCode(refusal)]++
		return
	}
	w.sentTo[engine]++
	if w.lost[engine] {
		w.toLost++
		w.lastToLost = time.Now()
	}
}

// lose marks engines as lost; find marks them as back.
func (w *drillWatch) lose(engines []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range engines {
		w.lost[name] = true
	}
}

func (w *drillWatch) find(engines []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, name := range engines {
		delete(w.lost, name)
		delete(w.sentTo, name)
	}
}

// usedSoFar lists those of the engines that have got a request.
func (w *drillWatch) usedSoFar(engines []string) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(engines), func(name string) bool { return w.sentTo[name] == 0 })
}

// used counts the engines that got a request since they were found.
func (w *drillWatch) used(engines []string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	used := 0
	for _, name := range engines {
		if w.sentTo[name] > 0 {
			used++
		}
	}
	return used
}

// quiet returns when a request was sent to a lost engine last.
func (w *drillWatch) quiet() (last time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastToLost
}

// regionCounts returns the requests decided and refused in a region so far.
func (w *drillWatch) regionCounts(region int) (decided, refused int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.decidedIn[region], w.refusedIn[region]
}

// reached tells that nodes were started, or that a cut around them healed.
func (w *drillWatch) reached(nodes []*Node) {
	now := time.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, node := range nodes {
		w.reachable[node.Name] = now
	}
}

// slowest is the longest time from acceptance of a change, or from when the node could be
// reached again, to in force there.
func (w *drillWatch) slowest(changes []Change) float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var slowest time.Duration
	for _, change := range changes {
		for _, node := range w.fleet.Nodes {
			at, reached := node.Reached(change.Revision)
			if !reached {
				continue
			}
			from := change.Accepted
			if back := w.reachable[node.Name]; back.After(from) {
				from = back
			}
			slowest = max(slowest, at.Sub(from))
		}
	}
	return slowest.Seconds()
}

// requests sums up what became of the requests.
func (w *drillWatch) requests() DrillRequests {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return DrillRequests{
		Decided: w.decides[true] + w.decides[false], Refused: w.decides[true], Refusals: w.refusal, ToLost: w.toLost,
	}
}

// run reads the controllers' counters until the context ends.
func (w *drillWatch) run(ctx context.Context) {
	for {
		var group sync.WaitGroup
		for controller := range w.fleet.controllers {
			group.Go(func() { w.sample(ctx, controller) })
		}
		group.Wait()
		if !pause.For(ctx, sampleInterval) {
			return
		}
	}
}

// sample reads one controller; one that does not answer is left out.
func (w *drillWatch) sample(ctx context.Context, controller int) {
	limited, cancel := context.WithTimeout(ctx, sampleInterval)
	defer cancel()
	read, err := w.fleet.scrapeController(limited, controller)
	if err != nil {
		return
	}
	now := time.Now()
	calls := read.sum("hazelpitch_controller_calls_total")
	bytes := read.sum("hazelpitch_controller_wire_bytes_total")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if read.sum(leaderMetric) > 0 && w.leader != controller {
		if w.leader >= 0 {
			w.load.LeaderChanges++
		}
		w.leader = controller
	}
	sampled := &w.controllers[controller]
	if calls < sampled.calls { // it was restarted
		sampled.calls, sampled.bytes, sampled.recent = 0, 0, nil
	}
	w.load.CallsInASecond = max(w.load.CallsInASecond, sampled.inASecond(callReading{calls: calls, at: now}))
	if !sampled.at.IsZero() {
		w.load.PeakCalls = max(w.load.PeakCalls, (calls-sampled.calls)/now.Sub(sampled.at).Seconds())
		sampled.windowCalls += calls - sampled.calls
		sampled.windowBytes += bytes - sampled.bytes
	}
	sampled.calls, sampled.bytes, sampled.at = calls, bytes, now
}

// peek returns what the present window has counted of peaks and leaders.
func (w *drillWatch) peek() DrillLoad {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.load
}

// window ends the present window and begins the next.
func (w *drillWatch) window() DrillLoad {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now, nodes := time.Now(), readNodes(w.fleet)
	load := w.load
	load.Seconds = now.Sub(w.from.at).Seconds()
	for i := range w.controllers {
		sampled := &w.controllers[i]
		load.Calls += sampled.windowCalls / load.Seconds
		load.BusiestCalls = max(load.BusiestCalls, sampled.windowCalls/load.Seconds)
		load.ControllerBytes += sampled.windowBytes / load.Seconds / float64(len(w.controllers))
		sampled.windowCalls, sampled.windowBytes = 0, 0
		sampled.recent = sampled.recent[max(len(sampled.recent)-1, 0):]
	}
	for i, node := range nodes {
		before := w.from.nodes[i]
		rate := float64(node.received-before.received+node.sent-before.sent) / load.Seconds
		load.NodeBytes += rate / float64(len(nodes))
		load.LargestNodeBytes = max(load.LargestNodeBytes, rate)
		load.Dials += node.dials - before.dials
	}
	w.from, w.load = windowStart{at: now, nodes: nodes}, DrillLoad{}
	return load
}
