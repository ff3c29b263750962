package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
)

const (
	// cutContactTime is for how long after a cut began the requests at the cut gateway are not judged.
	cutContactTime = 3 * time.Second
	// cutDeadlineMs is the deadline of the request kinds of these tests.
	cutDeadlineMs = 2000
	// answersPerConnection is how many answers a back end of these tests gives on a connection on average.
	answersPerConnection = 3
	// pageText is the body of the answers of the page services of these tests.
	pageText = "page"
	// backEndsPerService is how many engines and how many page services there are.
	backEndsPerService = 4
)

// cutSite is a controller and gateways, the first of which has a path to the back ends that the test can break.
type cutSite struct {
	controller *quarantiningController
	path       *backEndPath
	cut        *testGateway
	others     []*testGateway
	// block, when not nil, holds up all answers of the back ends until it is closed; running counts the requests there.
	block   chan struct{}
	running atomic.Int64
	answers atomic.Int64
	// isLimited makes the back ends set a limit for all gateways together, which the tests do not reach.
	isLimited atomic.Bool
	keys      atomic.Int64
}

// startCutSite starts four engines, four page services and the given number of gateways with a sound path.
func startCutSite(t *testing.T, others int, block chan struct{}) *cutSite {
	site := &cutSite{block: block}
	var backEnds []*v1.BackEnd
	for number := range backEndsPerService {
		engine := httptest.NewServer(site.closingNowAndThen(startEngine(t)))
		page := httptest.NewServer(site.closingNowAndThen(http.HandlerFunc(servePageText)))
		for _, server := range []*httptest.Server{engine, page} {
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		}
		backEnds = append(backEnds,
			engineBackEnd(fmt.Sprint("e", number), strings.TrimPrefix(engine.URL, "http://"), v1.Role_ROLE_MIXED),
			pageBackEnd(fmt.Sprint("p", number), strings.TrimPrefix(page.URL, "http://")))
	}
	site.controller = &quarantiningController{testController: startController(t, backEnds...), ledger: quarantine.NewLedger(), informed: map[string]bool{}}
	site.controller.objects = append(site.controller.objects, cutKinds()...)
	site.controller.serveAs(t, site.controller)
	site.path = newBackEndPath(site.controller.address)
	site.cut = site.startGateway(t, "cut", Options{Listen: net.Listen, KeyCheckTimeout: patience, Dial: site.path.Dial})
	for number := range others {
		site.others = append(site.others, site.startGateway(t, fmt.Sprint("sound-", number), Options{Listen: net.Listen, KeyCheckTimeout: patience}))
	}
	return site
}

func (s *cutSite) startGateway(t *testing.T, name string, options Options) *testGateway {
	config := testSettings(s.controller.address)
	config.Name = name
	gateway := startWithOptions(t, config, options)
	require.Eventually(t, func() bool { return gateway.probe(t, metrics.PathReady) == http.StatusOK }, eventually, often)
	return gateway
}

// cutKinds returns a repeatable and a non-repeatable kind of both services.
func cutKinds() []*v1.Object {
	var kinds []*v1.Object
	for name, spec := range map[string]*v1.Kind{
		"cut-safe":      {Worth: 5, Repeatable: true, Service: "engines"},
		"cut-once":      {Worth: 5, Service: "engines"},
		"cut-page":      {Worth: 5, Repeatable: true, Service: "portal", Path: "/cut-page"},
		"cut-page-once": {Worth: 5, Service: "portal", Path: "/cut-registration"},
	} {
		kind := object(1, v1.ObjectType_OBJECT_TYPE_KIND, name)
		spec.DeadlineMs = cutDeadlineMs
		kind.Spec = &v1.Object_Kind{Kind: spec}
		kinds = append(kinds, kind)
	}
	return kinds
}

// servePageText answers as a page service.
func servePageText(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(enginecontract.HeaderExchange, request.Header.Get(enginecontract.HeaderExchange))
	_, _ = io.WriteString(writer, pageText)
}

// closingNowAndThen makes a back end close connections now and then, as servers do, and hold up its answers while the site
// asks for it.
func (s *cutSite) closingNowAndThen(backEnd http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.block != nil && request.Method == http.MethodPost {
			s.running.Add(1)
			<-s.block
		}
		if s.answers.Add(1)%answersPerConnection == 0 {
			writer.Header().Set("Connection", "close")
		}
		if s.isLimited.Load() {
			writer.Header().Set(enginecontract.HeaderRequestLimit, "1000")
		}
		backEnd.ServeHTTP(writer, request)
	})
}

