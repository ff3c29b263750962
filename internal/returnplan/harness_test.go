package returnplan

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

const (
	span = 50 * time.Millisecond
	// clientTimeout is how long the clients of the tests wait, unless a test says otherwise.
	clientTimeout = 10 * time.Second
)

// TestMain fixes the seed of the property tests so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testOwner asks a Plan for promises to distinct signatures.
type testOwner struct {
	plan      *Plan
	random    *rand.Rand
	signature uint64
}

func newTestOwner() *testOwner {
	return &testOwner{plan: New(span), random: rand.New(rand.NewPCG(1, 2))}
}

// refuse asks for a promise to a client that was not refused before, with a signature of its own.
func (o *testOwner) refuse(now time.Duration, room Room, tenant uint64, level int) (at time.Duration, promised bool) {
	return o.refuseCaller(now, room, Caller{Tenant: tenant, Level: level, FirstRefusedAt: now})
}

func (o *testOwner) refuseCaller(now time.Duration, room Room, caller Caller) (at time.Duration, promised bool) {
	o.signature++
	caller.Signature = o.signature
	return o.plan.Promise(now, caller, room, now+clientTimeout, o.random.Float64())
}

// waits are the waiting times of the promises to one kind of callers.
type waits struct {
	sum             time.Duration
	promised, asked int
}

func (w *waits) add(wait time.Duration, promised bool) {
	w.asked++
	if promised {
		w.promised++
		w.sum += wait
	}
}

func (w *waits) mean() time.Duration { return w.sum / time.Duration(max(w.promised, 1)) }

// countBySpan returns the number of outstanding promises by span.
func countBySpan(plan *Plan) map[time.Duration]int {
	counts := map[time.Duration]int{}
	for _, each := range plan.promises.byTime {
		counts[each.DueAt.Truncate(span)]++
	}
	return counts
}
