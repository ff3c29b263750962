package controller

import (
	"net/http"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/http1/checkedconn"
)

// maxAnswerHeadBytes limits the head of an answer of the platform or of a listed engine, interim responses included.
const maxAnswerHeadBytes = 64 << 10

// newOutsideTransport returns the HTTP transport for calls to the platform and to listed engines.
func newOutsideTransport(dial dialing.Dial) *http.Transport {
	transport := checkedconn.NewTransport(dial, nil)
	transport.MaxResponseHeaderBytes = maxAnswerHeadBytes
	return transport
}
