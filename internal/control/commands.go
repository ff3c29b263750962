package control

import (
	"fmt"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// orderForOperator proposes an order that an operator requested. An order that may not be
// issued now is refused at once; orders are not queued.
func (c *Core) orderForOperator(received ExecuteReceived, order *v1.Order) {
	order.Operator = received.Operator
	order.Reason = fmt.Sprintf("operator %s: %s", received.Operator, received.Request.Text)
	issue, err := c.commander.PrepareOrder(c.now, c.wallMs(), c.state, order)
	if err != nil {
		c.refuseAudited(received, err)
		return
	}
	issue.RequestId = received.Request.RequestId
	issue.Text = received.Request.Text
	_, err = c.propose(&v1.Command{Body: &v1.Command_IssueOrder{IssueOrder: issue}}, received.Call,
		func(core *Core, result controlstate.Result) { core.answerResult(received.Call, result) })
	if err != nil {
		c.commander.WithdrawOrder(order.Engine)
		c.refuse(received.Call, err)
	}
}

// abortForOperator proposes to abort the outstanding order of an engine.
func (c *Core) abortForOperator(received ExecuteReceived, engine string) {
	record := c.state.Engine(engine)
	switch {
	case record == nil:
		c.refuseAudited(received, trace.Wrap(controlstate.ErrUnknownEngine, "engine %q; see `show engines`", engine))
		return
	case record.Outstanding == nil:
		c.refuseAudited(received, trace.Wrap(controlstate.ErrNoSuchOrder, "engine %q holds no order", engine))
		return
	}
	abort := &v1.AbortOrder{
		Engine: engine, Sequence: record.Outstanding.Sequence, Epoch: c.commander.Epoch(),
		Operator: received.Operator, RequestId: received.Request.RequestId, Text: received.Request.Text,
		Reason: "operator " + received.Operator + " aborted it",
	}
	c.proposeForCall(&v1.Command{Body: &v1.Command_AbortOrder{AbortOrder: abort}}, received.Call,
		func(core *Core, result controlstate.Result) { core.answerResult(received.Call, result) })
}

// declareForOperator submits a command's objects as a declaration.
func (c *Core) declareForOperator(received ExecuteReceived, objects ...*v1.Object) {
	declaration := &v1.ApplyDeclaration{
		Operator: received.Operator, RequestId: received.Request.RequestId, Text: received.Request.Text, Objects: objects,
	}
	c.proposeDeclaration(declaration, received.Call, func(core *Core, response *v1.ApplyResponse) {
		switch response.Outcome {
		case v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
			core.answerMessage(received.Call, fmt.Sprintf("accepted as revision %d", response.Revision))
		case v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
			core.answerMessage(received.Call, fmt.Sprintf("in force already at revision %d", response.Revision))
		default:
			core.refuse(received.Call, trace.BadParameter("%s", response.Detail))
		}
	})
}

// pinObject returns the pin that a command requests: the engine's current pin with the new role, or
// a new one named after the engine.
func (c *Core) pinObject(wanted language.PinEngine) *v1.Object {
	name := wanted.Engine
	if pinned := c.pinOf(wanted.Engine); pinned != nil {
		name = pinned.Key.Name
	}
	return &v1.Object{
		Key:  &v1.ObjectKey{Type: v1.ObjectType_OBJECT_TYPE_PIN, Name: name},
		Spec: &v1.Object_Pin{Pin: &v1.Pin{Engine: wanted.Engine, Role: wanted.Role}},
	}
}

// pinOf returns the pin in force for an engine, or nil.
func (c *Core) pinOf(engine string) *v1.Object {
	for _, object := range c.state.ObjectsOfType(v1.ObjectType_OBJECT_TYPE_PIN) {
		if object.GetPin().Engine == engine {
			return object
		}
	}
	return nil
}

func (c *Core) unpin(received ExecuteReceived, engine string) {
	pinned := c.pinOf(engine)
	if pinned == nil {
		c.refuseAudited(received, trace.NotFound("engine %q is not pinned", engine))
		return
	}
	c.declareForOperator(received, &v1.Object{Key: pinned.Key, Deleted: true})
}

func (c *Core) deleteObject(received ExecuteReceived, key *v1.ObjectKey) {
	if c.state.Object(key.GetType(), key.GetName()) == nil {
		c.refuseAudited(received, trace.NotFound("%s is not declared", controlstate.KeyOf(key)))
		return
	}
	c.declareForOperator(received, &v1.Object{Key: key, Deleted: true})
}
