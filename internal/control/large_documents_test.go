package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	// largeDocumentBytes is the size of a large configuration document. The platform's limit for a body is 4 MiB.
	largeDocumentBytes = 1 << 20
	// logBytesLimit bounds the log entries of one controller, on disk and in memory: a quarter of a disk of 128 MB.
	logBytesLimit = 32 << 20
)

// putLargeDocument puts a large document in force.
func (w *testCluster) putLargeDocument(number uint64) {
	w.t.Helper()
	content := bytes.Repeat([]byte{byte(number)}, largeDocumentBytes)
	answer := w.call(w.waitLeader(), func(id CallID) Input {
		return PutDocumentReceived{Call: id, Document: &v1.Document{Number: number, Content: content}}
	})
	require.NoError(w.t, answer.Err)
}

// logBytes returns the bytes of the log entries on a controller's disk.
func (c *testController) logBytes() int {
	size := 0
	for _, entry := range c.disk.Entries {
		size += len(entry.GetData())
	}
	return size
}

// Guards against a log that is compacted by the number of its entries alone: hundreds of large documents filled the disks
// and the memory of all controllers, so that no change was accepted any more.
func TestLogOfLargeDocumentsIsBounded(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	for number := range uint64(100) {
		w.putLargeDocument(number + 1)
		for _, controller := range w.controllers {
			require.LessOrEqual(t, controller.logBytes(), logBytesLimit, "on the disk of %s after document %d", controller.name, number+1)
			require.LessOrEqual(t, controller.core.Status().Consensus.LogBytes, logBytesLimit, "in the memory of %s after document %d", controller.name, number+1)
		}
	}
}

// Guards against a controller that was away while large documents were put and that does not catch up after the log was compacted.
func TestControllerThatMissedLargeDocumentsCatchesUp(t *testing.T) {
	w := newTestCluster(t, 3, nil)
	leader := w.waitLeader()
	away := w.controllers[w.names[0]]
	if away == leader {
		away = w.controllers[w.names[1]]
	}
	away.cut = true
	for number := range uint64(60) {
		w.putLargeDocument(number + 1)
	}
	away.cut = false
	w.run(3 * time.Second)
	require.Equal(t, uint64(60), away.core.state.Document().GetNumber())
	for _, name := range w.names {
		w.crash(name)
		w.start(name)
	}
	w.waitLeader()
	w.run(time.Second) // the followers learn that the last document is committed
	for _, controller := range w.controllers {
		require.Equal(t, uint64(60), controller.core.state.Document().GetNumber(), controller.name)
	}
}
