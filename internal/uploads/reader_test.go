package uploads

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
)

const bodyBytes = 4 * bodybudget.FreeBytes

// Guards against a body that is cut without an error, and memory that a body keeps for good.
func TestReadIsBounded(t *testing.T) {
	reader := NewReader(Limits{BodyBytes: bodyBytes, TotalBytes: bodyBytes, Timeout: time.Minute})
	for _, test := range []struct {
		name   string
		body   io.Reader
		length int
		status int
	}{
		{"empty", strings.NewReader(""), 0, http.StatusOK},
		{"short", strings.NewReader("x"), 1, http.StatusOK},
		{"longest", strings.NewReader(strings.Repeat("x", bodyBytes)), bodyBytes, http.StatusOK},
		{"too long", strings.NewReader(strings.Repeat("x", bodyBytes+1)), 0, http.StatusBadRequest},
		{"broken off", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), 0, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			for round := range 3 {
				body, release, err := reader.Read(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/", test.body))
				if test.status != http.StatusOK {
					require.Error(t, err)
					require.Equal(t, test.status, StatusOf(err))
					return
				}
				require.NoError(t, err, fmt.Sprintf("round %d", round))
				require.Len(t, body, test.length)
				release()
				if seeker, ok := test.body.(io.Seeker); ok {
					_, err := seeker.Seek(0, io.SeekStart)
					require.NoError(t, err)
				}
			}
		})
	}
}

// Guards against a body that waits for good, or is called invalid, while another one takes all memory.
func TestExhaustedMemoryIsUnavailable(t *testing.T) {
	reader := NewReader(Limits{BodyBytes: bodyBytes, TotalBytes: bodyBytes, Timeout: time.Minute})
	newRequest := func() *http.Request {
		return httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("x", bodyBytes)))
	}
	_, release, err := reader.Read(httptest.NewRecorder(), newRequest())
	require.NoError(t, err)
	_, _, err = reader.Read(httptest.NewRecorder(), newRequest())
	require.ErrorIs(t, err, bodybudget.ErrExhausted)
	require.Equal(t, http.StatusServiceUnavailable, StatusOf(err))
	release()
	_, _, err = reader.Read(httptest.NewRecorder(), newRequest())
	require.NoError(t, err)
}
