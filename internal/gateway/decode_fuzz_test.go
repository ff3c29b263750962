package gateway

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/stream"
)

// FuzzChatRequest parses arbitrary bodies of callers: each is refused or yields a body
// for the engine that is valid JSON and in which the gateway's own members take effect.
func FuzzChatRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`), false)
	f.Add([]byte(`{"model":"m","prompt":"hi","stream":true,"stream_options":{"include_usage":true}}`), true)
	f.Add([]byte(`{"prompt":["a"],"prompt":"b"}`), true)
	f.Add([]byte(`{"pr\u006fmpt":"b","mod\u0065l":"x"}`), true)
	f.Add([]byte(`{"prompt":"b","n":2}`), true)
	f.Fuzz(func(t *testing.T, body []byte, completions bool) {
		format := stream.FormatChat
		if completions {
			format = stream.FormatCompletions
		}
		request, refused := parseChatRequest(format, body)
		if refused != nil {
			return
		}
		var sent map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(request.engineBody("model-in-force", "so far"), &sent))
		require.JSONEq(t, `"model-in-force"`, string(sent["model"]))
		require.JSONEq(t, `"so far"`, string(sent[enginecontract.FieldContinueText]))
		require.JSONEq(t, `true`, string(sent["stream"]))
		require.GreaterOrEqual(t, request.maximumTokens, 0)
	})
}

// FuzzEngineHeaders parses arbitrary load headers and usage members of engines: none
// yields a negative number of requests.
func FuzzEngineHeaders(f *testing.F) {
	f.Add("1,2,3", []byte(`{"prompt_tokens":1,"completion_tokens":2}`))
	f.Add("1,-2,3", []byte(`{`))
	f.Add("9223372036854775808,0,0", []byte(`null`))
	f.Fuzz(func(t *testing.T, header string, raw []byte) {
		if load := parseLoad(header); load != nil {
			require.GreaterOrEqual(t, load.Running, 0)
			require.GreaterOrEqual(t, load.Waiting, 0)
			require.GreaterOrEqual(t, load.WaitingPromptTokens, int64(0))
		}
		readUsage(raw)
	})
}
