package operatorclient

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/declaredend"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/responselimit"
)

// maxAnswerBytes bounds one answer of a controller. Configurations have at most half of it.
const maxAnswerBytes = 16 << 20

// Client calls the operator service of one fleet's controllers. It is safe for concurrent use.
type Client struct {
	config    Config
	http      *http.Client
	transport *http.Transport
	scheme    string

	mutex sync.Mutex
	// preferred is the controller that answered the last successful call.
	preferred string
}

// New returns a client; it connects at the first call.
func New(config Config) (*Client, error) {
	if err := config.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	client := &Client{config: config, scheme: "http", preferred: config.Controllers[0]}
	var tlsConfig *tls.Config
	if config.Credentials != nil {
		client.scheme = "https"
		tlsConfig = config.Credentials.ClientConfig(config.Fleet, keys.RoleController)
	}
	client.transport = checkedconn.NewTransport(dialing.FromOperators(), tlsConfig)
	client.http = &http.Client{Transport: declaredend.NewTransport(responselimit.NewTransport(client.transport, maxAnswerBytes))}
	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Apply submits a declaration. It gives a request without an identity a new one, which every attempt
// carries.
func (c *Client) Apply(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	if request.GetRequestId() == "" {
		request.RequestId = uuid.NewString()
	}
	return call(ctx, c, request, applyAt)
}

// errEmptyAnswer means that a controller answered a submission without saying what became of it.
var errEmptyAnswer = errors.New("the answer to the submission is empty")

// applyAt submits a declaration to one controller. An empty answer is none: each answer names an outcome or a revision.
func applyAt(service hazelpitchv1connect.OperatorServiceClient, ctx context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
	response, err := service.Apply(ctx, request)
	if err == nil && proto.Size(response.Msg) == 0 {
		return nil, connect.NewError(connect.CodeUnavailable, errEmptyAnswer)
	}
	return response, err
}

// Plan returns what Apply would change.
func (c *Client) Plan(ctx context.Context, request *v1.PlanRequest) (*v1.PlanResponse, error) {
	return call(ctx, c, request, hazelpitchv1connect.OperatorServiceClient.Plan)
}

// Execute runs one query or command. It gives a request without an identity a new one, which every
// attempt carries.
func (c *Client) Execute(ctx context.Context, request *v1.ExecuteRequest) (*v1.ExecuteResponse, error) {
	if request.GetRequestId() == "" {
		request.RequestId = uuid.NewString()
	}
	return call(ctx, c, request, hazelpitchv1connect.OperatorServiceClient.Execute)
}

// serviceMethod is one method of the operator service's client.
type serviceMethod[Request, Response any] func(hazelpitchv1connect.OperatorServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// callOnce sends a request to one controller and waits for its answer, at most attemptTimeout.
func callOnce[Request, Response any](ctx context.Context, c *Client, controller string, message *Request, method serviceMethod[Request, Response]) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	service := hazelpitchv1connect.NewOperatorServiceClient(c.http, c.scheme+"://"+controller)
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.config.Key)
	response, err := method(service, ctx, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
