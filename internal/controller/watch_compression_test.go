package controller

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/api/hazelpitch/v1/hazelpitchv1connect"
	"github.com/hazelpitch/hazelpitch/internal/control"
)

// Guards against leaders that compress the packed document again for each of hundreds of relays: the processor had no time left for
// heartbeats, and each next leader did the same.
func TestAnswersToWatchesAreNotCompressedAgain(t *testing.T) {
	packedDocument := make([]byte, 2*compressMinBytes)
	server := testController(t, func(call control.CallID, _ control.Input) control.Answer {
		return control.Answer{Call: call, Response: &v1.WatchResponse{PackedDocument: packedDocument}}
	})
	request, err := http.NewRequest(http.MethodPost, server.URL+hazelpitchv1connect.NodeServiceWatchProcedure, bytes.NewReader(nil))
	require.NoError(t, err)
	request.Header.Set("Content-Type", "application/proto")
	request.Header.Set("Accept-Encoding", "gzip")
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer answer.Body.Close()
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Empty(t, answer.Header.Get("Content-Encoding"))
	content, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Len(t, content, proto.Size(&v1.WatchResponse{PackedDocument: packedDocument}))
}
