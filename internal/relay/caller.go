package relay

import (
	"net/http"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/responselimit"
)

// maxCallAnswerBytes bounds the answer to a call of the relay's own: a health check, a cache list or a page of the list of back ends.
const maxCallAnswerBytes = 16 << 20

// newCaller returns a client for calls of the relay's own, through a transport that checks answers.
func newCaller(transport *http.Transport, timeout time.Duration) *http.Client {
	return &http.Client{Transport: responselimit.NewTransport(transport, maxCallAnswerBytes), Timeout: timeout}
}
