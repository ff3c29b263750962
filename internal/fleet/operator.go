package fleet

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
	// operatorRetryPause is the time between attempts of an operator's call.
	operatorRetryPause = 200 * time.Millisecond
	operatorTimeout    = 5 * time.Second
)

// Operator calls a fleet's controllers as its administrator does: it resends until
// one of them answers. It is safe for concurrent use.
type Operator struct {
	key       string
	addresses []string
	pause     time.Duration
	http      *http.Client
}

// Operator returns the fleet's administrator.
func (f *Fleet) Operator() *Operator {
	return f.OperatorWithTimeouts(operatorTimeout, operatorRetryPause)
}

// OperatorWithTimeouts returns the fleet's administrator, who waits so long for the answer of
// one controller and, after a failure, so long before the next is asked.
func (f *Fleet) OperatorWithTimeouts(attempt, between time.Duration) *Operator {
	return NewOperator(f.Description.Operator.Key, f.Addresses(RoleController), attempt, between)
}

// NewOperator returns an operator with that key who asks the controllers at these
// addresses, waits so long for the answer of one, and after a failure so long before the
// next is asked.
func NewOperator(key string, addresses []string, attempt, between time.Duration) *Operator {
	return &Operator{key: key, addresses: addresses, pause: between, http: &http.Client{Timeout: attempt}}
}

// Apply submits declaration files and returns the answer of a quorum.
func (o *Operator) Apply(ctx context.Context, files []*v1.SourceFile) (*v1.ApplyResponse, error) {
	return o.Submit(ctx, &v1.ApplyRequest{RequestId: uuid.NewString(), Files: files})
}

// Submit submits a request as it is; every attempt carries the same identity.
func (o *Operator) Submit(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	return call(ctx, o, request, hazelpitchv1connect.OperatorServiceClient.Apply)
}

// Execute runs one query or command.
func (o *Operator) Execute(ctx context.Context, text string) (*v1.ExecuteResponse, error) {
	request := &v1.ExecuteRequest{RequestId: uuid.NewString(), Text: text}
	return call(ctx, o, request, hazelpitchv1connect.OperatorServiceClient.Execute)
}

// call tries the controllers in turn until one answers or the context ends. Answers
// that a resend can't change are returned at once.
func call[Request, Response any](ctx context.Context, operator *Operator, message *Request,
	method func(hazelpitchv1connect.OperatorServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	for attempt := 0; ; attempt++ {
		address := operator.addresses[attempt%len(operator.addresses)]
		client := hazelpitchv1connect.NewOperatorServiceClient(operator.http, "http://"+address)
		request := connect.NewRequest(message)
		request.Header().Set("Authorization", "Bearer "+operator.key)
		response, err := method(client, ctx, request)
		if err == nil {
			return response.Msg, nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeUnimplemented:
			return nil, trace.Wrap(err, "controller %s", address)
		}
		if !pause.For(ctx, operator.pause) {
			return nil, trace.Wrap(err, "controller %s", address)
		}
	}
}
