package property

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// request is one request of a caller; all its attempts carry the same bytes.
type request struct {
	number int
	kind   string
	// mark identifies the request in the counts of the back ends.
	mark   string
	method string
	path   string
	body   string
	// key is the idempotency key; empty for none.
	key    string
	tenant int
	stream bool
	// expected is the text of its complete response.
	expected string
}

// runsAtMostOnce reports whether one attempt of the request may run at most once.
func (r *request) runsAtMostOnce() bool { return r.kind == kindOnce || r.kind == kindRegister }

// isClaimed reports whether the request may run at most once over all of its attempts.
func (r *request) isClaimed() bool { return r.runsAtMostOnce() && r.key != "" }

// Shares of the kinds among a run's requests, in percent, and bounds of their sizes.
const (
	shareQuestion    = 35
	shareOrder       = 25
	shareUnkeyed     = 10
	shareListing     = 8
	maximumOutput    = 40
	longestPromptPad = 40
)

func drawRequest(random *rand.Rand, seed uint64, number int) *request {
	created := &request{number: number, tenant: random.IntN(len(tenantKeys)), stream: random.IntN(2) == 0}
	name := fmt.Sprintf("run %d request %d", seed, number)
	switch draw := random.IntN(100); {
	case draw < shareQuestion:
		created.kind = kindRepeatable
	case draw < shareQuestion+shareOrder:
		created.kind, created.key = kindOnce, name
	case draw < shareQuestion+shareOrder+shareUnkeyed:
		created.kind = kindOnce
	case draw < shareQuestion+shareOrder+shareUnkeyed+shareListing:
		created.kind, created.key = kindListing, name
	default:
		created.kind, created.key = kindRegister, name
	}
	switch created.kind {
	case kindListing:
		created.method, created.path = "GET", fmt.Sprintf("%s/%d", pathListing, number)
		created.mark, created.expected = name, page.Page(created.path)
	case kindRegister:
		created.method, created.path, created.body = "POST", pathRegister, "deposit of "+name
		created.mark, created.expected = name, page.Receipt(created.path, created.key, []byte(created.body))
	default:
		created.setChat(name+strings.Repeat(" lot", random.IntN(longestPromptPad)), 1+random.IntN(maximumOutput))
	}
	return created
}

// setChat makes the request a chat request to an engine.
func (r *request) setChat(prompt string, output int) {
	messages := []map[string]string{{"role": "user", "content": prompt}}
	body, _ := json.Marshal(map[string]any{ // strings and numbers always marshal
		"model": model, "stream": r.stream, "max_tokens": output, "messages": messages,
		"stream_options": map[string]bool{"include_usage": true},
	})
	hash := answertext.Hash(answertext.Prompt([]answertext.Message{{Role: "user", Content: prompt}}))
	r.method, r.path, r.body = "POST", enginecontract.PathChat, string(body)
	r.mark, r.expected = engine.PromptKey(hash), answertext.Text(hash, output)
}
