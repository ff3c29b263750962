package control

import (
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// handleExecute answers a query or carries out a command.
func (c *Core) handleExecute(received ExecuteReceived) {
	statement, err := language.ParseStatement(received.Request.GetText())
	if err != nil {
		c.refuse(received.Call, err)
		return
	}
	denied := c.checkRole(received, statement)
	if _, dump := statement.(language.DumpLogs); dump && denied == nil {
		c.dumpLogs(received)
		return
	}
	if !c.requireLeader(received.Call) {
		return
	}
	command, isCommand := statement.(language.Command)
	if denied != nil {
		c.refuseAudited(received, denied)
		return
	}
	if !isCommand {
		c.evaluate(received, statement)
		return
	}
	c.executeCommand(received, command)
}

// checkRole returns an error unless the operator has the role that a statement requires.
func (c *Core) checkRole(received ExecuteReceived, statement language.Statement) error {
	required := statement.RequiredRole()
	if language.RoleAllows(received.Role, required) {
		return nil
	}
	return trace.AccessDenied("operator %q has role %s; this needs %s",
		received.Operator, language.OperatorRoleName(received.Role), language.OperatorRoleName(required))
}

// refuseAudited refuses a command at the leader and records the refusal in the audit trail.
func (c *Core) refuseAudited(received ExecuteReceived, err error) {
	c.auditRefusal(received.Operator, received.Request.RequestId, received.Request.Text, err)
	c.refuse(received.Call, err)
}

// handleRefusal refuses a call that the runtime did not authorize, and records the refusal in the
// audit trail.
func (c *Core) handleRefusal(received RefusalReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	c.auditRefusal(received.Operator, received.RequestID, received.Text, received.Err)
	c.refuse(received.Call, received.Err)
}

// auditRefusal records a refused command in the audit trail.
func (c *Core) auditRefusal(operator, requestID, text string, err error) {
	c.proposeWithoutCall(&v1.Command{Body: &v1.Command_RecordRequest{RecordRequest: &v1.RecordRequest{
		Operator: operator, RequestId: requestID, Text: text, Refusal: oneLine(err),
	}}})
}

// evaluate answers a query from the applied state.
func (c *Core) evaluate(received ExecuteReceived, statement language.Statement) {
	response, err := language.Evaluate(statement, &view{core: c})
	if err != nil {
		c.refuse(received.Call, err)
		return
	}
	response.Revision = c.state.Revision()
	c.answer(Answer{Call: received.Call, Response: response})
}

// dumpLogs tells the runtime of this controller to write out its log ring, also when this controller does not lead.
// Only a leader can record the command in the audit trail; other controllers record it in their log ring.
func (c *Core) dumpLogs(received ExecuteReceived) {
	answer := "controller " + c.config.Name + " writes out its log ring"
	c.emit(DumpLogs{Operator: received.Operator})
	if c.canAnswerAsLeader() {
		c.recordCommand(received, answer)
	}
	c.answerMessage(received.Call, answer)
}

// executeCommand carries out one command. A resent command whose first answer is retained gets that
// answer and is not carried out again.
func (c *Core) executeCommand(received ExecuteReceived, command language.Command) {
	if c.answeredBefore(received) {
		return
	}
	switch requested := command.(type) {
	case language.DrainEngine:
		c.orderForOperator(received, &v1.Order{Engine: requested.Engine, Action: v1.OrderAction_ORDER_ACTION_DRAIN})
	case language.ResumeEngine:
		c.orderForOperator(received, &v1.Order{Engine: requested.Engine, Action: v1.OrderAction_ORDER_ACTION_RESUME})
	case language.SetEngineRole:
		c.orderForOperator(received, &v1.Order{
			Engine: requested.Engine, Action: v1.OrderAction_ORDER_ACTION_SET_ROLE, Role: requested.Role,
		})
	case language.AbortOrder:
		c.abortForOperator(received, requested.Engine)
	case language.ReleaseRequest:
		c.releaseForOperator(received, requested.Signature)
	case language.PinEngine:
		c.declareForOperator(received, c.pinObject(requested))
	case language.UnpinEngine:
		c.unpin(received, requested.Engine)
	case language.DeleteObject:
		c.deleteObject(received, requested.Key)
	case language.AddMember, language.PromoteMember, language.RemoveMember, language.ReplaceMember:
		c.changeMembers(received, requested)
	default:
		c.refuse(received.Call, trace.NotImplemented("this controller does not know the command; run one release everywhere"))
	}
}

// answeredBefore answers a resend with its first answer, and reports whether it did.
func (c *Core) answeredBefore(received ExecuteReceived) bool {
	request := received.Request
	first, err := c.state.FirstAnswer(received.Operator, request.RequestId, request.Text)
	switch {
	case err != nil:
		c.refuse(received.Call, err)
	case first == nil:
		return false
	case first.Error != "":
		c.refuse(received.Call, trace.BadParameter("%s", first.Error))
	default:
		c.answerMessage(received.Call, first.Answer)
	}
	return true
}

func (c *Core) answerMessage(call CallID, message string) {
	c.answer(Answer{Call: call, Response: &v1.ExecuteResponse{Revision: c.state.Revision(), Message: message}})
}

// answerResult answers a call with the result of its command.
func (c *Core) answerResult(call CallID, result controlstate.Result) {
	if result.Err != nil {
		c.refuse(call, result.Err)
		return
	}
	c.answerMessage(call, result.Answer)
}
