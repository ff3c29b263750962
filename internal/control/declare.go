package control

import (
	"fmt"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/controlstate"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

// saltSeedBytes is the size of the random bytes in a declaration's command.
const saltSeedBytes = 32

// handleApply proposes a declaration. The call is answered once the declaration is applied.
func (c *Core) handleApply(received ApplyReceived) {
	request := received.Request
	declaration := &v1.ApplyDeclaration{
		Operator: received.Operator, RequestId: request.RequestId, ChangeNumber: request.ChangeNumber,
		BaseRevision: request.BaseRevision, SourceRevision: request.SourceRevision,
		Objects: received.Objects, Prune: request.Prune,
		Text: fmt.Sprintf("apply %d objects of %d files", len(received.Objects), len(request.Files)),
	}
	c.proposeDeclaration(declaration, received.Call, func(core *Core, response *v1.ApplyResponse) {
		core.answer(Answer{Call: received.Call, Response: response})
	})
}

// proposeDeclaration proposes a declaration and passes its answer to finish.
func (c *Core) proposeDeclaration(declaration *v1.ApplyDeclaration, call CallID, finish func(*Core, *v1.ApplyResponse)) {
	declaration.SaltSeed = c.randomBytes(saltSeedBytes)
	command := &v1.Command{Body: &v1.Command_ApplyDeclaration{ApplyDeclaration: declaration}}
	c.proposeForCall(command, call, func(core *Core, result controlstate.Result) {
		finish(core, result.Apply)
	})
}

// randomBytes returns unpredictable bytes.
func (c *Core) randomBytes(count int) []byte {
	bytes := make([]byte, count)
	_, _ = c.random.Read(bytes) // never fails
	return bytes
}

// handlePlan answers with the changes that a declaration would make.
func (c *Core) handlePlan(received PlanReceived) {
	if !c.requireLeader(received.Call) {
		return
	}
	if err := c.state.CheckDeclaration(received.Objects, received.Request.Prune); err != nil {
		c.refuse(received.Call, err)
		return
	}
	c.answer(Answer{Call: received.Call, Response: &v1.PlanResponse{
		Revision:    c.state.Revision(),
		Differences: language.DiffObjects(c.state.Objects(), received.Objects, received.Request.Prune),
	}})
}
