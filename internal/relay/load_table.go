package relay

import (
	"maps"
	"sync"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

	"github.com/hazelpitch/hazelpitch/internal/placement"
)

// noticeLifetime is how long another relay's word of its work counts.
const noticeLifetime = 1200 * time.Millisecond

// loadTable holds what other relays tell of their work at engines. It is safe for
// concurrent use.
type loadTable struct {
	mutex   sync.Mutex
	engines map[uint64]map[uint64]reportedWork
	// sequences are the newest notices of each relay.
	sequences map[uint64]uint64
	// receivedAt is when the last notice came.
	receivedAt time.Duration
}

// reportedWork is one relay's work at one engine, and when it was told.
type reportedWork struct {
	work placement.Work
	at   time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{engines: map[uint64]map[uint64]reportedWork{}, sequences: map[uint64]uint64{}}
}

// record notes what a relay told; older notices than the last are dropped. It reports
// whether the notice was new.
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

// lastReceivedAt is when the last notice of another relay came.
func (t *loadTable) lastReceivedAt() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.receivedAt
}

// otherRelaysWork sums what other relays have under way at an engine.
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

// totalWork is the work of all relays at an engine, as far as is known; seen is what this relay
// knows of the engine itself.
func (t *loadTable) totalWork(now time.Duration, engine *backEnd, current load) placement.Work {
	return current.ownWork.Plus(t.otherRelaysWork(now, engine.hash))
}

// retain forgets engines that are no longer listed.
func (t *loadTable) retain(listed map[uint64]*backEnd) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.engines, func(engine uint64, _ map[uint64]reportedWork) bool { return listed[engine] == nil })
}