// cutRequest is one kind of request of these tests.
type cutRequest struct {
	name, path, kind, body string
	// hasKey says that each request has an idempotency key of its own.
	hasKey bool
	// want is the text of the complete answer.
	want string
}

var cutRequests = []cutRequest{
	{name: "repeatable", path: enginecontract.PathChat, kind: "cut-safe", body: unstreamedBody, want: answerText},
	{name: "non-repeatable", path: enginecontract.PathChat, kind: "cut-once", body: unstreamedBody, hasKey: true, want: answerText},
	{name: "stream", path: enginecontract.PathChat, kind: "cut-safe", body: streamBody, want: answerText},
	{name: "non-repeatable stream", path: enginecontract.PathChat, kind: "cut-once", body: streamBody, hasKey: true, want: answerText},
	{name: "page", path: "/cut-page", want: pageText},
	{name: "non-repeatable page", path: "/cut-registration", hasKey: true, want: pageText},
}

// send sends one request and returns its answer, and whether it was served whole.
func (s *cutSite) send(t *testing.T, gateway *testGateway, request cutRequest) (callerAnswer, bool) {
	headers := map[string]string{HeaderKind: request.kind}
	if request.hasKey {
		headers[enginecontract.HeaderIdempotencyKey] = fmt.Sprint("key-", s.keys.Add(1))
	}
	answer := call(t, http.MethodPost, gateway.url+request.path, request.body, headers)
	isServed := answer.status == http.StatusOK && (answer.text == request.want && answer.isComplete || answer.body == request.want)
	return answer, isServed
}

// awaitServed waits until the gateway has served a request of each kind.
func (s *cutSite) awaitServed(t *testing.T, gateway *testGateway) {
	for _, request := range cutRequests {
		require.Eventually(t, func() bool { _, isServed := s.send(t, gateway, request); return isServed }, eventually, often)
	}
}

// countServed sends the given number of requests of each kind to a gateway and returns how many of them were served.
func (s *cutSite) countServed(t *testing.T, gateway *testGateway, name string, tries int) int {
	var total atomic.Int64
	var sending sync.WaitGroup
	for _, request := range cutRequests {
		sending.Go(func() {
			served, refused, slowest := 0, map[string]int{}, time.Duration(0)
			for range tries {
				began := time.Now()
				answer, isServed := s.send(t, gateway, request)
				slowest = max(slowest, time.Since(began))
				if isServed {
					served++
				} else {
					refused[fmt.Sprintf("%d %s %s", answer.status, answer.errorCode, answer.errorVerdict)]++
				}
			}
			t.Logf("%s, %s: %d of %d served, refusals %v, slowest answer %s", name, request.name, served, tries, refused, slowest.Round(time.Millisecond))
			total.Add(int64(served))
		})
	}
	sending.Wait()
	return int(total.Load())
}

// Guards against gateways that refuse or hold requests while they have no path to any back end although other gateways have
// one.
func TestAGatewayWithoutAPathToBackEndsServes(t *testing.T) {
	const tries = 8
	for _, fault := range []pathFault{pathHangs, pathResets, pathRefusesNew} {
		t.Run(fault.String(), func(t *testing.T) {
			site := startCutSite(t, 2, nil)
			for _, gateway := range append(site.others, site.cut) {
				site.awaitServed(t, gateway)
			}
			site.path.set(fault)
			time.Sleep(cutContactTime)
			served := site.countServed(t, site.cut, "cut", tries)
			others := 0
			for number, gateway := range site.others {
				others += site.countServed(t, gateway, fmt.Sprint("sound-", number), tries)
			}
			t.Logf("%d of %d served at the cut gateway, %d of %d at the others", served, tries*len(cutRequests), others, tries*len(cutRequests)*len(site.others))
			site.path.set(pathSound)
			site.awaitServed(t, site.cut)
			require.GreaterOrEqual(t, 3*len(site.others)*served, 2*others, "at least two thirds as many must be served at the cut gateway as at the others")
		})
	}
}
