package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// answerTokens are the tokens of each answer of a test engine.
var answerTokens = []string{"grade", " B", "+", ",", " hydraulics", " worn", "."}

// answerText is the text of the complete answer.
var answerText = strings.Join(answerTokens, "")

// engineFault is one fault of a test engine.
type engineFault struct {
	// refuse answers with this HTTP status, code and run state before the run starts.
	refuse   int
	code     string
	runState string
	// cutAfter closes the connection after this number of tokens; 0 means no cut. With resumable the exchange continues
	// at the engine and can be resumed.
	cutAfter  int
	resumable bool
	// cutBeforeHead closes the connection before the response header.
	cutBeforeHead bool
	// foreignHead sends the header, and foreignEvent the event after this number of tokens, with the ID of another
	// exchange.
	foreignHead  bool
	foreignEvent int
	// duplicate sends each token twice.
	duplicate bool
	// skip omits the token with this number.
	skip int
	// endAfter ends the body cleanly after this number of tokens, without a finish event and [DONE].
	endAfter int
	// noDone, noFinish and noUsage omit events at the end of the stream.
	noDone, noFinish, noUsage bool
	// errorAfter sends an error event after this number of tokens.
	errorAfter int
	// stallAfter sends nothing after this number of tokens until the connection closes.
	stallAfter int
	// noise adds comments, unknown fields and unknown lines.
	noise bool
}

// testEngine is an engine that follows the engine contract, except for its faults.
type testEngine struct {
	server *httptest.Server

	mutex sync.Mutex
	// New exchanges consume faults one by one, resumes consume resumeFaults.
	faults       []engineFault
	resumeFaults []engineFault
	// runs counts the exchanges that started to run.
	runs      int
	cancelled []string
	requests  []*http.Request
	bodies    []string
	exchanges map[string]int // the number of the first token, by exchange
	tokenTime time.Duration
	// tokens are the tokens of each answer; the default is answerTokens.
	tokens []string
	role   enginecontract.Role
	// limit, when not empty, is the request limit that the engine sets in its answers.
	limit string
	// block, when set, blocks every run until it is closed; blockAfter is the number of tokens sent
	// before.
	block      chan struct{}
	blockAfter int
}

func startEngine(t testing.TB, faults ...engineFault) *testEngine {
	engine := newEngine(faults...)
	engine.server = httptest.NewServer(engine)
	t.Cleanup(func() {
		engine.server.CloseClientConnections()
		engine.server.Close()
	})
	return engine
}

// newEngine returns an engine without a server.
func newEngine(faults ...engineFault) *testEngine {
	return &testEngine{faults: faults, exchanges: map[string]int{}, tokens: answerTokens, role: enginecontract.RoleMixed}
}

func (e *testEngine) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *testEngine) counts() (runs, requests, cancels int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs, len(e.requests), len(e.cancelled)
}

func (e *testEngine) nextFault(list *[]engineFault) engineFault {
	if len(*list) == 0 {
		return engineFault{}
	}
	next := (*list)[0]
	*list = (*list)[1:]
	return next
}

func (e *testEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	exchange := request.Header.Get(enginecontract.HeaderExchange)
	writer.Header().Set(enginecontract.HeaderExchange, exchange)
	writer.Header().Set(enginecontract.HeaderEngineState, string(enginecontract.StateServing))
	writer.Header().Set(enginecontract.HeaderEngineRole, string(e.role))
	writer.Header().Set(enginecontract.HeaderEngineLoad, "1,0,0")
	writer.Header().Set("X-Internal-Secret", "engine")
	if e.limit != "" {
		writer.Header().Set(enginecontract.HeaderRequestLimit, e.limit)
	}
	if id, ok := strings.CutPrefix(request.URL.Path, enginecontract.PathExchanges); ok {
		e.serveExchange(writer, request, id)
		return
	}
	body, _ := io.ReadAll(request.Body)
	e.mutex.Lock()
	e.requests = append(e.requests, request)
	e.bodies = append(e.bodies, string(body))
	wrong := e.nextFault(&e.faults)
	runs := wrong.refuse == 0
	if runs {
		e.runs++
	}
	first, _ := strconv.Atoi(request.Header.Get(enginecontract.HeaderContinueFrom))
	if runs && (!wrong.cutBeforeHead || wrong.resumable) {
		e.exchanges[exchange] = first
	}
	e.mutex.Unlock()
	if e.blockAfter == 0 && !e.waitForUnblock(request) {
		return
	}
	e.answer(writer, request, exchange, first, wrong, string(body))
}

