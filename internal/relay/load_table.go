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
	engines map[uint64]map[uint64]toldWork
	// sequences are the newest notices of each relay.
	sequences map[uint64]uint64
	// heardAt is when the last notice came.
	heardAt time.Duration
}

// toldWork is one relay's work at one engine, and when it was told.
type toldWork struct {
	work placement.Work
	at   time.Duration
}

func newLoadTable() *loadTable {
	return &loadTable{engines: map[uint64]map[uint64]toldWork{}, sequences: map[uint64]uint64{}}
}

// take notes what a relay told; older notices than the last are dropped. It reports
// whether the notice was new.
func (t *loadTable) take(now time.Duration, notice *v1.LoadNotice) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	relay := notice.GetRelay()
	if notice.GetSequence() <= t.sequences[relay] {
		return false
	}
	t.sequences[relay] = notice.GetSequence()
	t.heardAt = now
	for _, engine := range notice.GetEngines() {
		relays := t.engines[engine.GetEngine()]
		if relays == nil {
			relays = map[uint64]toldWork{}
			t.engines[engine.GetEngine()] = relays
		}
		told := placement.Work{Prefills: int(engine.GetPrompts()), Streams: int(engine.GetStreams()), Tokens: tokensFromWire(engine.GetPromptTokens())}
		if told == (placement.Work{}) {
			delete(relays, relay)
			continue
		}
		relays[relay] = toldWork{work: told, at: now}
	}
	return true
}

// lastHeard is when the last notice of another relay came.
func (t *loadTable) lastHeard() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.heardAt
}

// others sums what other relays have under way at an engine.
func (t *loadTable) others(now time.Duration, engine uint64) placement.Work {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := placement.Work{}
	for relay, told := range t.engines[engine] {
		if now-told.at > noticeLifetime {
			delete(t.engines[engine], relay)
			continue
		}
		sum = sum.Plus(told.work)
	}
	return sum
}

// total is the work of all relays at an engine, as far as is known; seen is what this relay
// knows of the engine itself.
func (t *loadTable) total(now time.Duration, engine *backEnd, seen load) placement.Work {
	return seen.own.Plus(t.others(now, engine.hash))
}

// keep forgets engines that are no longer listed.
func (t *loadTable) keep(listed map[uint64]*backEnd) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.engines, func(engine uint64, _ map[uint64]toldWork) bool { return listed[engine] == nil })
}
