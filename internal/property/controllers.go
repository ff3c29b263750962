package property

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// controllers is a stand-in for a quorum of controllers: two addresses in front of one replicated state, which
// handles claims with the code of the product. It is safe for concurrent use.
type controllers struct {
	hazelpitchv1connect.UnimplementedNodeServiceHandler
	configuration configuration
	server        *http.Server
	addresses     []string
	// answersToLose is the number of further claim calls whose responses are dropped.
	answersToLose atomic.Int64
	answersLost   atomic.Int64

	mutex sync.Mutex
	state *controlstate.State
	index uint64
}

var errAnswerLost = errors.New("the answer is lost")

func startControllers(memoryNet *network, addresses []string, declared configuration, off safeguard.Set) (*controllers, error) {
	created := &controllers{configuration: declared, addresses: addresses, state: controlstate.New(off)}
	path, handler := hazelpitchv1connect.NewNodeServiceHandler(created)
	routes := http.NewServeMux()
	routes.Handle(path, handler)
	created.server = &http.Server{Handler: routes, ReadHeaderTimeout: time.Minute}
	for _, address := range addresses {
		listener, err := memoryNet.listen("tcp", address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		go func() { _ = created.server.Serve(listener) }() // it returns when the server closes
	}
	return created, nil
}

func (c *controllers) close() { _ = c.server.Close() } // closing its in-memory listeners never fails

// apply applies one command to the replicated state, as the leader of the log does.
func (c *controllers) apply(command *v1.Command) controlstate.Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.index++
	command.ProposedAtMs = time.Now().UnixMilli()
	return c.state.Apply(c.index, command)
}

// markGatewayLost records in the replicated state that a gateway's process has exited.
func (c *controllers) markGatewayLost(name string) {
	c.apply(&v1.Command{Body: &v1.Command_LoseGateway{LoseGateway: &v1.LoseGateway{
		Gateway: name, Incarnation: uint64(time.Now().UnixNano()),
	}}})
}

// Sync returns the part of the configuration that the gateway does not have yet.
func (c *controllers) Sync(_ context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	response := &v1.SyncResponse{Revision: 1, LeaderAddress: c.addresses[0], DirectoryVersion: 1}
	if request.Msg.GetDirectoryVersion() != 1 {
		response.Directory = c.configuration.directory
	}
	if request.Msg.GetRevision() == 0 {
		response.Objects = append(response.Objects, c.configuration.objects...)
	}
	for _, hash := range request.Msg.GetUnknownKeyHashes() {
		if owner := c.configuration.tenants[hash]; owner != nil {
			response.Objects = append(response.Objects, owner)
		} else {
			response.RejectedKeyHashes = append(response.RejectedKeyHashes, hash)
		}
	}
	return connect.NewResponse(response), nil
}

// Report accepts a report and grants no permits, since no tenant of a run has limits.
func (c *controllers) Report(context.Context, *connect.Request[v1.ReportRequest]) (*connect.Response[v1.ReportResponse], error) {
	return connect.NewResponse(&v1.ReportResponse{}), nil
}

// BeginClaim applies the beginning of a claim to the replicated state.
func (c *controllers) BeginClaim(_ context.Context, request *connect.Request[v1.BeginClaimRequest]) (*connect.Response[v1.BeginClaimResponse], error) {
	result := c.apply(&v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: request.Msg.GetClaim()}})
	if err := c.answerError(result.Err); err != nil {
		return nil, err
	}
	return connect.NewResponse(result.Claim), nil
}

// FinishClaim applies the outcome of a claim to the replicated state.
func (c *controllers) FinishClaim(_ context.Context, request *connect.Request[v1.FinishClaimRequest]) (*connect.Response[v1.FinishClaimResponse], error) {
	result := c.apply(&v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: request.Msg.GetClaim()}})
	if err := c.answerError(result.Err); err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.FinishClaimResponse{}), nil
}

// answerError returns the error of a call whose response is dropped or whose command was refused; otherwise nil.
func (c *controllers) answerError(refused error) error {
	if c.answersToLose.Add(-1) >= 0 {
		c.answersLost.Add(1)
		return connect.NewError(connect.CodeUnavailable, errAnswerLost)
	}
	if refused != nil {
		return connect.NewError(connect.CodeInvalidArgument, refused)
	}
	return nil
}
