package declaredend

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/standin/halfhead"
)

// Guards against a response that ends with its connection and is taken for a whole one, and against refusing one that declares its end.
func TestOnlyDeclaredEndsAreAccepted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		method, text string
		fault        error
	}{
		"length":                    {http.MethodPost, head + "Content-Length: 2\r\n\r\nab", nil},
		"length of zero":            {http.MethodPost, head + "Content-Length: 0\r\n\r\n", nil},
		"chunks":                    {http.MethodPost, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil},
		"no content":                {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", nil},
		"not modified":              {http.MethodPost, "HTTP/1.1 304 Not Modified\r\n\r\n", nil},
		"head alone asked for":      {http.MethodHead, head + "\r\n", nil},
		"older protocol, length":    {http.MethodPost, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", nil},
		"with its connection":       {http.MethodPost, head + "\r\nab", ErrUndeclared},
		"empty":                     {http.MethodPost, head + "\r\n", ErrUndeclared},
		"announced close":           {http.MethodPost, head + "Connection: close\r\n\r\nab", ErrUndeclared},
		"older protocol, no length": {http.MethodPost, "HTTP/1.0 200 OK\r\n\r\nab", ErrUndeclared},
		"error without a length":    {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\n\r\nab", nil},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := halfhead.Start(func(*http.Request) halfhead.Reply { return halfhead.Reply{Pieces: []string{test.text}} })
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client := &http.Client{Transport: NewTransport(&http.Transport{})}
			t.Cleanup(client.CloseIdleConnections)
			request, err := http.NewRequest(test.method, "http://"+server.Address(), nil)
			require.NoError(t, err)
			response, err := client.Do(request)
			require.ErrorIs(t, err, test.fault)
			if err == nil {
				require.NoError(t, response.Body.Close())
			}
		})
	}
}
