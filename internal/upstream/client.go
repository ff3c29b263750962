package upstream

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/bodybudget"
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
	// defaultAnswerBytes is the memory for all long answers that are held at once.
	defaultAnswerBytes = 64 << 20
	// refusalBodyTimeout bounds the time that the body of a refusal takes: the request can be sent elsewhere.
	refusalBodyTimeout = time.Second
)

// Options configures a Client.
type Options struct {
	// SourceAddress is the source IP address of connections; if empty, the system chooses it.
	SourceAddress string
	// Dial replaces the dialer; nil means dialing.ToBackEnds.
	Dial dialing.Dial
	// AnswerBytes is the memory for all long answers that are held at once; 0 means 64 MiB.
	AnswerBytes int
	// Safeguards holds the safeguards that a test disables; processes use the zero Set, which disables none.
	Safeguards safeguard.Set
}

// Client performs exchanges and pools the connections to back ends.
type Client struct {
	http       fasthttp.Client
	safeguards safeguard.Set
	memory     *bodybudget.Budget
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
	if options.AnswerBytes == 0 {
		options.AnswerBytes = defaultAnswerBytes
	}
	client := &Client{safeguards: options.Safeguards, memory: bodybudget.New(int64(options.AnswerBytes))}
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

// NewReservation returns a reservation of memory for a long answer, or for what is kept of one.
func (c *Client) NewReservation() *bodybudget.Reservation { return c.memory.NewReservation() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
