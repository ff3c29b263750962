package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/routing"
	"github.com/hazelpitch/hazelpitch/internal/stream"
	"github.com/hazelpitch/hazelpitch/internal/verdict"
)

// Error types of the chat protocol.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// Codes of refusals; each is documented for callers.
const (
	codeInvalidBody        = "invalid_body"
	codeInvalidHeader      = "invalid_header"
	codeInvalidPath        = "invalid_path"
	codeTooLarge           = "too_large"
	codeInvalidKey         = "invalid_api_key"
	codeKeyNotChecked      = "api_key_not_checked"
	codeUnknownKind        = "unknown_kind"
	codeModelNotFound      = "model_not_found"
	codeOverloaded         = "overloaded"
	codeRateLimit          = "rate_limit_exceeded"
	codeNoBackEnd          = "no_back_end"
	codeBackEndFailed      = "back_end_failed"
	codeDeadlineExceeded   = "deadline_exceeded"
	codeClaimUnreachable   = "claim_not_made"
	codeClaimRefused       = "claim_refused"
	codeStillRunning       = "still_running"
	codeOutcomeUnknown     = "outcome_unknown"
	codeKeyReused          = "idempotency_key_reused"
	codeRequestQuarantined = "request_held"
	codeCallerGone         = "caller_gone"
	codeStopping           = "gateway_stopping"
	codeInternal           = "internal_error"
)

// refusal is the answer to a request without a complete result. Its message never names
// another tenant, a back end or their load. A function that checks or continues a request returns a nil *refusal when the
// request may go on.
type refusal struct {
	status     int
	errorType  string
	code       string
	message    string
	verdict    verdict.Verdict
	retryAfter time.Duration
}

func refuse(status int, errorType, code, message string) *refusal {
	return &refusal{status: status, errorType: errorType, code: code, message: message, verdict: verdict.NotRun}
}

// Error implements error.
func (r *refusal) Error() string { return r.code + ": " + r.message }

// after sets the time after which a resend may succeed.
func (r *refusal) after(wait time.Duration) *refusal {
	r.retryAfter = wait
	return r
}

// mayHaveRun changes the verdict to "may have run".
func (r *refusal) mayHaveRun() *refusal {
	r.verdict = verdict.MayHaveRun
	return r
}

// combine returns the refusal unchanged, or with the verdict "may have run" when mayHaveRun is true because an earlier
// exchange of the request may have run. In that case a refusal for lack of a back end becomes one that a back end failed.
func (r *refusal) combine(mayHaveRun bool) *refusal {
	if !mayHaveRun {
		return r
	}
	if r.code == codeNoBackEnd {
		r = refuseBackEnd() // there was a back end, and it failed
	}
	return r.mayHaveRun()
}

// beforeClaim returns the refusal of a request whose claim under an idempotency key has not been looked up. It changes the
// verdict to "may have run", because an earlier attempt with the key may have run, except when the refused request could
// never have been accepted. An empty key means that the request needs no claim.
func (r *refusal) beforeClaim(key string) *refusal {
	if key == "" || r.verdict != verdict.NotRun {
		return r
	}
	switch r.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge,
		http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge:
		return r
	default:
		return r.mayHaveRun()
	}
}

// body returns the refusal in the error format of the chat protocol.
func (r *refusal) body() stream.ErrorBody {
	return stream.ErrorBody{
		Error:      enginecontract.ErrorDetail{Message: r.message, Type: r.errorType, Code: r.code},
		RunVerdict: r.verdict.String(),
	}
}

// write writes the refusal as the answer to the caller.
func (r *refusal) write(response *fasthttp.Response) {
	body, _ := json.Marshal(r.body()) // strings always marshal
	response.SetStatusCode(r.status)
	response.Header.SetContentType(contentTypeJSON)
	response.Header.Set(verdict.Header, r.verdict.String())
	if r.retryAfter > 0 {
		seconds := int(math.Ceil(r.retryAfter.Seconds()))
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	response.SetBody(body)
}

func refuseDeadline() *refusal {
	return refuse(http.StatusGatewayTimeout, typeServer, codeDeadlineExceeded,
		"the deadline of the request's kind has passed").after(time.Second)
}

// refuseQuarantined refuses a request that has crashed back ends, or of whose prompt a part has. It may be tried again after the
// given time.
func refuseQuarantined(retryAfter time.Duration) *refusal {
	return refuse(http.StatusServiceUnavailable, typeServer, codeRequestQuarantined,
		"back ends have ended while they ran this request; it is held for a while").after(retryAfter)
}

// Causes of interruptions.
var (
	errCallerGone = errors.New("the caller went away")
	errStopping   = errors.New("the gateway stops and could not wait for the answer")
)

// refuseInterrupted converts the cause of an interruption into the refusal for the caller.
func refuseInterrupted(cause error) *refusal {
	if errors.Is(cause, errStopping) {
		return refuse(http.StatusServiceUnavailable, typeServer, codeStopping, cause.Error()).after(time.Second)
	}
	return refuse(http.StatusRequestTimeout, typeServer, codeCallerGone, errCallerGone.Error())
}

// closingAnswer returns the answer that a stopping gateway sends on an idle connection before it closes it, for a request that
// may be on its way. That request is never run, but an earlier attempt with the same idempotency key may have run.
func closingAnswer() []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	refuse(http.StatusRequestTimeout, typeServer, codeStopping, "the gateway stops and has not read the request").mayHaveRun().write(response)
	response.SetConnectionClose()
	var message bytes.Buffer
	_, _ = response.WriteTo(&message) // a buffer takes all bytes
	return message.Bytes()
}

func refuseInternal() *refusal {
	return refuse(http.StatusInternalServerError, typeServer, codeInternal, "the gateway failed; the request may have run").mayHaveRun()
}

func refuseBackEnd() *refusal {
	return refuse(http.StatusBadGateway, typeServer, codeBackEndFailed, "no back end completed the request").after(time.Second)
}

func refuseParameters() *refusal {
	return refuseBody("the engine refuses the request's parameters")
}

// refusePick converts an error of routing into the refusal for the caller.
func refusePick(err error) *refusal {
	fault := refuse(http.StatusServiceUnavailable, typeServer, codeNoBackEnd, "no back end can take the request now")
	if errors.Is(err, routing.ErrInfeasible) {
		fault = refuseInfeasible()
	}
	var picked *routing.PickError
	if errors.As(err, &picked) {
		wait := picked.RetryAfter
		if errors.Is(err, routing.ErrAllLimited) { // spread the retries of callers
			wait += rand.N(max(wait, minimumRetrySpread))
		}
		fault.after(wait)
	}
	return fault
}
