package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/metrics"
	"github.com/hazelpitch/hazelpitch/internal/quarantine"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/settings"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// crashingText is in the body of requests that crash every back end that runs them.
const crashingText = "ends its back end"

// crashingBackEnds are back ends of one service that stop when they run the crashing request.
type crashingBackEnds struct {
	mutex   sync.Mutex
	crashes int
}

// start starts one of the back ends and returns its address. answer handles all other requests.
func (c *crashingBackEnds) start(t *testing.T, answer http.Handler) string {
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if !strings.Contains(string(body), crashingText) {
			request.Body = io.NopCloser(strings.NewReader(string(body)))
			answer.ServeHTTP(writer, request)
			return
		}
		c.mutex.Lock()
		c.crashes++
		c.mutex.Unlock()
		_ = server.Listener.Close()
		go server.CloseClientConnections() // it waits for this handler, so it must not run here
		panic(http.ErrAbortHandler)
	})
	server.Start()
	t.Cleanup(func() { server.CloseClientConnections(); _ = server.Listener.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func (c *crashingBackEnds) crashCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.crashes
}

// quarantiningController quarantines requests as controllers do.
type quarantiningController struct {
	*testController
	ledger *quarantine.Ledger
	// informed holds the gateways that have reported the current quarantine version.
	informed map[string]bool
	// omitsQuarantine makes the answers omit the quarantine, as controllers of the first format do.
	omitsQuarantine bool
	// partCrashes counts the reported crashes by parts of prompts.
	partCrashes map[quarantine.Signature]int
}

// partCrashCount returns the number of reported crashes under a part.
func (c *quarantiningController) partCrashCount(part quarantine.Signature) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.partCrashes[part]
}

// quarantinePart quarantines a part of prompts, as the controllers do.
func (c *quarantiningController) quarantinePart(part quarantine.Signature) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for replica := range uint64(quarantine.PartThreshold) {
		c.ledger.RecordCrash(part, replica)
	}
	c.ledger.GrantTrial(part, 0)
}

// quarantineVersion is the version of a quarantine that is not empty.
const quarantineVersion = 7

// partVersionStep makes the version of the quarantine differ with the number of suspect parts.
const partVersionStep = 100

// Sync implements the node service: each answer contains the quarantined requests.
func (c *quarantiningController) Sync(ctx context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	response, err := c.testController.Sync(ctx, request)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	version := uint64(0)
	for _, suspect := range c.ledger.Suspects() {
		switch {
		case suspect.Signature.IsPart():
			version += partVersionStep
			response.Msg.SuspectParts = append(response.Msg.SuspectParts, &v1.SuspectPart{Signature: suspect.Signature[:], Quarantined: suspect.IsQuarantined()})
		case suspect.IsQuarantined():
			version = quarantineVersion
			response.Msg.Held = append(response.Msg.Held, &v1.HeldRequest{Signature: suspect.Signature[:]})
		}
	}
	response.Msg.HeldVersion, response.Msg.TellsParts = version, true
	if c.omitsQuarantine {
		response.Msg.HeldVersion, response.Msg.Held, response.Msg.SuspectParts, response.Msg.TellsParts = 0, nil, nil, false
	}
	c.informed[request.Msg.GetNode().GetName()] = version != 0 && request.Msg.GetHeldVersion() == version
	return response, nil
}

// crashesRecorded returns the number of crashes reported to the controller.
func (c *quarantiningController) crashesRecorded() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, suspect := range c.ledger.Suspects() {
		count += len(suspect.Replicas)
	}
	return count
}

// isKnownTo reports whether this number of gateways has reported the current quarantine version.
func (c *quarantiningController) isKnownTo(gateways int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, knows := range c.informed {
		if knows {
			count++
		}
	}
	return count == gateways
}

