package simulation

import (
	"errors"
	"fmt"
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// Pauses and shares of an operator's commands.
const (
	operatorPause   = 1500 * time.Millisecond
	operatorTimeout = 1200 * time.Millisecond
	resendPause     = 200 * time.Millisecond
	resendShare     = 0.15
	readShare       = 0.35
	commandShare    = 0.2
)

// tenants is the number of tenants that operators change.
const tenants = 3

// tenantName names a tenant.
func tenantName(number int) string { return fmt.Sprintf("tenant-%d", number) }

// submission is one declaration of an operator. Every resend of a submission carries the same request ID.
type submission struct {
	operator string
	request  *v1.ApplyRequest
	objects  []*v1.Object
	// operation is the submission's entry in the linearizability check; nil for the first declaration.
	operation *operation
}

// operatorClient is an operator at a command line. It runs one command at a time and repeats it until a response comes.
type operatorClient struct {
	host
	number    int
	submitted int
	leader    string
	weight    uint32
	highest   uint64 // highest change number seen
	// firstNumber is the change number of the fleet's first declaration.
	firstNumber uint64
	// answeredSubmissions are submissions that got a response; some of them are sent again.
	answeredSubmissions []*submission
	// answeredCommands are commands that were executed; some of them are sent again.
	answeredCommands []*v1.ExecuteRequest
}

// start starts the operator, which runs its first command after a pause.
func (o *operatorClient) start() {
	o.boot()
	o.after(o.world.drawDuration(operatorPause), o.runNext)
}

// runNext draws and begins the next command.
func (o *operatorClient) runNext() {
	random := o.world.random
	switch {
	case o.world.lulls > 0:
		o.scheduleNext()
	case o.world.isHealed && random.IntN(2) == 0:
		o.read()
	case len(o.answeredSubmissions) > 0 && random.Float64() < resendShare:
		o.submit(o.answeredSubmissions[random.IntN(len(o.answeredSubmissions))])
	case random.Float64() < readShare:
		o.read()
	case len(o.answeredCommands) > 0 && random.Float64() < resendShare:
		o.execute(o.answeredCommands[random.IntN(len(o.answeredCommands))], commandTries)
	case random.Float64() < commandShare:
		o.runCommand()
	default:
		o.submit(o.newSubmission())
	}
}

// scheduleNext schedules the next command after a pause.
func (o *operatorClient) scheduleNext() { o.after(o.world.drawDuration(operatorPause), o.runNext) }

// newSubmission returns a change of one tenant. Three of four carry the number after the highest that the operator has
// seen, so that operators compete for numbers; the others leave the number to the controllers.
func (o *operatorClient) newSubmission() *submission {
	o.submitted++
	o.weight = uint32(o.number*1_000_000 + o.submitted)
	tenant := tenantName(o.world.random.IntN(tenants))
	request := &v1.ApplyRequest{RequestId: fmt.Sprintf("%s-%d", o.name, o.submitted), SourceRevision: "simulated"}
	if o.world.random.IntN(4) > 0 {
		request.ChangeNumber = o.highest + 1
	}
	return &submission{
		operator: o.name, request: request,
		objects:   []*v1.Object{tenantObject(tenant, o.weight), registrationObject(float64(o.weight))},
		operation: o.world.history.begin(o.number, o.world.now, tenant, o.weight, request.GetChangeNumber()),
	}
}

// submit sends a submission until a response comes, and then schedules the next command.
func (o *operatorClient) submit(sent *submission) {
	o.submitThen(sent, func(response *v1.ApplyResponse) {
		o.highest = max(o.highest, response.GetChangeNumber(), sent.request.GetChangeNumber())
		o.answeredSubmissions = append(o.answeredSubmissions, sent)
		o.scheduleNext()
	})
}

// submitThen sends a submission until a response comes, and then calls done.
func (o *operatorClient) submitThen(sent *submission, done func(*v1.ApplyResponse)) {
	o.world.trace.add(o.world.now, o.name, "applies %s number %d", sent.request.GetRequestId(), sent.request.GetChangeNumber())
	o.callController(func(id control.CallID) control.Input {
		return control.ApplyReceived{Call: id, Operator: sent.operator, Request: sent.request, Objects: sent.objects}
	}, func(answer controllerAnswer, answered bool) {
		response, ok := answer.response.(*v1.ApplyResponse)
		switch {
		case answered && ok:
			o.world.checks.checkApplyAnswered(sent, response)
			o.world.history.recordApplied(sent.operation, o.world.now, response)
			done(response)
		default:
			o.after(o.world.drawDuration(resendPause), func() { o.submitThen(sent, done) })
		}
	})
}

// read reads the weight of a tenant: it plans a change to unusedWeight, and the plan shows the applied weight.
func (o *operatorClient) read() {
	tenant := tenantName(o.world.random.IntN(tenants))
	call := o.world.history.begin(o.number, o.world.now, tenant, 0, 0)
	o.callController(func(id control.CallID) control.Input {
		return control.PlanReceived{Call: id, Request: &v1.PlanRequest{}, Objects: []*v1.Object{tenantObject(tenant, unusedWeight)}}
	}, func(answer controllerAnswer, answered bool) {
		if response, ok := answer.response.(*v1.PlanResponse); answered && ok {
			o.world.history.recordRead(call, o.world.now, response)
		}
		o.scheduleNext()
	})
}

// callController calls the leader if the operator knows it, otherwise a drawn controller.
func (o *operatorClient) callController(input func(control.CallID) control.Input, done func(controllerAnswer, bool)) {
	target := o.world.controllerAt(o.leader)
	if target == nil {
		target = o.world.controllers[o.world.random.IntN(len(o.world.controllers))]
	}
	o.world.callController(&o.host, target, operatorTimeout, input, func(answer controllerAnswer, answered bool) {
		var notLeader *control.NotLeaderError
		switch {
		case errors.As(answer.err, &notLeader):
			o.leader = notLeader.Leader
		case answer.err != nil || !answered:
			o.leader = ""
		default:
			o.leader = target.name
		}
		done(answer, answered)
	})
}
