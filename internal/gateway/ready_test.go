package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// TestGatewayIsReadyOnceItKnowsBackEnds sends a gateway its configuration first and the
// directory of back ends later: it must become ready only then.
func TestGatewayIsReadyOnceItKnowsBackEnds(t *testing.T) {
	controller := startController(t)
	backEnds := controller.directory
	controller.setDirectory(nil)
	gateway, err := newGateway(testSettings(controller.address), Options{})
	require.NoError(t, err)
	require.ErrorContains(t, gateway.ready(), "no controller has given a configuration yet")

	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go gateway.view.run(ctx)
	synced := func() {
		_, err := gateway.syncWith(ctx, controller.address)
		require.NoError(t, err)
	}
	synced()
	require.ErrorContains(t, gateway.ready(), "which back ends serve")
	controller.setDirectory(backEnds)
	synced()
	require.NoError(t, gateway.ready())
}

func (c *testController) setDirectory(directory *v1.Directory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.directory = directory
}
