package scale

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleet"
)

const (
	// operatorTimeout ends one attempt at one controller.
	operatorTimeout    = 12 * time.Second
	operatorRetryPause = 50 * time.Millisecond
)

// Submit applies declarations through any controller, resending one change until it is
// answered, and returns the answer and when it came.
func (f *Fleet) Submit(ctx context.Context, text string) (*v1.ApplyResponse, time.Time, error) {
	return f.submitFile(ctx, &v1.SourceFile{Name: "change.hzl", Text: text}, f.controllerAddresses())
}

// SubmitIn applies declarations through the controllers of one region alone.
func (f *Fleet) SubmitIn(ctx context.Context, region int, text string) (*v1.ApplyResponse, time.Time, error) {
	var addresses []string
	for controller := range f.controllers {
		if f.Plan.Region(f.Plan.ControllerZone(controller)) == region {
			addresses = append(addresses, f.Plan.ControllerAddress(controller))
		}
	}
	return f.submitFile(ctx, &v1.SourceFile{Name: "change.hzl", Text: text}, addresses)
}

func (f *Fleet) submitFile(ctx context.Context, file *v1.SourceFile, addresses []string) (*v1.ApplyResponse, time.Time, error) {
	if len(addresses) == 0 {
		return nil, time.Time{}, trace.NotFound("no controller to ask")
	}
	response, err := operatorAt(addresses).Apply(ctx, []*v1.SourceFile{file})
	if err != nil {
		return nil, time.Time{}, trace.Wrap(err, "applying %s", file.Name)
	}
	switch response.GetOutcome() {
	case v1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, v1.ApplyOutcome_APPLY_OUTCOME_UNCHANGED:
		return response, time.Now(), nil
	}
	return nil, time.Time{}, trace.Errorf("%s was not accepted: %s %s", file.Name, response.GetOutcome(), response.GetDetail())
}

// Execute runs one query or command of the operators' language.
func (f *Fleet) Execute(ctx context.Context, text string) (*v1.ExecuteResponse, error) {
	return operatorAt(f.controllerAddresses()).Execute(ctx, text)
}

// operatorAt is the fleet's operator, who asks the controllers at these addresses.
func operatorAt(addresses []string) *fleet.Operator {
	return fleet.NewOperator(operatorKey, addresses, operatorTimeout, operatorRetryPause)
}

func (f *Fleet) controllerAddresses() []string {
	addresses := make([]string, len(f.controllers))
	for controller := range addresses {
		addresses[controller] = f.Plan.ControllerAddress(controller)
	}
	return addresses
}
