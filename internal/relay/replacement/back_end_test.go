package replacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers that are ended for a back end that cannot take the request.
func TestOnlyABackEndWithRoomCanTakeOver(t *testing.T) {
	const limit = time.Second
	for name, test := range map[string]struct {
		backEnd  BackEnd
		expected bool
	}{
		"idle":                     {BackEnd{Slots: 8}, true},
		"one slot free":            {BackEnd{Running: 7, Slots: 8}, true},
		"slots unknown":            {BackEnd{Running: 100}, true},
		"answers others":           {BackEnd{SilentFor: limit/2 - 1, Slots: 8}, true},
		"all slots taken":          {BackEnd{Running: 8, Slots: 8}, false},
		"tried":                    {BackEnd{IsTried: true}, false},
		"leaving":                  {BackEnd{IsClosed: true}, false},
		"limited":                  {BackEnd{IsLimited: true}, false},
		"in backoff":               {BackEnd{SendDelay: 1}, false},
		"avoided after a failure":  {BackEnd{AvoidedFor: 1}, false},
		"silent for half as long":  {BackEnd{SilentFor: limit / 2}, false},
		"silent for the same time": {BackEnd{SilentFor: limit}, false},
	} {
		require.Equal(t, test.expected, test.backEnd.CanTakeOver(limit), name)
	}
}
