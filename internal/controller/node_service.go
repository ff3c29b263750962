package controller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// nodeService serves gateways and relays.
type nodeService struct{ *service }

// Sync answers a gateway's heartbeat from the applied state.
func (n nodeService) Sync(ctx context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input { return control.SyncReceived{Call: call, Request: request.Msg} },
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Sync))
}

// Report processes a gateway's demand report; the leader answers with the gateway's shares.
func (n nodeService) Report(ctx context.Context, request *connect.Request[v1.ReportRequest]) (*connect.Response[v1.ReportResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.ReportReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Report))
}

// Watch answers a relay when there is an update for it. A controller that does not lead answers the call itself and
// names the leader, which the relay then calls.
func (n nodeService) Watch(ctx context.Context, request *connect.Request[v1.WatchRequest]) (*connect.Response[v1.WatchResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.WatchReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Watch))
}

// ReportUsage processes a relay's report of the usage of tenants. It is forwarded to the leader, so that no
// report is lost when the leader has just changed.
func (n nodeService) ReportUsage(ctx context.Context, request *connect.Request[v1.ReportUsageRequest]) (*connect.Response[v1.ReportUsageResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.UsageReceived{Call: call, Report: request.Msg.GetReport()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReportUsage))
}

// ReportReplicaEnds processes a node's report of replica crashes; it is forwarded to the leader.
func (n nodeService) ReportReplicaEnds(ctx context.Context, request *connect.Request[v1.ReportReplicaEndsRequest]) (*connect.Response[v1.ReportReplicaEndsResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.ReplicaCrashesReceived{Call: call, Crashes: request.Msg.GetEnds(), PartCrashes: request.Msg.GetPartEnds()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReportReplicaEnds))
}

// BeginTrial requests permission to run a quarantined request once more; it is forwarded to the leader.
func (n nodeService) BeginTrial(ctx context.Context, request *connect.Request[v1.BeginTrialRequest]) (*connect.Response[v1.BeginTrialResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.TrialRequested{Call: call, Signature: request.Msg.GetSignature()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.BeginTrial))
}

// TakePermit requests permission to send a request to a back end that sets a limit; it is forwarded to the leader.
func (n nodeService) TakePermit(ctx context.Context, request *connect.Request[v1.TakePermitRequest]) (*connect.Response[v1.TakePermitResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.PermitRequested{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.TakePermit))
}

// ReadServedVersions asks which software versions can have begun streams; it is forwarded to the leader.
func (n nodeService) ReadServedVersions(ctx context.Context, request *connect.Request[v1.ReadServedVersionsRequest]) (*connect.Response[v1.ReadServedVersionsResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input { return control.VersionsRequested{Call: call} },
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReadServedVersions))
}

// ReleaseRequest reports that a quarantined request has run without a crash; it is forwarded to the leader.
func (n nodeService) ReleaseRequest(ctx context.Context, request *connect.Request[v1.ReleaseRequestRequest]) (*connect.Response[v1.ReleaseRequestResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.RequestReleased{Call: call, Signature: request.Msg.GetSignature()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReleaseRequest))
}

// BeginClaim requests permission to run a request that may run at most once.
func (n nodeService) BeginClaim(ctx context.Context, request *connect.Request[v1.BeginClaimRequest]) (*connect.Response[v1.BeginClaimResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.BeginClaimReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.BeginClaim))
}

// FinishClaim records the outcome of a claimed request.
func (n nodeService) FinishClaim(ctx context.Context, request *connect.Request[v1.FinishClaimRequest]) (*connect.Response[v1.FinishClaimResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.FinishClaimReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.FinishClaim))
}

// forwardToNode turns a method of the node service's client into a forwardCall.
func forwardToNode[Request, Response any](
	method func(hazelpitchv1connect.NodeServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) forwardCall[Request, Response] {
	return func(ctx context.Context, peers *http.Client, baseURL string, request *connect.Request[Request]) (*connect.Response[Response], error) {
		return method(hazelpitchv1connect.NewNodeServiceClient(peers, baseURL), ctx, request)
	}
}
