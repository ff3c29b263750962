package relay

import (
	"maps"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// noticeLifetime is how long another relay's report of its work is used.
const noticeLifetime = 1200 * time.Millisecond

// loadTable holds the work at engines that other relays have reported. It is safe for concurrent use.
type loadTable struct {
	mutex   sync.Mutex
	engines map[uint64]map[uint64]reportedWork
	// sequences holds the number of the newest notice of each relay.
	sequences map[uint64]uint64
	// receivedAt is when the last notice arrived.
	receivedAt time.Duration
}

// reportedWork is one relay's work at one engine, and when the report arrived.
type reportedWork struct {
	work placement.Work
	at   time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{engines: map[uint64]map[uint64]reportedWork{}, sequences: map[uint64]uint64{}}
}

// record records a relay's notice and reports whether it was new; a notice that is not newer than the last one is dropped.
func (t *loadTable) record(now time.Duration, notice *v1.LoadNotice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	relay := notice.GetRelay()
	if notice.GetSequence() <= t.sequences[relay] {
		return false
	}
	t.sequences[relay] = notice.GetSequence()
	t.receivedAt = now
	for _, engine := range notice.GetEngines() {
		relays := t.engines[engine.GetEngine()]
		if relays == nil {
			relays = map[uint64]reportedWork{}
			t.engines[engine.GetEngine()] = relays
		}
		work := placement.Work{Prefills: int(engine.GetPrompts()), Streams: int(engine.GetStreams()), Tokens: tokensFromWire(engine.GetPromptTokens())}
		if work == (placement.Work{}) {
			delete(relays, relay)
			continue
		}
		relays[relay] = reportedWork{work: work, at: now}
	}
	return true
}

// lastReceivedAt returns when the last notice of another relay arrived.
func (t *loadTable) lastReceivedAt() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.receivedAt
}

// otherRelaysWork returns the sum of the other relays' work at an engine.
func (t *loadTable) otherRelaysWork(now time.Duration, engine uint64) placement.Work {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := placement.Work{}
	for relay, reported := range t.engines[engine] {
		if now-reported.at > noticeLifetime {
			delete(t.engines[engine], relay)
			continue
		}
		sum = sum.Plus(reported.work)
	}
	return sum
}

// totalWork returns the known work of all relays at an engine; current is this relay's record of the engine's load.
func (t *loadTable) totalWork(now time.Duration, engine *backEnd, current load) placement.Work {
	return current.ownWork.Plus(t.otherRelaysWork(now, engine.hash))
}

// retain removes the engines that are not listed any more.
func (t *loadTable) retain(listed map[uint64]*backEnd) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.engines, func(engine uint64, _ map[uint64]reportedWork) bool { return listed[engine] == nil })
}
