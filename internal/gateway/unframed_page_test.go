package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
)

// startRawPage starts a page service that answers each request with the given head and body and closes the connection. EXCHANGE
// in the answer stands for the request's exchange.
func startRawPage(t *testing.T, answer string) string {
	t.Helper()
	return startRaw(t, func(connection net.Conn, exchange string) {
		_, _ = io.WriteString(connection, strings.ReplaceAll(answer, "EXCHANGE", exchange))
	})
}

// Guards against a page that was broken off and reaches its caller as complete, since it ends with its connection.
func TestPageThatEndsWithItsConnectionIsNotDelivered(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\n" + enginecontract.HeaderExchange + ": EXCHANGE\r\n"
	for name, test := range map[string]struct {
		framing string
		status  int
	}{"with its connection": {"Connection: close\r\n\r\nhalf", 502}, "at its length": {"Content-Length: 4\r\n\r\nhalf", 200}} {
		service := startRawPage(t, head+test.framing)
		controller := startController(t, pageBackEnd("p1", service))
		gateway := startGateway(t, testSettings(controller.address))
		require.Equal(t, test.status, call(t, http.MethodPost, gateway.url+"/registrations", "x", nil).status, name)
	}
}
