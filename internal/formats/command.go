package formats

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// CommandFormat returns the first format that has a command of the replicated log; false for a command that this build
// does not support.
func CommandFormat(command *v1.Command) (Number, bool) {
	switch command.GetBody().(type) {
	case *v1.Command_ApplyDeclaration, *v1.Command_BeginAuthority, *v1.Command_IssueOrder, *v1.Command_FinishOrder,
		*v1.Command_RecordEngine, *v1.Command_BeginClaim, *v1.Command_FinishClaim, *v1.Command_ExpireClaims,
		*v1.Command_RecordRequest, *v1.Command_AbortOrder, *v1.Command_LoseGateway, *v1.Command_PutDocument:
		return First, true
	case *v1.Command_RecordUsage, *v1.Command_CloseUsage, *v1.Command_SettleUsage, *v1.Command_SetReplicas,
		*v1.Command_RecordReplicaEnds, *v1.Command_GrantTrial, *v1.Command_ReleaseRequests, *v1.Command_AgreeFormat:
		return Second, true
	default:
		return 0, false
	}
}
