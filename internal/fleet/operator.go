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
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/pause"
)

const (
	// operatorRetryPause is the time between two attempts of an operator's call.
	operatorRetryPause = 200 * time.Millisecond
	operatorTimeout    = 5 * time.Second
)

// Operator calls a fleet's controllers as its administrator: it retries until one of them
// answers. It is safe for concurrent use.
type Operator struct {
	key       string
	addresses []string
	pause     time.Duration
	http      *http.Client
}

// Operator returns an operator client of the fleet with the default timeouts.
func (f *Fleet) Operator() *Operator {
	return f.OperatorWithTimeouts(operatorTimeout, operatorRetryPause)
}

// OperatorWithTimeouts returns an operator client of the fleet that waits at most attemptTimeout for
// the answer of one controller and, after a failure, retryPause before it calls the next.
func (f *Fleet) OperatorWithTimeouts(attemptTimeout, retryPause time.Duration) *Operator {
	return NewOperator(f.Description.Operator.Key, f.Addresses(RoleController), attemptTimeout, retryPause)
}

// NewOperator returns an operator client with an API key for the controllers at the given
// addresses. It waits at most attemptTimeout for the answer of one and, after a failure,
// retryPause before it calls the next.
func NewOperator(key string, addresses []string, attemptTimeout, retryPause time.Duration) *Operator {
	return &Operator{key: key, addresses: addresses, pause: retryPause, http: &http.Client{Transport: checkedconn.NewTransport(nil, nil), Timeout: attemptTimeout}}
}

// Apply submits declaration files under a new request ID and returns a quorum's answer.
func (o *Operator) Apply(ctx context.Context, files []*v1.SourceFile) (*v1.ApplyResponse, error) {
	return o.Submit(ctx, &v1.ApplyRequest{RequestId: uuid.NewString(), Files: files})
}

// Submit submits a request unchanged; every attempt carries the same request ID.
func (o *Operator) Submit(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	return callController(ctx, o, request, hazelpitchv1connect.OperatorServiceClient.Apply)
}

// Execute runs one query or command of the operator language.
func (o *Operator) Execute(ctx context.Context, text string) (*v1.ExecuteResponse, error) {
	request := &v1.ExecuteRequest{RequestId: uuid.NewString(), Text: text}
	return callController(ctx, o, request, hazelpitchv1connect.OperatorServiceClient.Execute)
}

// callController tries the controllers in turn until one answers or the context ends. Errors
// that a retry cannot change are returned at once.
func callController[Request, Response any](ctx context.Context, operator *Operator, message *Request,
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