// ReportReplicaEnds implements the node service.
func (c *quarantiningController) ReportReplicaEnds(_ context.Context, request *connect.Request[v1.ReportReplicaEndsRequest]) (*connect.Response[v1.ReportReplicaEndsResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := &v1.ReportReplicaEndsResponse{}
	for _, end := range request.Msg.PartEnds {
		signature, _ := quarantine.SignatureFromBytes(end.Signature)
		c.partCrashes[signature]++
	}
	for _, end := range request.Msg.Ends {
		signature, _ := quarantine.SignatureFromBytes(end.Signature)
		c.ledger.RecordCrash(signature, end.Replica)
		if c.ledger.IsQuarantined(signature) {
			response.Held = append(response.Held, end.Signature)
		}
	}
	return connect.NewResponse(response), nil
}

// TestGatewaysKeepRequestsAwayThatEndBackEnds guards against one request that crashes back end after back end, of engines
// and of page services, also when each attempt comes through another gateway.
func TestGatewaysKeepRequestsAwayThatEndBackEnds(t *testing.T) {
	const chat = `{"model":"base","messages":[{"role":"user","content":%q}]}`
	planes := map[string]struct {
		// path and kind are those of the crashing request, which is not repeatable, so that each is sent to one
		// back end; soundPath and soundKind are those of repeatable requests.
		path, body, kind     string
		soundPath, soundKind string
		row                  func(number int, address string) *v1.BackEnd
		sound                func(t *testing.T, number int) http.Handler
	}{
		"engines": {
			path: "/v1/chat/completions", body: chat, kind: "once", soundPath: "/v1/chat/completions", soundKind: "matching",
			row: func(number int, address string) *v1.BackEnd {
				return engineBackEnd(fmt.Sprint("b", number), address, v1.Role_ROLE_MIXED)
			},
			sound: func(t *testing.T, _ int) http.Handler { return startEngine(t) },
		},
		"engines that read prompts for others": {
			path: "/v1/chat/completions", body: chat, kind: "once", soundPath: "/v1/chat/completions", soundKind: "matching",
			row: func(number int, address string) *v1.BackEnd {
				return engineBackEnd(fmt.Sprint("b", number), address, []v1.Role{v1.Role_ROLE_PREFILL, v1.Role_ROLE_DECODE}[number%2])
			},
			sound: func(t *testing.T, number int) http.Handler {
				engine := startEngine(t)
				engine.role = []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode}[number%2]
				return engine
			},
		},
		"pages": {
			path: "/registrations", body: `%s`, soundPath: "/lots",
			row: func(number int, address string) *v1.BackEnd { return pageBackEnd(fmt.Sprint("b", number), address) },
			sound: func(*testing.T, int) http.Handler {
				return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					writer.Header().Set("X-Exchange-Id", request.Header.Get("X-Exchange-Id"))
					_, _ = io.WriteString(writer, "page")
				})
			},
		},
	}
	for name, plane := range planes {
		t.Run(name, func(t *testing.T) {
			ending := &crashingBackEnds{}
			var backEnds []*v1.BackEnd
			for number := range 8 {
				backEnds = append(backEnds, plane.row(number, ending.start(t, plane.sound(t, number))))
			}
			controller := &quarantiningController{testController: startController(t, backEnds...), ledger: quarantine.NewLedger(), informed: map[string]bool{}, partCrashes: map[quarantine.Signature]int{}}
			controller.serveAs(t, controller)
			var gateways []*testGateway
			for number := range 2 {
				config := testSettings(controller.address)
				config.Name = fmt.Sprint("g", number)
				gateways = append(gateways, startGateway(t, config))
			}
			send := func(gateway *testGateway, content, path, kind string) callerAnswer {
				return call(t, http.MethodPost, gateway.url+path, fmt.Sprintf(plane.body, content), map[string]string{HeaderKind: kind})
			}
			sendEnding := func(gateway *testGateway) callerAnswer { return send(gateway, crashingText, plane.path, plane.kind) }
			sendSound := func(gateway *testGateway) int { return send(gateway, "sound", plane.soundPath, plane.soundKind).status }
			for _, gateway := range gateways {
				require.Equal(t, http.StatusOK, sendSound(gateway))
			}
			for retry := range quarantine.QuarantineThreshold {
				require.NotEqual(t, http.StatusOK, sendEnding(gateways[retry%2]).status)
				require.Eventually(t, func() bool { return controller.crashesRecorded() == retry+1 }, eventually, often)
			}
			require.Eventually(t, func() bool { return controller.isKnownTo(len(gateways)) }, eventually, often)
			for retry := range 8 {
				require.Equal(t, codeRequestQuarantined, sendEnding(gateways[retry%2]).errorCode)
			}
			require.Equal(t, quarantine.QuarantineThreshold, ending.crashCount())
			require.Eventually(t, func() bool {
				answer := sendEnding(gateways[0])
				return answer.errorCode == codeRequestQuarantined && answer.verdict == verdict.NotRun.String() && answer.header.Get("Retry-After") == "3"
			}, eventually, often)
			require.Equal(t, http.StatusOK, sendSound(gateways[1]))
		})
	}
}

