package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/control"
	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

func TestEveryExchangeYieldsOneInput(t *testing.T) {
	fence := enginecontract.Fence{Epoch: 3, Sequence: 4}
	answer := &enginecontract.OrderAnswer{Accepted: true, State: enginecontract.EngineState{Engine: "e", Incarnation: 7}}
	refusal := &enginecontract.OrderAnswer{Refusal: enginecontract.RefusalStaleFence}
	for name, row := range map[string]struct {
		output control.Output
		serve  http.HandlerFunc
		want   control.Input
	}{
		"order accepted": {control.SendOrder{Engine: "e", Order: enginecontract.Order{Fence: fence}}, jsonAnswer(200, answer), control.OrderAnswered{Engine: "e", Fence: fence, Answer: answer}},
		"order refused":  {control.SendOrder{Engine: "e", Order: enginecontract.Order{Fence: fence}}, jsonAnswer(409, refusal), control.OrderAnswered{Engine: "e", Fence: fence, Answer: refusal}},
		"order failed":   {control.SendOrder{Engine: "e", Order: enginecontract.Order{Fence: fence}}, jsonAnswer(500, answer), control.OrderAnswered{Engine: "e", Fence: fence}},
		"order garbled":  {control.SendOrder{Engine: "e", Order: enginecontract.Order{Fence: fence}}, serveGarbled, control.OrderAnswered{Engine: "e", Fence: fence}},
		"order cut":      {control.SendOrder{Engine: "e", Order: enginecontract.Order{Fence: fence}}, abortConnection, control.OrderAnswered{Engine: "e", Fence: fence}},
		"fence":          {control.SendFence{Engine: "e", Epoch: 3}, jsonAnswer(200, answer), control.FenceAnswered{Engine: "e", Epoch: 3, Answer: answer}},
		"fence cut":      {control.SendFence{Engine: "e", Epoch: 3}, abortConnection, control.FenceAnswered{Engine: "e", Epoch: 3}},
		"poll": {control.PollEngine{Engine: "e"}, func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == enginecontract.PathState {
				jsonAnswer(200, answer.State)(writer, request)
				return
			}
			jsonAnswer(200, enginecontract.LoadReport{Running: 5})(writer, request)
		}, control.EngineStateReceived{Engine: "e", State: &answer.State, Load: &enginecontract.LoadReport{Running: 5}}},
		"poll without load": {control.PollEngine{Engine: "e"}, func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == enginecontract.PathState {
				jsonAnswer(200, answer.State)(writer, request)
				return
			}
			writer.WriteHeader(503)
		}, control.EngineStateReceived{Engine: "e", State: &answer.State}},
		"poll cut": {control.PollEngine{Engine: "e"}, abortConnection, control.EngineStateReceived{Engine: "e"}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(row.serve)
			defer server.Close()
			dial, err := dialing.FromSource("127.0.0.1", outsideDialTimeout)
			require.NoError(t, err)
			engines := newEngines(dial, nil, func(string, bool) {})
			require.Equal(t, row.want, engines.exchange(withAddress(row.output, server.Listener.Addr().String())))
		})
	}
}

func TestExchangesAreLostWhenTheQueueIsFull(t *testing.T) {
	engines := newEngines(nil, func(context.Context, control.Input) error { return nil }, func(string, bool) {})
	for range orderQueue {
		require.Nil(t, engines.enqueue(control.SendFence{Engine: "e", Epoch: 1}))
	}
	require.Equal(t, control.FenceAnswered{Engine: "e", Epoch: 1}, engines.enqueue(control.SendFence{Engine: "e", Epoch: 1}))
	require.Nil(t, engines.enqueue(control.PollEngine{Engine: "e"}), "polls have their own queue")
}

func withAddress(output control.Output, address string) control.Output {
	switch request := output.(type) {
	case control.SendOrder:
		request.Address = address
		return request
	case control.SendFence:
		request.Address = address
		return request
	case control.PollEngine:
		request.Address = address
		return request
	}
	return output
}

func jsonAnswer(status int, body any) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
	}
}

func serveGarbled(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("{")) }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
