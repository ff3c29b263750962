package control

import (
	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// leader returns the controller that leads with a valid lease, or nil.
func (w *testCluster) leader() *testController {
	for _, name := range w.names {
		if controller := w.controllers[name]; controller.core != nil && !controller.cut && controller.core.leading &&
			controller.core.consensus.HasValidLease(w.now) {
			return controller
		}
	}
	return nil
}

func (w *testCluster) waitLeader() *testController {
	w.t.Helper()
	w.until("leader", func() bool { return w.leader() != nil })
	return w.leader()
}

// call sends a call to a controller and waits for the answer.
func (w *testCluster) call(controller *testController, input func(CallID) Input) Answer {
	w.t.Helper()
	id := w.send(controller, input)
	w.until("answer", func() bool { _, answered := w.answers[id]; return answered })
	return w.answers[id]
}

// send sends a call to a controller without waiting.
func (w *testCluster) send(controller *testController, input func(CallID) Input) CallID {
	w.lastCall++
	id := w.lastCall
	w.step(controller, input(id))
	return id
}

// apply submits objects to the leader.
func (w *testCluster) apply(requestID string, objects ...*v1.Object) *v1.ApplyResponse {
	w.t.Helper()
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return ApplyReceived{Call: id, Operator: "alice", Request: &v1.ApplyRequest{RequestId: requestID}, Objects: objects}
	})
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.ApplyResponse)
}

// sync sends a gateway's heartbeat to a controller.
func (w *testCluster) sync(controller *testController, request *v1.SyncRequest) *v1.SyncResponse {
	w.t.Helper()
	answer := w.call(controller, func(id CallID) Input { return SyncReceived{Call: id, Request: request} })
	require.NoError(w.t, answer.Err)
	return answer.Response.(*v1.SyncResponse)
}
