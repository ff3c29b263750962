package simulation

import (
	"fmt"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// commandTries bounds the repetitions of one command, after which the operator gives up.
const commandTries = 4

// runCommand gives an engine an order, as an operator at a command line does.
func (o *operatorClient) runCommand() {
	o.submitted++
	request := &v1.ExecuteRequest{RequestId: fmt.Sprintf("%s-%d", o.name, o.submitted), Text: o.commandText()}
	o.execute(request, commandTries)
}

// commandText draws a command. An engine that an operator has drained is resumed first.
func (o *operatorClient) commandText() string {
	random, engines := o.world.random, o.world.engines
	for _, engine := range engines {
		if engine.durable.Drained {
			return "resume engine " + engine.name
		}
	}
	chosen := engines[random.IntN(len(engines))].name
	switch draw := random.IntN(10); {
	case draw < 2:
		return "drain engine " + chosen
	case draw < 4:
		return "abort order of engine " + chosen
	default:
		roles := []enginecontract.Role{enginecontract.RolePrefill, enginecontract.RoleDecode, enginecontract.RoleMixed}
		return fmt.Sprintf("set role of engine %s to %s", chosen, roles[random.IntN(len(roles))])
	}
}

// execute sends a command; when its response is lost, it sends the same request again.
func (o *operatorClient) execute(request *v1.ExecuteRequest, tries int) {
	o.world.trace.add(o.world.now, o.name, "%s: %s", request.GetRequestId(), request.GetText())
	o.callController(func(id control.CallID) control.Input {
		return control.ExecuteReceived{Call: id, Operator: o.name, Role: v1.OperatorRole_OPERATOR_ROLE_OPERATOR, Request: request}
	}, func(answer controllerAnswer, answered bool) {
		response, ok := answer.response.(*v1.ExecuteResponse)
		switch {
		case answered && ok:
			o.world.checks.checkCommandAnswered(o, request, response)
			o.answeredCommands = append(o.answeredCommands, request)
			o.scheduleNext()
		case tries > 0:
			o.after(o.world.drawDuration(resendPause), func() { o.execute(request, tries-1) })
		default:
			o.scheduleNext()
		}
	})
}
