package operatorcommand

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// applyCommand implements hazelctl apply.
type applyCommand struct {
	global         *globalFlags
	Prune          bool           `long:"prune" description:"delete declared objects that the files do not name"`
	Yes            bool           `long:"yes" short:"y" description:"do not ask before changing anything"`
	BaseRevision   uint64         `long:"base-revision" value-name:"N" description:"refuse unless this revision is in force; default: the one the difference was shown against, or any with --request-id"`
	ChangeNumber   uint64         `long:"change-number" value-name:"N" description:"number of this change: of two submissions with equal numbers one wins; default: the next one"`
	SourceRevision string         `long:"source-revision" value-name:"REVISION" description:"revision in version control that the files come from, for the record"`
	RequestID      string         `long:"request-id" value-name:"ID" description:"identity of the request; the same one again gets the first answer; default: a new one"`
	Source         sourceArgument `positional-args:"yes" required:"yes"`
}

// applyResult is the output of apply with --json.
type applyResult struct {
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Revision  uint64 `json:"revision"`
	// ChangeNumber is 0 when nothing was submitted.
	ChangeNumber uint64 `json:"change_number"`
	Changes      int    `json:"changes"`
	Detail       string `json:"detail,omitempty"`
}

func (a *applyCommand) run(ctx context.Context, environment Environment) error {
	files, err := a.Source.readAndCheck()
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := a.global.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer client.Close()
	plan, err := client.Plan(ctx, &v1.PlanRequest{Files: files, Prune: a.Prune})
	if err != nil {
		return trace.Wrap(err)
	}
	if !a.global.JSON {
		writePlan(environment, plan)
	}
	// A request with a given identity is sent even without changes: it may be a repetition, which gets
	// the first answer.
	if len(plan.GetDifferences()) == 0 && a.RequestID == "" {
		return a.report(environment, &v1.ApplyRequest{}, &v1.ApplyResponse{
			Outcome: v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED, Revision: plan.GetRevision(),
		}, 0)
	}
	if err := a.confirm(environment); err != nil {
		return trace.Wrap(err)
	}
	request := a.request(files, plan.GetRevision())
	response, err := client.Apply(ctx, request)
	if err != nil {
		return trace.Wrap(err, "request %s", request.GetRequestId())
	}
	return a.report(environment, request, response, len(plan.GetDifferences()))
}

// request builds the submission. Unless the operator gave a base revision or a request identity, the submission requires
// that the current revision is still the one against which the plan was computed.
func (a *applyCommand) request(files []*v1.SourceFile, planned uint64) *v1.ApplyRequest {
	request := &v1.ApplyRequest{
		RequestId:      a.RequestID,
		ChangeNumber:   a.ChangeNumber,
		BaseRevision:   a.BaseRevision,
		SourceRevision: a.SourceRevision,
		Files:          files,
		Prune:          a.Prune,
	}
	if request.RequestId != "" {
		// A repeated request has to be identical, whichever revision is the current one.
		return request
	}
	request.RequestId = uuid.NewString()
	if request.BaseRevision == 0 {
		request.BaseRevision = planned
	}
	return request
}

// confirm asks the operator at the terminal whether to apply. It returns an error unless the operator agrees or gave --yes.
func (a *applyCommand) confirm(environment Environment) error {
	if a.Yes {
		return nil
	}
	if !environment.Interactive {
		return newUsageError("nobody is here to confirm: give --yes to apply without a question")
	}
	fmt.Fprint(environment.Stdout, "apply? [y/N] ")
	answer, _ := bufio.NewReader(environment.Stdin).ReadString('\n')
	if strings.ToLower(strings.TrimSpace(answer)) != "y" {
		return trace.BadParameter("not applied")
	}
	return nil
}

// report prints the outcome of the submission and returns an error unless it was accepted or unchanged.
func (a *applyCommand) report(environment Environment, request *v1.ApplyRequest, response *v1.ApplyResponse, changes int) error {
	outcome := strings.ToLower(strings.TrimPrefix(response.GetOutcome().String(), "APPLY_OUTCOME_"))
	if a.global.JSON {
		err := writeJSON(environment.Stdout, applyResult{
			RequestID: request.GetRequestId(), Outcome: outcome, Revision: response.GetRevision(),
			ChangeNumber: response.GetChangeNumber(), Changes: changes, Detail: outcomeDetail(request, response),
		})
		if err != nil {
			return trace.Wrap(err)
		}
	}
	switch response.GetOutcome() {
	case v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		a.printLine(environment, "accepted as revision %d, change %d", response.GetRevision(), response.GetChangeNumber())
		return nil
	case v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		if request.GetRequestId() != "" {
			a.printLine(environment, "in force already at revision %d", response.GetRevision())
		}
		return nil
	}
	return trace.BadParameter("%s: %s", strings.ReplaceAll(outcome, "_", " "), outcomeDetail(request, response))
}

func (a *applyCommand) printLine(environment Environment, format string, arguments ...any) {
	if !a.global.JSON {
		fmt.Fprintf(environment.Stdout, format+"\n", arguments...)
	}
}

// outcomeDetail explains why a submission was refused, and what to do.
func outcomeDetail(request *v1.ApplyRequest, response *v1.ApplyResponse) string {
	switch response.GetOutcome() {
	case v1.ApplyOutcome_APPLY_OUTCOME_NUMBER_TAKEN:
		return fmt.Sprintf("change %d was won by %s as revision %d: look at it with plan, and apply with another number",
			request.GetChangeNumber(), response.GetWinner(), response.GetWinnerRevision())
	case v1.ApplyOutcome_APPLY_OUTCOME_STALE:
		return fmt.Sprintf("revision %d is in force, not %d: look at the difference again", response.GetRevision(), request.GetBaseRevision())
	}
	return response.GetDetail()
}
