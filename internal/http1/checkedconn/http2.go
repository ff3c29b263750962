package checkedconn

import (
	"net/http"
	"strings"

	"github.com/hazelpitch/hazelpitch/internal/http1/grammar"
)

// HTTP2Transport checks what the library leaves unchecked of HTTP/2: that a status is a status code.
type HTTP2Transport struct{ base *http.Transport }

// CheckHTTP2 returns a transport that checks the answers of a transport of HTTP/2.
func CheckHTTP2(base *http.Transport) *HTTP2Transport { return &HTTP2Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *HTTP2Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	code, _, _ := strings.Cut(response.Status, " ")
	if _, err := grammar.ParseStatus([]byte(code)); err != nil {
		_ = response.Body.Close() // the answer is not used
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *HTTP2Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
