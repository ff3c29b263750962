// Package page is a stand-in for a page service: it serves pages, takes alerts and
// registrations, counts each by its idempotency key, and fails on demand.
//
// It shows the faults refuse, error, lose-answer, late, wrong-echo, truncate (Tokens
// is the number of bytes sent) and cut.
package page

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// Paths of the bench alone.
const (
	PathBenchFaults = "/bench/faults"
	PathBenchRuns   = "/bench/runs"
)

// otherExchange is the identity that a crossed answer carries.
const otherExchange = "00000000000000000000000000000bad"

// shutdownPatience is how long Close waits for answers.
const shutdownPatience = time.Second

// Config is what one page service replica is.
type Config struct {
	Name    string
	Service string
	Zone    string
	Address string // IP:port; port 0 takes a free one
	// ServiceTime is how long one answer takes.
	ServiceTime time.Duration
	Faults      []fault.Fault
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Report is the answer to GET /bench/runs.
type Report struct {
	Service string `json:"service"`
	// Executions counts executions by idempotency key.
	Executions map[string]int `json:"executions"`
	// Served counts all requests that ran.
	Served int `json:"served"`
	// Refused counts requests that did not run.
	Refused int `json:"refused"`
}

// Service is one replica. It is safe for concurrent use.
type Service struct {
	config  Config
	faults  *fault.Set
	address string

	mutex   sync.Mutex
	server  *crashable.Server // nil while crashed
	leaving bool
	report  Report
	// frozenUntil is when a freeze ends.
	frozenUntil time.Time
}

// Start starts a replica.
func Start(config Config) (*Service, error) {
	if config.Listen == nil {
		config.Listen = net.Listen
	}
	service := &Service{
		config: config, faults: fault.NewSet(config.Faults...), address: config.Address,
		report: Report{Service: config.Name, Executions: make(map[string]int)},
	}
	return service, trace.Wrap(service.Restart())
}

// Address is the IP:port the replica listens on.
func (s *Service) Address() string { return s.address }

// Name is the replica's name in the machine list.
func (s *Service) Name() string { return s.config.Name }

// Config is what the replica was started with.
func (s *Service) Config() Config { return s.config }

// Faults are the faults switched on.
func (s *Service) Faults() *fault.Set { return s.faults }

// Restart starts the process again after a Crash.
func (s *Service) Restart() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.server != nil {
		return nil
	}
	listener, err := s.config.Listen("tcp", s.address)
	if err != nil {
		return trace.Wrap(err, "page service %s can't listen on %s", s.config.Name, s.address)
	}
	s.address = listener.Addr().String()
	s.server = crashable.Start(listener, s.handle)
	return nil
}

// Crash breaks every connection and stops listening. The counts stay: they are the
// bench's own.
func (s *Service) Crash() {
	if server := s.take(); server != nil {
		server.Crash()
	}
}

// Close stops the replica; answers get a short time to end.
func (s *Service) Close() {
	if server := s.take(); server != nil {
		_ = server.Close(shutdownPatience) // it breaks what is left in any case
	}
}

func (s *Service) take() *crashable.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	server := s.server
	s.server = nil
	return server
}

// Freeze holds every answer back for a time, as a paused process does.
func (s *Service) Freeze(pause time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.frozenUntil = time.Now().Add(pause)
}

// Leave makes the replica refuse new work for good.
func (s *Service) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
}

// Runs reports what the replica ran since its first start.
func (s *Service) Runs() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.report
	report.Executions = make(map[string]int, len(s.report.Executions))
	for key, count := range s.report.Executions {
		report.Executions[key] = count
	}
	return report
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	s.mutex.Lock()
	pause := time.Until(s.frozenUntil)
	s.mutex.Unlock()
	time.Sleep(max(pause, 0))
	switch path := string(ctx.Path()); {
	case path == PathBenchRuns:
		s.writeJSON(ctx, s.Runs())
	case path == PathBenchFaults:
		s.serveFaults(ctx)
	case path == enginecontract.PathHealth:
		s.serveHealth(ctx)
	default:
		s.serveRequest(ctx)
	}
}

