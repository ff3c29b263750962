package upstream

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Limits of the connections to one back end.
const (
	dialTimeout             = 2 * time.Second
	maximumConnections      = 4096
	idleConnectionLimit     = 15 * time.Second
	maximumResponseHeader   = 16 << 10
	maximumBufferedResponse = 4 << 20
)

// Client holds the connections to back ends.
type Client struct {
	http fasthttp.Client
}

// NewClient returns a client whose connections leave from the source IP; an empty source
// leaves the choice to the system.
func NewClient(source string) (*Client, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != "" {
		ip := net.ParseIP(source)
		if ip == nil {
			return nil, trace.BadParameter("source address %q is not an IP number", source)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	client := &Client{}
	client.http = fasthttp.Client{
		Transport: &transport{},
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			limited := *dialer
			if timeout > 0 && timeout < limited.Timeout {
				limited.Timeout = timeout
			}
			connection, err := limited.Dial("tcp", address)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			return &trackedConnection{Conn: connection}, nil
		},
		MaxConnsPerHost:               maximumConnections,
		MaxIdleConnDuration:           idleConnectionLimit,
		MaxIdemponentCallAttempts:     1,
		ReadBufferSize:                maximumResponseHeader,
		StreamResponseBody:            true,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
