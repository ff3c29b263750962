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

// answerTokens are the tokens of every answer of a test engine.
var answerTokens = []string{"grade", " B", "+", ",", " hydraulics", " worn", "."}

// wholeText is the whole answer's text.
var wholeText = strings.Join(answerTokens, "")

// engineFault is one thing that a test engine does wrong.
type engineFault struct {
	// refuse answers with this status, code and run state before running.
	refuse   int
	code     string
	runState string
	// cutAfter closes the connection after so many tokens on it; resumable tells whether the
	// exchange lives on. Zero is no cut.
	cutAfter  int
	resumable bool
	// cutBeforeHead closes the connection before any answer.
	cutBeforeHead bool
	// foreignHead and foreignEvent answer with another exchange's identity, the event after
	// so many tokens.
	foreignHead  bool
	foreignEvent int
	// duplicate sends each token twice.
	duplicate bool
	// skip leaves out the token of this number.
	skip int
	// endAfter ends the body properly after so many tokens, without finish and [DONE].
	endAfter int
	// noDone, noFinish and noUsage leave out the end of the stream.
	noDone, noFinish, noUsage bool
	// errorAfter sends an error event after so many tokens.
	errorAfter int
	// stallAfter stops sending after so many tokens until the connection closes.
	stallAfter int
	// noise adds comments, unknown fields and unknown lines.
	noise bool
}

// testEngine is an engine that keeps to the contract, but for its faults.
type testEngine struct {
	server *httptest.Server

	mutex sync.Mutex
	// faults are used up one by one by new exchanges, resumeFaults by resumes.
	faults       []engineFault
	resumeFaults []engineFault
	// runs counts the exchanges that began to run.
	runs      int
	cancelled []string
	requests  []*http.Request
	bodies    []string
	exchanges map[string]int // exchange to its first token's number
	tokenTime time.Duration
	// tokens are those of each answer; default answerTokens.
	tokens []string
	role   enginecontract.Role
	// block, when set, holds every run until it is closed; holdAfter lets so many tokens
	// pass before.
	block     chan struct{}
	holdAfter int
}

func startEngine(t testing.TB, faults ...engineFault) *testEngine {
	engine := &testEngine{faults: faults, exchanges: map[string]int{}, tokens: answerTokens, role: enginecontract.RoleMixed}
	engine.server = httptest.NewServer(engine)
	t.Cleanup(func() {
		engine.server.CloseClientConnections()
		engine.server.Close()
	})
	return engine
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
	if e.holdAfter == 0 && !e.hold(request) {
		return
	}
	e.answer(writer, request, exchange, first, wrong, string(body))
}

// hold waits for the block's end; it reports false when the gateway went away.
func (e *testEngine) hold(request *http.Request) bool {
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

// answer writes the stream from token first+1 on, with the faults.
func (e *testEngine) answer(writer http.ResponseWriter, request *http.Request, exchange string, first int, wrong engineFault, body string) {
	switch {
	case wrong.refuse != 0:
		writeRefusal(writer, wrong.refuse, wrong.code, wrong.runState)
		return
	case wrong.cutBeforeHead:
		panic(http.ErrAbortHandler)
	case wrong.foreignHead:
		writer.Header().Set(enginecontract.HeaderExchange, "00000000000000000000000000000000")
	}
	if wrong.cutAfter > 0 && !wrong.resumable {
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
		if !e.token(out, request, number, wrong) {
			return
		}
		if number-first == wrong.cutAfter {
			panic(http.ErrAbortHandler)
		}
		if number == e.holdAfter && !e.hold(request) {
			return
		}
	}
	e.end(out, wrong)
}

// token writes one token with the faults; it reports false when the stream ends here.
func (e *testEngine) token(out *eventWriter, request *http.Request, number int, wrong engineFault) bool {
	if wrong.noise {
		out.raw(": comment\nevent: token\nid: 7\nunknown\n")
	}
	if wrong.foreignEvent == number {
		foreign := *out
		foreign.exchange = "ffffffffffffffffffffffffffffffff"
		foreign.token(number, "ANOTHER CALLER'S TEXT")
	}
	if wrong.skip != number {
		out.token(number, e.tokens[number-1])
	}
	if wrong.duplicate {
		out.token(number, e.tokens[number-1])
	}
	switch number {
	case wrong.stallAfter:
		<-request.Context().Done()
		return false
	case wrong.errorAfter:
		out.raw(fmt.Sprintf(`data: {"exchange":%q,"offset":%d,"error":{"message":"internal detail","code":"engine_error"}}`+"\n\n", out.exchange, number))
		return false
	case wrong.endAfter:
		return false
	}
	return true
}

func (e *testEngine) end(out *eventWriter, wrong engineFault) {
	last := len(e.tokens)
	if !wrong.noFinish {
		delta := `"delta":{}`
		if !out.chat {
			delta = `"text":""`
		}
		out.event(last, fmt.Sprintf(`"choices":[{"index":0,%s,"finish_reason":"stop"}]`, delta))
	}
	if !wrong.noUsage {
		out.event(last, fmt.Sprintf(`"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":%d,"total_tokens":%d}`, last, last+9))
	}
	if !wrong.noDone {
		out.raw("data: [DONE]\n\n")
	}
}

// eventWriter writes events as the contract shapes them.
type eventWriter struct {
	writer   http.ResponseWriter
	exchange string
	chat     bool
}

func (w *eventWriter) raw(text string) {
	_, _ = io.WriteString(w.writer, text) // a reader that went away needs no more
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