func (s *Service) serveHealth(ctx *fasthttp.RequestCtx) {
	s.setState(ctx)
	if s.isLeaving() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Service) serveFaults(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPut() {
		s.writeJSON(ctx, s.faults.Left())
		return
	}
	var faults []fault.Fault
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error("a list of faults is wanted: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.faults.Replace(faults)
}

// serveRequest runs one request of a caller.
func (s *Service) serveRequest(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(enginecontract.HeaderExchange, ctx.Request.Header.Peek(enginecontract.HeaderExchange))
	s.setState(ctx)
	if late, strikes := s.faults.Take(fault.Late); strikes {
		time.Sleep(late.Delay())
	}
	if s.isLeaving() {
		s.refuse(ctx, "leaving")
		return
	}
	if _, strikes := s.faults.Take(fault.Refuse); strikes {
		s.refuse(ctx, "refused on demand")
		return
	}
	body := s.run(ctx)
	if _, strikes := s.faults.Take(fault.LoseAnswer); strikes {
		crashable.Break(ctx.Conn())
		return
	}
	if _, strikes := s.faults.Take(fault.Error); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateMayHaveRun)
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetBodyString("failed on demand")
		return
	}
	if _, strikes := s.faults.Take(fault.WrongEcho); strikes {
		ctx.Response.Header.Set(enginecontract.HeaderExchange, otherExchange)
		body = Receipt("/another", "of another caller", nil)
	}
	s.send(ctx, body)
}

// run executes the request and counts it by its idempotency key.
func (s *Service) run(ctx *fasthttp.RequestCtx) string {
	time.Sleep(s.config.ServiceTime)
	key := string(ctx.Request.Header.Peek(enginecontract.HeaderIdempotencyKey))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.report.Served++
	if key != "" {
		s.report.Executions[key]++
	}
	if ctx.IsGet() {
		return Page(string(ctx.RequestURI()))
	}
	return Receipt(string(ctx.Path()), key, ctx.PostBody())
}

// send answers with a body, whole or as the faults want.
func (s *Service) send(ctx *fasthttp.RequestCtx, body string) {
	ctx.Response.Header.SetContentType("text/html; charset=utf-8")
	if ctx.IsPost() {
		ctx.Response.Header.SetContentType("application/json")
	}
	cut, strikes := s.faults.Take(fault.Truncate)
	if !strikes {
		cut, strikes = s.faults.Take(fault.Cut)
	}
	if !strikes {
		ctx.SetBodyString(body)
		return
	}
	connection := ctx.Conn()
	ctx.Response.SetBodyStreamWriter(func(out *bufio.Writer) {
		_, _ = out.WriteString(body[:min(cut.Tokens, len(body))]) // the connection breaks in any case
		_ = out.Flush()
		crashable.Break(connection)
	})
	ctx.Response.Header.SetContentLength(len(body))
}

func (s *Service) refuse(ctx *fasthttp.RequestCtx, why string) {
	s.mutex.Lock()
	s.report.Refused++
	s.mutex.Unlock()
	ctx.Response.Header.Set(enginecontract.HeaderRunState, enginecontract.RunStateNotRun)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(why)
}

func (s *Service) setState(ctx *fasthttp.RequestCtx) {
	state := enginecontract.StateServing
	if s.isLeaving() {
		state = enginecontract.StateLeaving
	}
	ctx.Response.Header.Set(enginecontract.HeaderEngineState, string(state))
}

func (s *Service) isLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving
}

func (s *Service) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	text, err := json.Marshal(value)
	if err != nil { // the shapes here always marshal
		panic(err)
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(text)
}

// Page is the page at a URI; it follows from the URI alone.
func Page(uri string) string {
	return fmt.Sprintf("<html><body><h1>%s</h1>%s</body></html>\n", uri, strings.Repeat("<p>lot and vacancy rows</p>", 40))
}

// Receipt is the answer to a request that changes something.
func Receipt(path, key string, body []byte) string {
	return fmt.Sprintf(`{"path":%q,"key":%q,"bytes":%d,"accepted":true}`, path, key, len(body))
}
