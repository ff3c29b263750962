package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/enginemodel"
	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
)

// idleWorkerTimeout exceeds the time after which the HTTP library ends its idle workers.
const idleWorkerTimeout = time.Minute

// timedRequest is one request and the times at which its tokens arrived, since the start.
type timedRequest struct {
	at           time.Duration
	promptTokens int
	outputTokens int
	tokens       []time.Duration
}

// TestStandInTakesTheTimesOfTheModel sends concurrent requests over HTTP to a stand-in engine in
// a synctest bubble and compares the time of each token with that of an engine model without the
// HTTP server around it, as experiments use it.
func TestStandInTakesTheTimesOfTheModel(t *testing.T) {
	outside := startEngine(t, nil) // starts the HTTP library's own clock outside of the bubble
	requireComplete(t, chat(outside, 1, 1).do(t), 0, 1)
	for _, role := range []enginecontract.Role{enginecontract.RoleMixed, enginecontract.RoleDecode} {
		t.Run(string(role), func(t *testing.T) {
			requests := []*timedRequest{
				{at: 0, promptTokens: 3000, outputTokens: 40},
				{at: 100 * time.Millisecond, promptTokens: 500, outputTokens: 30},
				{at: 110 * time.Millisecond, promptTokens: 9000, outputTokens: 5},
				{at: 5 * time.Second, promptTokens: 200, outputTokens: 10},
			}
			synctest.Test(t, func(t *testing.T) { streamAll(t, role, requests) })
			require.Equal(t, modelTimes(t, role, requests), tokenTimes(requests))
		})
	}
}

// streamAll sends the requests at their times and records when each token arrives.
func streamAll(t *testing.T, role enginecontract.Role, requests []*timedRequest) {
	listener := fasthttputil.NewInmemoryListener()
	engine, err := Start(Config{
		Name: "e1", Address: "127.0.0.1:0", Model: "m", Role: role, Profile: enginemodel.DefaultProfile(),
		Listen: func(string, string) (net.Listener, error) { return listener, nil },
	})
	require.NoError(t, err)
	defer func() {
		engine.Close()
		time.Sleep(idleWorkerTimeout) // virtual: the HTTP library's idle workers end
	}()
	began := time.Now()
	var sending sync.WaitGroup
	for number, request := range requests {
		sending.Go(func() {
			time.Sleep(request.at)
			connection, err := listener.Dial()
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = connection.Close() }()
			if _, err := connection.Write(request.text(number)); err != nil {
				t.Error(err)
				return
			}
			request.read(connection, began)
		})
	}
	sending.Wait()
}

// text returns the request in its wire form.
func (s *timedRequest) text(number int) []byte {
	empty := answertext.Prompt([]answertext.Message{{Role: "user"}})
	content := fmt.Sprintf("%d", number) // no prompt is a prefix of another
	content += strings.Repeat("x", s.promptTokens*4-len(empty)-len(content))
	body, err := json.Marshal(map[string]any{
		"model": "m", "stream": true, "max_tokens": s.outputTokens,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil { // the type always marshals
		panic(err)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: e1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		enginecontract.PathChat, enginecontract.HeaderExchange, exchangeID(number), len(body))
	return append([]byte(head), body...)
}

// read records the time of each token until the stream ends.
func (s *timedRequest) read(connection net.Conn, began time.Time) {
	for lines := bufio.NewScanner(connection); lines.Scan(); {
		data, isEvent := strings.CutPrefix(lines.Text(), "data: ")
		var event chunk
		switch {
		case data == "[DONE]":
			return
		case !isEvent || json.Unmarshal([]byte(data), &event) != nil:
			continue
		case len(event.Choices) > 0 && event.Choices[0].Delta.Content != "":
			s.tokens = append(s.tokens, time.Since(began))
		}
	}
}

func tokenTimes(requests []*timedRequest) [][]time.Duration {
	times := make([][]time.Duration, len(requests))
	for number, request := range requests {
		times[number] = request.tokens
	}
	return times
}

// modelTimes returns the times of the same tokens according to the model alone.
func modelTimes(t *testing.T, role enginecontract.Role, requests []*timedRequest) [][]time.Duration {
	t.Helper()
	model, err := enginemodel.New(enginemodel.DefaultProfile(), role, enginemodel.WithTokenEvents())
	require.NoError(t, err)
	times := make([][]time.Duration, len(requests))
	follow := func(until time.Duration) {
		for _, event := range model.Advance(until) {
			if event.Type == enginemodel.EventFirstToken || event.Type == enginemodel.EventToken {
				var number int
				_, err := fmt.Sscanf(event.ID, "%x", &number)
				require.NoError(t, err)
				times[number] = append(times[number], event.At)
			}
		}
	}
	for number, request := range requests {
		follow(request.at)
		require.NoError(t, model.Submit(request.at, enginemodel.Request{
			ID: exchangeID(number), PromptTokens: request.promptTokens, OutputTokens: request.outputTokens,
		}))
	}
	follow(time.Hour)
	return times
}
