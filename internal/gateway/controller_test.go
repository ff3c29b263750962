package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// testController is a controller that answers from a fixed state.
type testController struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	address string

	mutex     sync.Mutex
	revision  uint64
	objects   []*v1.Object
	directory *v1.Directory
	claims    map[string]*testClaim
	leaving   atomic.Bool
	// known is the directory version that the gateway last reported.
	known atomic.Uint64
	down  atomic.Bool
	// behind makes the answers report that configuration may be missing; synced, when not
	// nil, is called with each heartbeat.
	behind atomic.Bool
	synced func()
	// limits counts the requests to back ends that set limits, as a leader does.
	limits *fleetlimit.LimitCounters
	// unansweredPermits is the number of the next permit requests that get no answer.
	unansweredPermits atomic.Int32
	// permitRequests counts the requests for permits.
	permitRequests atomic.Int64
	// report answers reports; when nil, the answers contain no shares.
	report func(*v1.ReportRequest) (*v1.ReportResponse, error)
}

func (c *testController) Sync(_ context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, http.ErrServerClosed)
	}
	if request.Msg.GetLeaving() {
		c.leaving.Store(true)
	}
	c.known.Store(request.Msg.GetDirectoryVersion())
	if c.synced != nil {
		c.synced()
	}
	response := &v1.SyncResponse{
		Revision: c.revision, LeaderAddress: c.address, DirectoryVersion: c.directory.GetVersion(), Behind: c.behind.Load(),
	}
	if request.Msg.GetDirectoryVersion() != c.directory.GetVersion() {
		response.Directory = c.directory
	}
	for _, each := range c.objects {
		isTenant := each.GetKey().GetType() == v1.ObjectType_OBJECT_TYPE_TENANT
		if !isTenant && each.GetRevision() > request.Msg.GetRevision() {
			response.Objects = append(response.Objects, each)
		}
	}
	for _, hash := range request.Msg.GetUnknownKeyHashes() {
		owner := slices.IndexFunc(c.objects, func(each *v1.Object) bool {
			return slices.Contains(each.GetTenant().GetApiKeyHashes(), hash)
		})
		if owner < 0 {
			response.RejectedKeyHashes = append(response.RejectedKeyHashes, hash)
			continue
		}
		response.Objects = append(response.Objects, c.objects[owner])
	}
	return connect.NewResponse(response), nil
}

func (c *testController) Report(_ context.Context, request *connect.Request[v1.ReportRequest]) (*connect.Response[v1.ReportResponse], error) {
	if c.report == nil {
		return connect.NewResponse(&v1.ReportResponse{}), nil
	}
	response, err := c.report(request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// TakePermit grants permits as the leader does.
func (c *testController) TakePermit(ctx context.Context, request *connect.Request[v1.TakePermitRequest]) (*connect.Response[v1.TakePermitResponse], error) {
	c.permitRequests.Add(1)
	if c.unansweredPermits.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, http.ErrServerClosed)
	}
	named, _ := fleetlimit.FromWire(request.Msg.GetLimit())
	permitRequest := fleetlimit.PermitRequest{BackEnd: named.BackEnd, Limit: named.Limit, LimitFromBackEnd: request.Msg.GetHeard(), Rank: int(request.Msg.GetRank()), MustResume: request.Msg.GetOwed()}
	answer := c.limits.HandleRequest(time.Since(began), permitRequest, fleetlimit.FullFraction, 0)
	return connect.NewResponse(&v1.TakePermitResponse{
		Granted: answer.Granted, WaitUs: uint64(answer.Wait.Microseconds()), Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: named.BackEnd, Limit: answer.Limit}),
	}), nil
}

// began is the origin of the test controller's clock.
var began = time.Now()

// BeginClaim grants each claim once, as the replicated state does.
func (c *testController) BeginClaim(_ context.Context, request *connect.Request[v1.BeginClaimRequest]) (*connect.Response[v1.BeginClaimResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.down.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, http.ErrServerClosed)
	}
	claim := request.Msg.GetClaim()
	name := claim.GetTenant() + "/" + claim.GetKind() + "/" + claim.GetKey()
	stored, ok := c.claims[name]
	switch {
	case !ok:
		c.claims[name] = &testClaim{attempt: claim.GetAttempt(), hash: claim.GetBodyHash()}
		return connect.NewResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED}), nil
	case !bytes.Equal(stored.hash, claim.GetBodyHash()):
		return connect.NewResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_CONFLICT}), nil
	case stored.attempt == claim.GetAttempt() && stored.outcome == nil:
		return connect.NewResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_GRANTED}), nil
	case stored.outcome == nil:
		return connect.NewResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_RUNNING}), nil
	case stored.outcome.GetMayHaveRun():
		return connect.NewResponse(&v1.BeginClaimResponse{State: v1.ClaimState_CLAIM_STATE_UNKNOWN}), nil
	default:
		return connect.NewResponse(&v1.BeginClaimResponse{
			State: v1.ClaimState_CLAIM_STATE_FINISHED, Status: stored.outcome.GetStatus(),
			ContentType: stored.outcome.GetContentType(), Body: stored.outcome.GetBody(),
		}), nil
	}
}

// FinishClaim records an outcome or releases the claim.
func (c *testController) FinishClaim(_ context.Context, request *connect.Request[v1.FinishClaimRequest]) (*connect.Response[v1.FinishClaimResponse], error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	claim := request.Msg.GetClaim()
	name := claim.GetTenant() + "/" + claim.GetKind() + "/" + claim.GetKey()
	if stored, ok := c.claims[name]; ok && stored.attempt == claim.GetAttempt() {
		stored.outcome = claim
		if claim.GetNotRun() {
			delete(c.claims, name)
		}
	}
	return connect.NewResponse(&v1.FinishClaimResponse{}), nil
}

// replaceBackEnds replaces the directory and returns its version.
func (c *testController) replaceBackEnds(backEnds ...*v1.BackEnd) uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.directory = &v1.Directory{Version: c.directory.GetVersion() + 1, BackEnds: backEnds}
	return c.directory.GetVersion()
}

// outcomes counts the claims with an outcome.
func (c *testController) outcomes() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	recorded := 0
	for _, stored := range c.claims {
		if stored.outcome != nil {
			recorded++
		}
	}
	return recorded
}

// testClaim is one claim at the test controller.
type testClaim struct {
	attempt string
	hash    []byte
	outcome *v1.FinishClaim
}

func startController(t testing.TB, backEnds ...*v1.BackEnd) *testController {
	controller := &testController{
		revision: 1, objects: testObjects(), claims: map[string]*testClaim{},
		directory: &v1.Directory{Version: 1, BackEnds: backEnds}, limits: fleetlimit.NewLimitCounters(),
	}
	controller.serveAs(t, controller)
	return controller
}

// serveAs serves the node service with the given handler at a new address.
func (c *testController) serveAs(t testing.TB, service hazelpitchv1connect.NodeServiceHandler) {
	path, handler := hazelpitchv1connect.NewNodeServiceHandler(service)
	routes := http.NewServeMux()
	routes.Handle(path, handler)
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
}
