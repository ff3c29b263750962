package lifecycle

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reload, a dump or a repeated SIGTERM that ends a process in the middle of its shutdown.
func TestDecide(t *testing.T) {
	const term, interrupt, hangup, dump, pipe = syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE
	for name, test := range map[string]struct {
		signals []os.Signal
		// gap is the time between two signals.
		gap  time.Duration
		want []Action
	}{
		"stop":                         {[]os.Signal{term}, 0, []Action{Stop}},
		"stop, repeated":               {[]os.Signal{term, term, term}, time.Second, []Action{Stop, Repeated, Repeated}},
		"reload, repeated":             {[]os.Signal{hangup, hangup}, 0, []Action{Reload, Reload}},
		"reload, then stop":            {[]os.Signal{hangup, term}, 0, []Action{Reload, Stop}},
		"stop, then reload":            {[]os.Signal{term, hangup}, 0, []Action{Stop, NotReloaded}},
		"stop, then dump":              {[]os.Signal{term, dump, dump}, 0, []Action{Stop, Dump, Dump}},
		"forwarded interrupt":          {[]os.Signal{interrupt, interrupt}, time.Millisecond, []Action{Stop, Repeated}},
		"second interrupt of a person": {[]os.Signal{interrupt, interrupt}, time.Second, []Action{Stop, Interrupted}},
		"stop, then interrupt":         {[]os.Signal{term, interrupt, interrupt}, time.Second, []Action{Stop, Repeated, Interrupted}},
		"interrupt, then stop":         {[]os.Signal{interrupt, term, term}, time.Second, []Action{Stop, Repeated, Repeated}},
		"output without a reader":      {[]os.Signal{pipe, term}, 0, []Action{Ignored, Stop}},
	} {
		t.Run(name, func(t *testing.T) {
			var decider Decider
			var got []Action
			for number, received := range test.signals {
				got = append(got, decider.Decide(received, time.Duration(number)*test.gap))
			}
			require.Equal(t, test.want, got)
		})
	}
}
