package scale

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/pause"
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
	message := &v1.ApplyRequest{RequestId: uuid.NewString(), Files: []*v1.SourceFile{file}}
	response, err := callAny(ctx, f, addresses, message, hazelpitchv1connect.OperatorServiceClient.Apply)
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
	message := &v1.ExecuteRequest{RequestId: uuid.NewString(), Text: text}
	return callAny(ctx, f, f.controllerAddresses(), message, hazelpitchv1connect.OperatorServiceClient.Execute)
}

// callAny tries the controllers in turn until one answers or the context ends. A change
// keeps its request identity, so that a resend changes nothing twice.
func callAny[Request, Response any](ctx context.Context, f *Fleet, addresses []string, message *Request,
	method func(hazelpitchv1connect.OperatorServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	if len(addresses) == 0 {
		return nil, trace.NotFound("no controller to ask")
	}
	for attempt := 0; ; attempt++ {
		address := addresses[attempt%len(addresses)]
		client := hazelpitchv1connect.NewOperatorServiceClient(f.operator, "http://"+address)
		request := connect.NewRequest(message)
		request.Header().Set("Authorization", "Bearer "+operatorKey)
		response, err := method(client, ctx, request)
		if err == nil {
			return response.Msg, nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
			return nil, trace.Wrap(err, "controller %s", address)
		}
		if !pause.For(ctx, operatorRetryPause) {
			return nil, trace.Wrap(err, "controller %s", address)
		}
	}
}

func newOperatorClient() *http.Client { return &http.Client{Timeout: operatorTimeout} }

func (f *Fleet) controllerAddresses() []string {
	addresses := make([]string, len(f.controllers))
	for controller := range addresses {
		addresses[controller] = f.Plan.ControllerAddress(controller)
	}
	return addresses
}
