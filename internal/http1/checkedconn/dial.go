package checkedconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// WithChecks returns a Dial whose connections check answers.
func WithChecks(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(connection), nil
	}
}

// NewTransport returns a transport of HTTP/1.1 that checks answers. A nil dial opens connections as a net.Dialer does; with a TLS
// configuration, URLs with the scheme https use it.
func NewTransport(dial Dial, config *tls.Config) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{DialContext: WithChecks(dial)}
	if config != nil {
		transport.DialTLSContext = WithChecks(withTLS(dial, config))
	}
	return transport
}

// withTLS returns a Dial that encrypts its connections. It checks the server's name against the address unless the configuration
// names another one.
func withTLS(dial Dial, config *tls.Config) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := config.Clone()
		if named.ServerName == "" {
			named.ServerName, _, err = net.SplitHostPort(address)
		}
		encrypted := tls.Client(connection, named)
		if err == nil {
			err = encrypted.HandshakeContext(ctx)
		}
		if err != nil {
			_ = connection.Close()
			return nil, err
		}
		return encrypted, nil
	}
}
