package stream

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// FuzzScanner reads arbitrary event streams: each event must respect the bounds of the contract and contain
// valid JSON, and each stream must end with an error.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("data: {\"exchange\":\"e\",\"offset\":1,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"usage\":{\"prompt_tokens\":1}}\n\n"))
	f.Add([]byte("data: {\"error\":{\"code\":\"overloaded\"}}\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"finish_reason\":\"stop\",\"text\":\"\\u00e9\"}],\"tokens\":3}\r\n"))
	f.Add([]byte(": comment\ndata:{\"offset\":-1}\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		scanner := newTestScanner(bytes.NewReader(body))
		for range len(body) + 1 {
			event, err := scanner.Next()
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, event.Offset, 0)
			if event.Type == EventToken {
				require.Positive(t, event.Tokens)
			}
			for _, content := range [][]byte{event.Choices, event.Usage} {
				require.True(t, len(content) == 0 || gjson.ValidBytes(content), "%q", content)
			}
		}
		require.Fail(t, "the scanner did not reach the end of the stream")
	})
}
