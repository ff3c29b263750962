// Package dialing bounds how connections between the system's own processes are opened.
package dialing

import (
	"context"
	"net"
	"time"
)

// PeerTimeout is how long an attempt to connect to a process of the system may take. A
// machine without power answers nothing, and the opening packet that it has lost is repeated
// after a second only: a new attempt reaches the machine sooner once it is back.
const PeerTimeout = 250 * time.Millisecond

// Dial opens a connection.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a Dial that fails when the connection is not open within the limit.
func WithTimeout(dial Dial, limit time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return dial(limited, network, address)
	}
}
