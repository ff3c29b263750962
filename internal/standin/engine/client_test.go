package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// exchangeID returns a well-formed exchange ID for a number.
func exchangeID(number int) string { return fmt.Sprintf("%032x", number) }

// quickProfile has short durations, for tests that wait for states.
func quickProfile() enginemodel.Profile {
	profile := enginemodel.DefaultProfile()
	profile.PrefillTokensPerSecond = 1e6
	profile.StepBase = time.Millisecond
	profile.RoleChange = 20 * time.Millisecond
	profile.WeightLoad = 10 * time.Millisecond
	profile.AdapterLoad = 10 * time.Millisecond
	profile.KVTransferBytesPerSecond = 1e12
	return profile
}

func startEngine(t *testing.T, change func(*Config)) *Engine {
	t.Helper()
	config := Config{
		// No client uses 127.0.0.3 as its source address, so a crashed engine's port stays free for its restart.
		Name: "e1", Service: "judge", Zone: "a", Address: "127.0.0.3:0", Model: "m", Version: "1",
		Profile: quickProfile(), LoadLag: time.Millisecond, CacheEventLag: time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	started, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

// chunk is one event of a stream.
type chunk struct {
	Exchange string `json:"exchange"`
	Offset   int    `json:"offset"`
	Choices  []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// answer is the result of one call.
type answer struct {
	status   int
	header   http.Header
	code     string // of an error body
	body     string
	text     string
	offsets  []int
	others   int // events of another exchange
	finished bool
	usage    int
	done     bool
	err      error
}

type call struct {
	engine  *Engine
	method  string
	path    string
	headers map[string]string
	body    any
}

const promptText = "grade the lot"

func chat(engine *Engine, number, tokens int) call {
	return call{
		engine: engine, method: http.MethodPost, path: enginecontract.PathChat,
		headers: map[string]string{enginecontract.HeaderExchange: exchangeID(number)},
		body: map[string]any{
			"model": "m", "stream": true, "max_tokens": tokens,
			"messages": []map[string]string{{"role": "user", "content": promptText}},
		},
	}
}

func (c call) with(name, value string) call {
	headers := map[string]string{name: value}
	for key, present := range c.headers {
		if key != name {
			headers[key] = present
		}
	}
	c.headers = headers
	return c
}

func (c call) set(key string, value any) call {
	body := map[string]any{key: value}
	for name, present := range c.body.(map[string]any) {
		if name != key {
			body[name] = present
		}
	}
	c.body = body
	return c
}

func (c call) open(t *testing.T) (*http.Response, error) {
	t.Helper()
	var body io.Reader
	if c.body != nil {
		text, err := json.Marshal(c.body)
		require.NoError(t, err)
		body = strings.NewReader(string(text))
	}
	request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+c.engine.Address()+c.path, body)
	require.NoError(t, err)
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return transport.RoundTrip(request)
}

func (c call) do(t *testing.T) answer {
	t.Helper()
	response, err := c.open(t)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return read(t, response, c.headers[enginecontract.HeaderExchange])
}

func read(t *testing.T, response *http.Response, exchange string) answer {
	t.Helper()
	got := answer{status: response.StatusCode, header: response.Header}
	if response.Header.Get("Content-Type") != "text/event-stream" {
		text, err := io.ReadAll(response.Body)
		got.body, got.err = string(text), err
		var problem errorBody
		if json.Unmarshal(text, &problem) == nil {
			got.code = problem.Error.Code
		}
		return got
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			continue
		}
		var event chunk
		require.NoError(t, json.Unmarshal([]byte(data), &event), data)
		got.add(event, exchange)
	}
	got.err = lines.Err()
	return got
}

func (a *answer) add(event chunk, exchange string) {
	switch {
	case exchange != "" && event.Exchange != exchange:
		a.others++
	case event.Usage != nil:
		a.usage = event.Usage.Completion
	case len(event.Choices) > 0 && event.Choices[0].FinishReason != "":
		a.finished = true
	case len(event.Choices) > 0:
		a.text += event.Choices[0].Delta.Content + event.Choices[0].Text
		a.offsets = append(a.offsets, event.Offset)
	}
}

func faultOnce(kind fault.Kind) fault.Fault {
	return fault.Fault{Kind: kind, Count: 1, Tokens: 3, DelayMs: 5}
}
