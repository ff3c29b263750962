// Package responselimit bounds what an HTTP client reads of one response, whatever its format: a faulty server may send a head or
// a body without end.
package responselimit

import (
	"errors"
	"io"
	"net/http"
)

// MaxHeaderBytes bounds the head of a response, together with the informational heads before it.
const MaxHeaderBytes = 64 << 10

// ErrTooLong means that a body is longer than its reader accepts.
var ErrTooLong = errors.New("the body of the response is too long")

// Transport bounds the bodies of the responses of another transport.
type Transport struct {
	base *http.Transport
	// maxBodyBytes bounds one body.
	maxBodyBytes int64
}

// NewTransport returns a Transport that uses base, of which it bounds the heads as well. A body may have maxBodyBytes.
func NewTransport(base *http.Transport, maxBodyBytes int64) *Transport {
	base.MaxResponseHeaderBytes = MaxHeaderBytes
	return &Transport{base: base, maxBodyBytes: maxBodyBytes}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, left: t.maxBodyBytes}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// body returns ErrTooLong after a number of bytes.
type body struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if int64(n) > b.left {
		n, err = int(b.left), ErrTooLong
	}
	b.left -= int64(n)
	return n, err
}
