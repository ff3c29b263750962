package halfhead

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a server that sends whole answers where a test needs one that stops: a reader that is right takes none of the ways
// for a whole answer, except those that declare an empty body or end with the connection.
func TestWaysStopAnAnswer(t *testing.T) {
	answer := Answer{Headers: "Content-Type: text/plain\r\n", Body: "whole"}
	ways := append(answer.Ways(), Way{Name: "whole", Text: answer.Whole(), IsHeadWhole: true})
	for _, way := range ways {
		for name, end := range Ends {
			server, err := Start(func(*http.Request) Reply { return Reply{Pieces: []string{way.Text}, End: end} })
			require.NoError(t, err)
			client := &http.Client{Transport: &http.Transport{}}
			received, err := client.Get("http://" + server.Address())
			require.Equal(t, way.IsHeadWhole, err == nil, "%s, %s: %v", way.Name, name, err)
			require.NotZero(t, server.Requests())
			if err == nil {
				body, err := io.ReadAll(received.Body)
				require.NoError(t, received.Body.Close())
				isWhole := err == nil && string(body) == answer.Body
				require.Equal(t, way.Name == "whole", isWhole, "%s, %s", way.Name, name)
			}
			client.CloseIdleConnections()
			server.Close()
		}
	}
}

// Guards against padding that misses the size of a buffer.
func TestPaddedHeadHasItsLength(t *testing.T) {
	for _, size := range ReadBufferSizes {
		padded := Answer{Headers: "A: b\r\n"}.Padded(size)
		require.Len(t, padded.statusLine("HTTP/1.1")+"\r\n"+padded.Headers, size)
	}
}