// TestTheDirectoryTellsThatABackEndHasEnded guards against missing the crash of a back end that restarts at its address
// and accepts the gateway's probe: the directory shows a later incarnation, before or after the connection breaks.
func TestTheDirectoryTellsThatABackEndHasEnded(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	start := func(number int, incarnation uint64) routing.BackEnd {
		return routing.BackEnd{Name: fmt.Sprint("b", number), Incarnation: incarnation, Address: strings.TrimPrefix(server.URL, "http://")}
	}
	for name, shownBefore := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			_, factory := metrics.NewRegistry(role, "g", "z")
			options := ControlOptions{Log: logring.New("g", settings.Log{RingEntries: 16})}
			config := testSettings("127.0.0.1:1")
			guard, dispatcher, err := newGuardedDispatcher(newClock(), config, options, &permits{controllers: newControllers(config, nil, nil)}, newGatewayMetrics(factory))
			require.NoError(t, err)
			show := func(incarnation uint64) {
				var rows []routing.BackEnd
				for number := range quarantine.QuarantineThreshold {
					rows = append(rows, start(number, incarnation))
				}
				dispatcher.setBackEnds(rows)
			}
			show(1)
			if shownBefore {
				show(2)
			}
			signature := quarantine.SignatureOf("", "POST", "/", []byte("x"))
			for number := range quarantine.QuarantineThreshold {
				guard.RecordBrokenRun(quarantine.Content{Request: signature}, replicaOf(start(number, 1)), time.Second)
			}
			if !shownBefore {
				require.False(t, guard.IsQuarantined(quarantine.Content{Request: signature}), "it serves")
				show(2)
			}
			require.Eventually(t, func() bool { return guard.IsQuarantined(quarantine.Content{Request: signature}) }, time.Minute, time.Millisecond)
		})
	}
}

// TestGatewaysHoldRequestsOnUnderAControllerThatKnowsOfNone guards against lifting the quarantine when a controller of the
// first format, which sends no quarantine, answers.
func TestGatewaysHoldRequestsOnUnderAControllerThatKnowsOfNone(t *testing.T) {
	signature := quarantine.SignatureOf("", "", "", []byte("held"))
	controller := &quarantiningController{testController: startController(t), ledger: quarantine.NewLedger(), informed: map[string]bool{}, partCrashes: map[quarantine.Signature]int{}}
	for replica := range uint64(quarantine.QuarantineThreshold) {
		controller.ledger.RecordCrash(signature, replica)
	}
	controller.serveAs(t, controller)
	startGateway(t, testSettings(controller.address))
	require.Eventually(t, func() bool { return controller.isKnownTo(1) }, eventually, often)
	controller.setOmitsQuarantine(true)
	for range 5 {
		controller.awaitSync(t)
		require.True(t, controller.isKnownTo(1), "the gateway keeps the quarantine that it received before")
	}
}

func (c *quarantiningController) setOmitsQuarantine(silent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.omitsQuarantine = silent
}

// awaitSync waits for the next heartbeat.
func (c *quarantiningController) awaitSync(t *testing.T) {
	c.mutex.Lock()
	clear(c.informed)
	c.mutex.Unlock()
	require.Eventually(t, func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.informed) > 0
	}, eventually, often)
}
