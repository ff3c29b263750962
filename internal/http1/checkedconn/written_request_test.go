package checkedconn

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that counts as written before its last byte was, however the library divides it.
func TestRequestIsWholeWithItsLastByteOnly(t *testing.T) {
	for name, text := range map[string]string{
		"without a body": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"length":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n0\r\n\r\nab",
		"chunks":         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"odd head":       "no request\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			written := writtenRequest{}
			for size := 1; size <= len(text); size++ {
				written.reset()
				for rest := text; rest != ""; {
					require.False(t, written.isWhole(), "%q is left", rest)
					piece := rest[:min(size, len(rest))]
					written.add([]byte(piece))
					rest = strings.TrimPrefix(rest, piece)
				}
				require.True(t, written.isWhole(), "pieces of %d bytes", size)
			}
		})
	}
}
