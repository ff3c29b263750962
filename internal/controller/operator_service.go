package controller

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/keys"
	"github.com/hazelpitch/hazelpitch/internal/language"
)

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
	// firstAdministrator is the name of the operator whose key hash is in the settings.
	firstAdministrator = "first-administrator"
)

// operatorIdentity is an authenticated operator.
type operatorIdentity struct {
	name string
	role v1.OperatorRole
}

// operatorService serves operators.
type operatorService struct {
	*service
	// firstKeyHash is the hash of the first administrator's key, from the settings.
	firstKeyHash string
	// lookUp finds a declared operator in the applied state by the hash of its key.
	// It runs on the loop.
	lookUp func(keyHash string) (name string, role v1.OperatorRole, found bool)
}

// Apply submits a declaration.
func (o operatorService) Apply(ctx context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
	operator, err := o.authenticate(ctx, request.Header())
	if err != nil {
		return nil, connectError(err)
	}
	objects, err := language.ParseDeclarations(request.Msg.GetFiles())
	if err != nil {
		return nil, connectError(trace.BadParameter("%v", err))
	}
	denied := checkRoleToApply(operator, objects, request.Msg)
	return serve(ctx, o.service, request,
		func(call control.CallID) control.Input {
			if denied != nil {
				return control.RefusalReceived{Call: call, Operator: operator.name, RequestID: request.Msg.GetRequestId(), Text: "apply", Err: denied}
			}
			return control.ApplyReceived{Call: call, Operator: operator.name, Request: request.Msg, Objects: objects}
		},
		forwardToOperator(hazelpitchv1connect.OperatorServiceClient.Apply))
}

// checkRoleToApply returns an AccessDenied error if the operator's role does not allow the declaration.
func checkRoleToApply(operator operatorIdentity, objects []*v1.Object, request *v1.ApplyRequest) error {
	required := language.RequiredRoleToApply(objects, request.GetPrune())
	if language.RoleAllows(operator.role, required) {
		return nil
	}
	return trace.AccessDenied("operator %q is %s; this declaration needs %s",
		operator.name, language.OperatorRoleName(operator.role), language.OperatorRoleName(required))
}

// Plan returns the changes that Apply would make.
func (o operatorService) Plan(ctx context.Context, request *connect.Request[v1.PlanRequest]) (*connect.Response[v1.PlanResponse], error) {
	if _, err := o.authenticate(ctx, request.Header()); err != nil {
		return nil, connectError(err)
	}
	objects, err := language.ParseDeclarations(request.Msg.GetFiles())
	if err != nil {
		return nil, connectError(trace.BadParameter("%v", err))
	}
	return serve(ctx, o.service, request,
		func(call control.CallID) control.Input {
			return control.PlanReceived{Call: call, Request: request.Msg, Objects: objects}
		},
		forwardToOperator(hazelpitchv1connect.OperatorServiceClient.Plan))
}

// Execute runs one query or command.
func (o operatorService) Execute(ctx context.Context, request *connect.Request[v1.ExecuteRequest]) (*connect.Response[v1.ExecuteResponse], error) {
	operator, err := o.authenticate(ctx, request.Header())
	if err != nil {
		return nil, connectError(err)
	}
	return serve(ctx, o.service, request,
		func(call control.CallID) control.Input {
			return control.ExecuteReceived{Call: call, Operator: operator.name, Role: operator.role, Request: request.Msg}
		},
		forwardToOperator(hazelpitchv1connect.OperatorServiceClient.Execute))
}

// authenticate finds the operator by its bearer key. Every declared operator may
// query; changes check the role as well.
func (o operatorService) authenticate(ctx context.Context, header http.Header) (operatorIdentity, error) {
	key, bearer := strings.CutPrefix(header.Get(headerAuthorization), bearerPrefix)
	if !bearer || key == "" {
		return operatorIdentity{}, connect.NewError(connect.CodeUnauthenticated,
			trace.AccessDenied("the call carries no operator key; send it as Authorization: Bearer KEY"))
	}
	keyHash := keys.HashBearerKey(key)
	var identity operatorIdentity
	var found bool
	err := o.loop.inspect(ctx, func() { identity.name, identity.role, found = o.lookUp(keyHash) })
	if err != nil {
		return operatorIdentity{}, err
	}
	if !found && keys.BearerKeyMatches(key, strings.ToLower(o.firstKeyHash)) {
		return operatorIdentity{name: firstAdministrator, role: v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR}, nil
	}
	if !found {
		return operatorIdentity{}, connect.NewError(connect.CodeUnauthenticated,
			trace.AccessDenied("the operator key is not known; ask an administrator to declare it"))
	}
	return identity, nil
}

// forwardToOperator turns a method of the operator service's client into a forwardCall.
func forwardToOperator[Request, Response any](
	method func(hazelpitchv1connect.OperatorServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) forwardCall[Request, Response] {
	return func(ctx context.Context, peers *http.Client, baseURL string, request *connect.Request[Request]) (*connect.Response[Response], error) {
		return method(hazelpitchv1connect.NewOperatorServiceClient(peers, baseURL), ctx, request)
	}
}
