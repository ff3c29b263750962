package check

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/soak/history"
)

// Guards against checks that pass over an empty or short answer that is framed as whole, when the back end stopped within its head or
// within its body.
func TestHalfAnswersAreFound(t *testing.T) {
	const whole, wholeStream = "body", "id: 1\ndata: r a\n\nid: 2\ndata: r end\n\n"
	for _, route := range []string{"safe", "unsafe", "stream", "once"} {
		body := whole
		if route == "stream" || route == "once" {
			body = wholeStream
		}
		for name, change := range map[string]func(*history.Sending){
			"empty":                 func(s *history.Sending) { s.Body = "" },
			"empty, without a seal": func(s *history.Sending) { s.Body, s.Seal = "", "" },
			"empty, ends with its connection, without a seal": func(s *history.Sending) { s.Body, s.Seal, s.EndsWithConnection = "", "", true },
			"short":                           func(s *history.Sending) { s.Body = body[:len(body)/2] },
			"short, without a seal":           func(s *history.Sending) { s.Body, s.Seal = body[:len(body)/2], "" },
			"empty, ends with its connection": func(s *history.Sending) { s.Body, s.EndsWithConnection = "", true },
		} {
			recorded := historyWith(func(h *history.History) {
				sending := request("1", route, second)
				sending.Body = body
				change(&sending)
				arrival := ranAt("1", "r", second)
				arrival.Body = body
				h.Sendings, h.Arrivals = []history.Sending{sending}, []history.Arrival{arrival}
			})
			require.NotEmpty(t, append(mixed(recorded), order(recorded)...), "%s, %s", route, name)
		}
	}
}
