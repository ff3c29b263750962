package gateway

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

// heldBody is a long body that is being sent to a caller. The server closes it when the caller has it, or has gone.
type heldBody struct {
	*bytes.Reader
	memory *bodybudget.Reservation
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.memory.Release()
	return nil
}

// setBody makes a body that of the response. It releases the reservation for the body, nil for none, when the body was sent.
func setBody(response *fasthttp.Response, body []byte, memory *bodybudget.Reservation) {
	if memory == nil || len(body) <= bodybudget.FreeBytes {
		response.SetBody(body)
		if memory != nil {
			memory.Release()
		}
		return
	}
	response.SetBodyStream(&heldBody{bytes.NewReader(body), memory}, len(body))
}
