// Package declaredend refuses successful responses of HTTP/1 that end with their connection. Such a response may have been broken off
// anywhere, and the beginning of an encoded message is a message. Errors pass: their status says all that a caller acts on.
package declaredend

import (
	"errors"
	"net/http"
)

// ErrUndeclared means that a response declares neither its length nor chunks.
var ErrUndeclared = errors.New("the response does not declare where it ends")

// Base is a transport whose responses a Transport checks.
type Base interface {
	http.RoundTripper
	CloseIdleConnections()
}

// Transport returns ErrUndeclared for the successful responses of another transport that end with their connection.
type Transport struct{ base Base }

// NewTransport returns a Transport that uses base.
func NewTransport(base Base) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil || isDeclared(response) {
		return response, err
	}
	_ = response.Body.Close() // the connection ends with the response
	return nil, ErrUndeclared
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// isDeclared reports whether a response ends where it declares, or is no success. The length of a response that the transport
// decompresses is unknown here, but its compressed form has an end of its own.
func isDeclared(response *http.Response) bool {
	isSuccess, isChunked := response.StatusCode/100 == 2, len(response.TransferEncoding) > 0
	return !isSuccess || response.ProtoMajor > 1 || response.ContentLength >= 0 || isChunked || response.Uncompressed || response.Body == http.NoBody
}