// waitForUnblock waits until block is closed. It reports false when the gateway disconnected.
func (e *testEngine) waitForUnblock(request *http.Request) bool {
	if e.block == nil {
		return true
	}
	select {
	case <-e.block:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (e *testEngine) serveExchange(writer http.ResponseWriter, request *http.Request, id string) {
	e.mutex.Lock()
	_, known := e.exchanges[id]
	if request.Method == http.MethodDelete {
		e.cancelled = append(e.cancelled, id)
		delete(e.exchanges, id)
		e.mutex.Unlock()
		writer.Header().Set(enginecontract.HeaderRunState, enginecontract.RunStateMayHaveRun)
		fmt.Fprintf(writer, `{"exchange":%q,"run_state":"may-have-run"}`, id)
		return
	}
	wrong := e.nextFault(&e.resumeFaults)
	e.mutex.Unlock()
	if !known {
		writeRefusal(writer, http.StatusNotFound, enginecontract.CodeExchangeUnknown, enginecontract.RunStateMayHaveRun)
		return
	}
	offset, _ := strconv.Atoi(request.URL.Query().Get("offset"))
	e.answer(writer, request, id, offset, wrong, `{}`)
}

func writeRefusal(writer http.ResponseWriter, status int, code, runState string) {
	writer.Header().Set(enginecontract.HeaderRunState, runState)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(enginecontract.ErrorBody{Error: enginecontract.ErrorDetail{Message: "tenant secret", Code: code}})
}

// answer writes the stream from token first+1 on, with the given fault.
func (e *testEngine) answer(writer http.ResponseWriter, request *http.Request, exchange string, first int, fault engineFault, body string) {
	switch {
	case fault.refuse != 0:
		writeRefusal(writer, fault.refuse, fault.code, fault.runState)
		return
	case fault.cutBeforeHead:
		panic(http.ErrAbortHandler)
	case fault.foreignHead:
		writer.Header().Set(enginecontract.HeaderExchange, "00000000000000000000000000000000")
	}
	if fault.cutAfter > 0 && !fault.resumable {
		e.mutex.Lock()
		delete(e.exchanges, exchange)
		e.mutex.Unlock()
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	chat := !gjson.Get(body, "prompt").Exists()
	out := &eventWriter{writer: writer, exchange: exchange, chat: chat}
	for number := first + 1; number <= len(e.tokens); number++ {
		if e.tokenTime > 0 {
			time.Sleep(e.tokenTime)
		}
		if !e.token(out, request, number, fault) {
			return
		}
		if number-first == fault.cutAfter {
			panic(http.ErrAbortHandler)
		}
		if number == e.blockAfter && !e.waitForUnblock(request) {
			return
		}
	}
	e.end(out, fault)
}

// token writes one token with the given fault. It reports false when the stream ends here.
func (e *testEngine) token(out *eventWriter, request *http.Request, number int, fault engineFault) bool {
	if fault.noise {
		out.raw(": comment\nevent: token\nid: 7\nunknown\n")
	}
	if fault.foreignEvent == number {
		foreign := *out
		foreign.exchange = "ffffffffffffffffffffffffffffffff"
		foreign.token(number, "ANOTHER CALLER'S TEXT")
	}
	if fault.skip != number {
		out.token(number, e.tokens[number-1])
	}
	if fault.duplicate {
		out.token(number, e.tokens[number-1])
	}
	switch number {
	case fault.stallAfter:
		<-request.Context().Done()
		return false
	case fault.errorAfter:
		out.raw(fmt.Sprintf(`data: {"exchange":%q,"offset":%d,"error":{"message":"internal detail","code":"engine_error"}}`+"\n\n", out.exchange, number))
		return false
	case fault.endAfter:
		return false
	}
	return true
}

func (e *testEngine) end(out *eventWriter, fault engineFault) {
	last := len(e.tokens)
	if !fault.noFinish {
		delta := `"delta":{}`
		if !out.chat {
			delta = `"text":""`
		}
		out.event(last, fmt.Sprintf(`"choices":[{"index":0,%s,"finish_reason":"stop"}]`, delta))
	}
	if !fault.noUsage {
		out.event(last, fmt.Sprintf(`"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}`, last, last+9))
	}
	if !fault.noDone {
		out.raw("data: [DONE]\n\n")
	}
}

// eventWriter writes events in the format of the engine contract.
type eventWriter struct {
	writer   http.ResponseWriter
	exchange string
	chat     bool
}

func (w *eventWriter) raw(text string) {
	_, _ = io.WriteString(w.writer, text) // an error means that the reader disconnected
	w.writer.(http.Flusher).Flush()
}

func (w *eventWriter) event(offset int, rest string) {
	object := "chat.completion.chunk"
	if !w.chat {
		object = "text_completion"
	}
	w.raw(fmt.Sprintf(`data: {"id":"engine-id","object":%q,"created":1,"model":"base","exchange":%q,"offset":%d,%s}`+"\n\n", object, w.exchange, offset, rest))
}

func (w *eventWriter) token(number int, text string) {
	if w.chat {
		w.event(number, fmt.Sprintf(`"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]`, text))
		return
	}
	w.event(number, fmt.Sprintf(`"choices":[{"index":0,"text":%q,"finish_reason":null}]`, text))
}
