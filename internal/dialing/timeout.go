// Package dialing limits how connections between hazelpitch's own processes are opened and used.
package dialing

import (
	"context"
	"net"
	"time"
)

// PeerTimeout limits an attempt to connect to another process of the system. A machine without power does not
// answer, and the kernel repeats the lost SYN packet only after a second; a new attempt reaches the machine
// sooner once it is back.
const PeerTimeout = 250 * time.Millisecond

// operatorTimeout limits an attempt of an operator to connect to a controller, which may be on another continent.
const operatorTimeout = 500 * time.Millisecond

// Dial opens a connection, like net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a Dial that fails if the connection is not open within the limit.
func WithTimeout(dial Dial, limit time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return dial(limited, network, address)
	}
}
