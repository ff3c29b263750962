package control

import (
	"math"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/formats"
	"github.com/hazelpitch/hazelpitch/internal/shares"
)

// maximumShareDemands is the maximum number of tenants in one report; further ones are ignored.
const maximumShareDemands = 4096

// handleSync answers a gateway's heartbeat from the state applied here.
func (c *Core) handleSync(received SyncReceived) {
	request := received.Request
	c.tracker.RecordHeartbeat(c.now, request.GetNode(), request.GetRevision(), request.GetLeaving())
	delta := c.state.Delta(c.deltaRequest(request))
	behind := c.consensus.Leader() == "" || request.GetRevision() > c.state.Revision() || !c.canInitialize(request)
	if behind {
		delta.RejectedKeyHashes = nil // a newer configuration may know them
	}
	response := &v1.SyncResponse{
		Revision: delta.Revision, Full: delta.Full, Objects: delta.Objects, RejectedKeyHashes: delta.RejectedKeyHashes,
		LeaderAddress: c.consensus.LeaderAddress(), Behind: behind,
	}
	for _, member := range c.consensus.Membership().GetMembers() {
		response.ControllerAddresses = append(response.ControllerAddresses, member.Address)
	}
	response.Formats = formats.Supported().ToWire()
	response.TellsHeld = !behind && c.knowsQuarantined()
	response.TellsParts = response.TellsHeld
	if response.TellsHeld {
		quarantined, version := c.quarantinedRequests()
		if response.HeldVersion = version; version != request.GetHeldVersion() {
			response.Held, response.SuspectParts = quarantined, c.quarantine.parts
		}
	}
	c.addDirectory(response, request)
	c.answer(Answer{Call: received.Call, Response: response})
}

// canInitialize reports whether a node may start with the configuration revision of this controller. A node that
// reports no revision may have had a later one before it restarted; only a leader with a valid lease is certain to
// hold the latest revision.
func (c *Core) canInitialize(request *v1.SyncRequest) bool {
	return request.GetRevision() != 0 || c.canAnswerAsLeader()
}

func (c *Core) deltaRequest(request *v1.SyncRequest) controlstate.DeltaRequest {
	query := controlstate.DeltaRequest{
		Revision: request.Revision, HeldTenants: request.HeldTenants, UnknownKeyHashes: request.UnknownKeyHashes,
	}
	if !c.config.Safeguards.IsEnabled(SafeguardRevisionOrder) && request.Revision > c.state.Revision() {
		query.Revision = 0
	}
	return query
}

// addDirectory adds the directory of back ends to the response unless the gateway holds its version already.
func (c *Core) addDirectory(response *v1.SyncResponse, request *v1.SyncRequest) {
	directory, credible := c.tracker.Directory(c.now, request.GetNode().GetZone())
	response.DirectoryAgeMs = milliseconds(directory.Age)
	if !credible {
		response.DirectoryVersion = request.DirectoryVersion
		return
	}
	response.DirectoryVersion = directory.Version
	if directory.Version != request.DirectoryVersion {
		response.Directory = &v1.Directory{Version: directory.Version, BackEnds: directory.BackEnds(c.now)}
	}
}

// milliseconds converts an age to milliseconds and rounds up, so that an age is never understated.
func milliseconds(age time.Duration) uint32 {
	rounded := age / time.Millisecond
	if age%time.Millisecond != 0 {
		rounded++
	}
	return uint32(min(int64(rounded), math.MaxUint32))
}

// handleReport records a gateway's demand and answers with its shares.
func (c *Core) handleReport(received ReportReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	request := received.Request
	node := request.GetNode()
	c.tracker.RecordHeartbeat(c.now, node, request.Revision, false)
	if request.WindowMs > 0 || len(request.Demands) > 0 { // else it asks for shares only
		c.demands.RecordReport(c.now, node, request)
	}
	c.recordGatewayLimits(request.GetLimits())
	c.recordSoundRuns(request.GetSoundRuns())
	response := &v1.ReportResponse{Limits: c.limitsForGateways()}
	for _, demand := range c.shareDemands(request) {
		tenant := c.state.Object(v1.ObjectType_OBJECT_TYPE_TENANT, demand.Tenant).GetTenant()
		limits := shares.Limits{TokensPerSecond: tenant.GetTokensPerSecond(), Concurrency: tenant.GetConcurrency()}
		if share := c.divider.Divide(c.now, node.GetName(), demand, limits); share != nil {
			response.Shares = append(response.Shares, share)
		}
	}
	c.answer(Answer{Call: received.Call, Response: response})
}

// shareDemands returns the demands that get a share now: none before this leader's authority
// is in the log, and at most maximumShareDemands.
func (c *Core) shareDemands(request *v1.ReportRequest) []*v1.ShareDemand {
	if epoch, _ := c.state.Authority(); epoch != c.leadingTerm {
		return nil
	}
	return request.ShareDemands[:min(len(request.ShareDemands), maximumShareDemands)]
}

// handleBeginClaim proposes a claim, which is granted once the command is applied.
func (c *Core) handleBeginClaim(received BeginClaimReceived) {
	command := &v1.Command{Body: &v1.Command_BeginClaim{BeginClaim: received.Request.GetClaim()}}
	c.proposeForCall(command, received.Call, func(core *Core, result controlstate.Result) {
		if result.Err != nil {
			core.refuse(received.Call, result.Err)
			return
		}
		core.answer(Answer{Call: received.Call, Response: result.Claim})
	})
}

// handleFinishClaim proposes the outcome of a claimed request.
func (c *Core) handleFinishClaim(received FinishClaimReceived) {
	command := &v1.Command{Body: &v1.Command_FinishClaim{FinishClaim: received.Request.GetClaim()}}
	c.proposeForCall(command, received.Call, func(core *Core, result controlstate.Result) {
		if result.Err != nil {
			core.refuse(received.Call, result.Err)
			return
		}
		core.answer(Answer{Call: received.Call, Response: &v1.FinishClaimResponse{}})
	})
}
