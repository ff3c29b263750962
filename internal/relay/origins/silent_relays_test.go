package origins

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Guards against a stream that goes on at another version than the one that began it, at a relay whose list is old and that gets no
// answers: the silence of other relays was taken for their agreement, and a list without a second version for proof.
func TestSilenceOfOtherRelaysIsNoEvidence(t *testing.T) {
	for name, silence := range map[string]struct{ losesOwn, losesOthers int64 }{
		"queries are lost":                {0, math.MaxInt64},
		"answers are lost":                {math.MaxInt64, 0},
		"datagrams are lost in both ways": {math.MaxInt64, math.MaxInt64},
	} {
		for listing, listedFor := range map[string]time.Duration{"listed a moment ago": 0, "listed for as long as a stream can last": testLifetime} {
			t.Run(name+", "+listing, func(t *testing.T) {
				t.Parallel()
				relays := startRelays(t, 3)
				outOfStep, others := relays[0], relays[1:]
				for _, relay := range relays {
					relay.list("v1")
				}
				outOfStep.clock.Add(int64(listedFor))
				for _, relay := range others {
					relay.list("v1", "v2")
				}
				stream := streamorigin.NameOf("", "host", "id-1")
				outOfStep.losesNext.Store(math.MaxInt64)
				others[0].Record(stream, testService, recordOf("v2"))
				require.Eventually(t, func() bool { return others[1].HeldCount() == 1 && others[0].pendingCount() == 0 }, time.Minute, time.Millisecond)
				outOfStep.losesNext.Store(silence.losesOwn)
				for _, relay := range others {
					relay.losesNext.Store(silence.losesOthers)
				}
				record, outcome := outOfStep.search(stream, testService, nil)
				require.LessOrEqual(t, record.Version, streamorigin.Unknown, "went on by %s", outcome)
				for _, relay := range relays {
					relay.losesNext.Store(0)
				}
				record, _ = outOfStep.search(stream, testService, nil)
				require.Equal(t, recordOf("v2"), record, "other relays answer again")
			})
		}
	}
}
