package replacement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against answers that are ended for an attempt that the request must not or need not make.
func TestOnlyAnOpenRequestMayBeSentAgain(t *testing.T) {
	for name, test := range map[string]struct {
		request  Request
		expected bool
	}{
		"open":        {Request{}, true},
		"over":        {Request{IsOver: true}, false},
		"quarantined": {Request{IsQuarantined: true}, false},
	} {
		require.Equal(t, test.expected, test.request.MayBeSentAgain(), name)
	}
}
