package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/http1/framing"
	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/standin/brokenanswer"
	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// wholeStream is the whole answer of an engine to a chat. EXCHANGE stands for the request's exchange.
const wholeStream = `data: {"id":"e","object":"chat.completion.chunk","created":1,"model":"base","exchange":"EXCHANGE","offset":1,"choices":[{"index":0,"delta":{"content":"text"}}]}` + "\n\n" +
	`data: {"id":"e","object":"chat.completion.chunk","created":1,"model":"base","exchange":"EXCHANGE","offset":1,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"id":"e","object":"chat.completion.chunk","created":1,"model":"base","exchange":"EXCHANGE","offset":1,"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":1,"total_tokens":10}}` + "\n\n" +
	"data: [DONE]\n\n"

// wholeCalls are the requests of callers with the whole answers of their back ends.
func wholeCalls() map[string]backEndCall {
	calls := backEndCalls()
	for name, each := range calls {
		if each.isStream {
			const identityBytes = 32 // of an exchange, which replaces EXCHANGE
			body := strings.ReplaceAll(wholeStream, "EXCHANGE", strings.Repeat("x", identityBytes))
			each.answer.Body = body // so that its length is right
			calls[name] = each
		}
	}
	return calls
}

// startSpoilt starts a server that sends a text as its answer to each request.
func startSpoilt(t *testing.T, text string) *halfhead.Server {
	t.Helper()
	text = strings.ReplaceAll(text, strings.Repeat("x", 32), "EXCHANGE")
	return startHalfHead(t, halfhead.Way{Text: text}, halfhead.Close)
}

// spoiltWays returns a way for each rule that an answer can break. Pages in chunks are refused unread. A stream has an end of its own, so
// that what is spoilt behind that spoils nothing that a caller gets.
func (c backEndCall) spoiltWays() []brokenanswer.Way {
	ways := brokenanswer.Heads(c.answer)
	if c.isStream {
		ways = append(ways, brokenanswer.Bodies(c.answer)...)
	}
	return slices.DeleteFunc(brokenanswer.OnePerRule(ways), func(way brokenanswer.Way) bool {
		return way.Rule == grammar.RuleTrailer || way.Rule == framing.RuleChunkEnd
	})
}

// Guards against an answer of an engine or a page service that is none by the grammar of HTTP/1.1, and that the caller gets as an answer
// or as not run. The log must name the back end and the rule.
func TestBrokenAnswerOfABackEndIsNotDelivered(t *testing.T) {
	t.Parallel()
	for name, test := range wholeCalls() {
		for _, way := range test.spoiltWays() {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				server := startSpoilt(t, way.Text)
				log := logring.New("g1", settings.Log{RingEntries: 256})
				config := testSettings(startController(t, test.backEnd(server.Address())).address)
				gateway := startWithOptions(t, config, Options{Listen: net.Listen, KeyCheckTimeout: patience, Log: log})
				var answer callerAnswer
				require.Eventually(t, func() bool { // until the gateway knows the back end
					answer = test.send(t, gateway)
					return server.Requests() > 0
				}, eventually, often)
				require.False(t, answer.status < 300 && (!test.isStream || answer.isComplete), "status %d, %q", answer.status, answer.body)
				for _, told := range []string{answer.verdict, answer.finalVerdict, answer.errorVerdict} {
					require.NotEqual(t, verdict.NotRun.String(), told)
					require.NotEqual(t, verdict.Ran.String(), told)
				}
				lines := strings.Builder{}
				require.NoError(t, log.WriteRecent(&lines))
				require.Contains(t, lines.String(), `"back_end":"broken"`)
				require.Contains(t, lines.String(), `"rule":"`+string(way.Rule)+`"`)
			})
		}
	}
}

// Guards against a broken answer that keeps a gateway from sending a repeatable request to another back end.
func TestBrokenAnswerOfABackEndIsReplacedByAWholeAnswer(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"repeatable page", "repeatable chat", "repeatable stream"} {
		test := wholeCalls()[name]
		for _, way := range test.spoiltWays() {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				server := startSpoilt(t, way.Text)
				page, engine := startPage(t, "sound", nil), startEngine(t)
				controller := startController(t, test.backEnd(server.Address()),
					pageBackEnd("sound-page", page.Address()), engineBackEnd("sound-engine", engine.address(), v1.Role_ROLE_MIXED))
				gateway := startGateway(t, testSettings(controller.address))
				for server.Requests() == 0 { // some are served by the sound back end at once
					answer := test.send(t, gateway)
					require.Equal(t, 200, answer.status, answer.body)
					require.Equal(t, test.isStream, answer.isComplete)
					require.NotEqual(t, test.answer.Body, answer.body)
				}
			})
		}
	}
}

// Guards against sound answers that are refused since few back ends send the like. Pages need a length.
func TestUnusualPagesAreDelivered(t *testing.T) {
	t.Parallel()
	test := wholeCalls()["non-repeatable page"]
	for _, unusual := range brokenanswer.UnusualAnswers(test.answer) {
		if unusual.Status >= 500 || strings.Contains(strings.ToLower(unusual.Text), "transfer-encoding") {
			continue
		}
		t.Run(unusual.Name, func(t *testing.T) {
			t.Parallel()
			gateway := startGateway(t, testSettings(startController(t, test.backEnd(startSpoilt(t, unusual.Text).Address())).address))
			answer := call(t, http.MethodPost, gateway.url+"/registrations", "", nil)
			require.Equal(t, unusual.Status, answer.status, answer.body)
			require.Equal(t, test.answer.Body, answer.body)
		})
	}
}

// Guards against an answer of a controller that is none by the grammar of HTTP/1.1, and that a gateway uses.
func TestBrokenAnswersOfControllersAreNotUsed(t *testing.T) {
	t.Parallel()
	for name, call := range controllerCalls() {
		body, err := proto.Marshal(call.response)
		require.NoError(t, err)
		answer := halfhead.Answer{Headers: "Content-Type: application/proto\r\n", Body: string(body)}
		ways := brokenanswer.Heads(answer)
		if answer.Body != "" {
			ways = append(ways, brokenanswer.Bodies(answer)...)
		}
		for _, way := range ways {
			t.Run(name+"/"+way.Name, func(t *testing.T) {
				t.Parallel()
				server := startHalfHead(t, halfhead.Way{Text: way.Text}, halfhead.Close)
				control, err := NewControl(testSettings(server.Address()), ControlOptions{Log: logring.New("g1", settings.Log{RingEntries: 16})})
				require.NoError(t, err)
				require.Error(t, call.call(t.Context(), control.controllers, server.Address()))
				require.NotZero(t, server.Requests())
			})
		}
	}
}
