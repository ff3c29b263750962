package crashguard

import (
	"context"

	"connectrpc.com/connect"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
)

// LeaderClient is the Leader of a node that calls controllers. A controller that is not the leader forwards the calls.
type LeaderClient struct {
	// Client returns the client of the controller to call next.
	Client func() hazelpitchv1connect.NodeServiceClient
}

// ReportReplicaEnds implements Leader.
func (c LeaderClient) ReportReplicaEnds(ctx context.Context, ends, partEnds []*v1.ReplicaEnd) ([][]byte, error) {
	response, err := c.Client().ReportReplicaEnds(ctx, connect.NewRequest(&v1.ReportReplicaEndsRequest{Ends: ends, PartEnds: partEnds}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetHeld(), nil
}

// BeginTrial implements Leader.
func (c LeaderClient) BeginTrial(ctx context.Context, signature []byte) (bool, error) {
	response, err := c.Client().BeginTrial(ctx, connect.NewRequest(&v1.BeginTrialRequest{Signature: signature}))
	if err != nil {
		return false, err
	}
	return response.Msg.GetGranted(), nil
}

// ReleaseRequest implements Leader.
func (c LeaderClient) ReleaseRequest(ctx context.Context, signature []byte) error {
	_, err := c.Client().ReleaseRequest(ctx, connect.NewRequest(&v1.ReleaseRequestRequest{Signature: signature}))
	return err
}
