package controller

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// nodeService answers gateways.
type nodeService struct{ *service }

// Sync answers a gateway's heartbeat from the applied state.
func (n nodeService) Sync(ctx context.Context, request *connect.Request[v1.SyncRequest]) (*connect.Response[v1.SyncResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input { return control.SyncReceived{Call: call, Request: request.Msg} },
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Sync))
}

// Report takes a gateway's demand; the leader answers with its shares.
func (n nodeService) Report(ctx context.Context, request *connect.Request[v1.ReportRequest]) (*connect.Response[v1.ReportResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.ReportReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Report))
}

// Watch tells a relay what is new; it is not passed on, since the relay asks the leader itself.
func (n nodeService) Watch(ctx context.Context, request *connect.Request[v1.WatchRequest]) (*connect.Response[v1.WatchResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.WatchReceived{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.Watch))
}

// ReportUsage takes a relay's report of what tenants used; it is passed on, since a leader that has
// just changed must not cost a report.
func (n nodeService) ReportUsage(ctx context.Context, request *connect.Request[v1.ReportUsageRequest]) (*connect.Response[v1.ReportUsageResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.UsageReceived{Call: call, Report: request.Msg.GetReport()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReportUsage))
}

// ReportReplicaEnds takes a node's word on replicas that ended; it is passed on to the leader.
func (n nodeService) ReportReplicaEnds(ctx context.Context, request *connect.Request[v1.ReportReplicaEndsRequest]) (*connect.Response[v1.ReportReplicaEndsResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.ReplicaCrashesReceived{Call: call, Crashes: request.Msg.GetEnds()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReportReplicaEnds))
}

// BeginTrial asks for the right to run a held request once more; it is passed on to the leader.
func (n nodeService) BeginTrial(ctx context.Context, request *connect.Request[v1.BeginTrialRequest]) (*connect.Response[v1.BeginTrialResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.TrialRequested{Call: call, Signature: request.Msg.GetSignature()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.BeginTrial))
}

// TakePermit asks for the right to send a request to a back end that names a limit; it is passed on to the leader.
func (n nodeService) TakePermit(ctx context.Context, request *connect.Request[v1.TakePermitRequest]) (*connect.Response[v1.TakePermitResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.PermitRequested{Call: call, Request: request.Msg}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.TakePermit))
}

// ReleaseRequest tells that a held request has run well; it is passed on to the leader.
func (n nodeService) ReleaseRequest(ctx context.Context, request *connect.Request[v1.ReleaseRequestRequest]) (*connect.Response[v1.ReleaseRequestResponse], error) {
	return serve(ctx, n.service, request,
		func(call control.CallID) control.Input {
			return control.RequestReleased{Call: call, Signature: request.Msg.GetSignature()}
		},
		forwardToNode(hazelpitchv1connect.NodeServiceClient.ReleaseRequest))
}

// BeginClaim asks for the right to run a request that may run at most once.
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

// forwardToNode makes a forwardCall of a method of the node service's client.
func forwardToNode[Request, Response any](
	method func(hazelpitchv1connect.NodeServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) forwardCall[Request, Response] {
	return func(ctx context.Context, peers *http.Client, baseURL string, request *connect.Request[Request]) (*connect.Response[Response], error) {
		return method(hazelpitchv1connect.NewNodeServiceClient(peers, baseURL), ctx, request)
	}
}
