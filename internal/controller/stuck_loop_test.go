package controller

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Guards against a controller whose loop hangs and that logs nothing: its log looks like that of a process that was stopped,
// and like that of one whose peers are silent before the first report of a missing leader.
func TestLoopThatHangsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logring.New("core-1", settings.Log{RingEntries: 16})
		hanging := newLoop(&scriptedCore{}, func() time.Duration { return 0 }) // it does not run, as one that waits in a step
		c := &controller{log: log, loop: hanging}
		go c.watchStatus(t.Context())
		time.Sleep(30 * time.Second)
		var buffer bytes.Buffer
		require.NoError(t, log.WriteRecent(&buffer))
		require.NotEmpty(t, buffer.String(), "30 s without an answer of the loop")
	})
}
