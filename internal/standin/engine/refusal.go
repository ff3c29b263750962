package engine

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
)

// refusal is an answer with a status of 400 or above.
type refusal struct {
	status   int
	code     string
	message  string
	runState string
}

// errorBody is the error body of the chat and completions protocols.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func notRun(status int, code, message string) *refusal {
	return &refusal{status, code, message, enginecontract.RunStateNotRun}
}

func mayHaveRun(status int, code, message string) *refusal {
	return &refusal{status, code, message, enginecontract.RunStateMayHaveRun}
}

func invalid(message string) *refusal {
	return notRun(fasthttp.StatusBadRequest, "invalid_request", message)
}

// refusalForState returns the refusal of an engine that does not accept new work; nil if it does.
func refusalForState(state enginecontract.ServiceState) *refusal {
	if state == enginecontract.StateServing {
		return nil
	}
	return notRun(fasthttp.StatusServiceUnavailable, string(state), "the engine takes no new work now")
}

// refusalForModelError translates an error of the engine model.
func refusalForModelError(err error) *refusal {
	switch {
	case errors.Is(err, enginemodel.ErrRole):
		return notRun(fasthttp.StatusConflict, "wrong_role", err.Error())
	case errors.Is(err, enginemodel.ErrQueueFull):
		return notRun(fasthttp.StatusTooManyRequests, "overloaded", err.Error())
	case errors.Is(err, enginemodel.ErrDuplicate):
		return mayHaveRun(fasthttp.StatusConflict, "exchange_exists", err.Error())
	}
	return invalid(err.Error())
}

func (r *refusal) write(response *fasthttp.Response) {
	response.SetStatusCode(r.status)
	response.Header.Set(enginecontract.HeaderRunState, r.runState)
	if r.status == fasthttp.StatusTooManyRequests {
		response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	writeJSON(response, errorBody{errorDetail{Message: r.message, Type: "engine_error", Code: r.code}})
}

func writeJSON(response *fasthttp.Response, value any) {
	text, err := json.Marshal(value)
	if err != nil { // the types written here always marshal
		panic(err)
	}
	response.Header.SetContentType("application/json")
	response.SetBody(text)
}
