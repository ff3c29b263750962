package upstream

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
	"github.com/hazelpitch/hazelpitch/internal/safeguard"
)

// Limits of the connections to one back end; those of responses are in bytes.
const (
	dialTimeout             = 2 * time.Second
	maximumConnections      = 4096
	idleConnectionTimeout   = 15 * time.Second
	readBuffer              = 16 << 10
	maximumBufferedResponse = 4 << 20
	maximumRefusalBody      = 64 << 10
	// refusalBodyTimeout bounds the time that the body of a refusal takes: the request can be sent elsewhere.
	refusalBodyTimeout = time.Second
)

// Options configures a Client.
type Options struct {
	// SourceAddress is the source IP address of connections; if empty, the system chooses it.
	SourceAddress string
	// Dial replaces the dialer; nil means dialing.ToBackEnds.
	Dial dialing.Dial
	// Safeguards holds the safeguards that a test disables; processes use the zero Set, which disables none.
	Safeguards safeguard.Set
}

// Client performs exchanges and pools the connections to back ends.
type Client struct {
	http       fasthttp.Client
	safeguards safeguard.Set
}

// NewClient returns a client.
func NewClient(options Options) (*Client, error) {
	dial := options.Dial
	if dial == nil {
		var err error
		if dial, err = dialing.ToBackEnds(options.SourceAddress); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	client := &Client{safeguards: options.Safeguards}
	client.http = fasthttp.Client{
		Transport: &transport{},
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > dialTimeout {
				timeout = dialTimeout
			}
			limited, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			connection, err := dial(limited, "tcp", address)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			return &trackedConnection{Conn: connection}, nil
		},
		MaxConnsPerHost:               maximumConnections,
		MaxIdleConnDuration:           idleConnectionTimeout,
		MaxIdemponentCallAttempts:     1,
		ReadBufferSize:                readBuffer,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
