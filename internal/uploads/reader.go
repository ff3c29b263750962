// Package uploads reads the bodies of requests to an HTTP server. It bounds one body, the memory of all of them together, and the
// time that a client may take.
package uploads

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

// Limits are the limits of a Reader.
type Limits struct {
	// BodyBytes bounds one body, and TotalBytes those that are being read or held.
	BodyBytes, TotalBytes int
	// Timeout bounds the time in which a body must arrive.
	Timeout time.Duration
}

// Reader reads bodies within its limits. It is safe for concurrent use.
type Reader struct {
	limits Limits
	budget *bodybudget.Budget
}

// NewReader returns a reader.
func NewReader(limits Limits) *Reader {
	return &Reader{limits: limits, budget: bodybudget.New(int64(limits.TotalBytes))}
}

// Read reads the body of a request. The caller must call release when it does not need the body any more.
func (r *Reader) Read(writer http.ResponseWriter, request *http.Request) (body []byte, release func(), err error) {
	reservation := r.budget.NewReservation()
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(r.limits.Timeout)) // fails without a connection
	body, err = reservation.ReadUpTo(http.MaxBytesReader(writer, request.Body, int64(r.limits.BodyBytes)), r.limits.BodyBytes+1)
	if err != nil {
		reservation.Release()
		return nil, func() {}, err
	}
	return body, reservation.Release, nil
}

// StatusOf returns the status for an error of Read: 503 if other bodies take all memory, 408 if the client was too slow, and 400 for
// a body that is too long or broke off.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, bodybudget.ErrExhausted):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}
