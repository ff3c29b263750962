package replacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against answers that are ended for an attempt that the request must not make or that cannot end in time.
func TestOnlyARequestWithTimeMayBeSentAgain(t *testing.T) {
	for name, test := range map[string]struct {
		request  Request
		expected bool
	}{
		"much time":           {Request{TimeLeft: 5 * time.Second, UsualTime: time.Second}, true},
		"just enough time":    {Request{TimeLeft: time.Second, UsualTime: time.Second}, true},
		"too little time":     {Request{TimeLeft: time.Second - 1, UsualTime: time.Second}, false},
		"usual time unknown":  {Request{TimeLeft: 1}, true},
		"over":                {Request{}, false},
		"client disconnected": {Request{TimeLeft: 5 * time.Second, IsCancelled: true}, false},
		"quarantined":         {Request{TimeLeft: 5 * time.Second, IsQuarantined: true}, false},
	} {
		require.Equal(t, test.expected, test.request.MayBeSentAgain(), name)
	}
}
