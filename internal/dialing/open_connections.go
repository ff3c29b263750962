package dialing

import (
	"context"
	"net"
	"sync"
)

// OpenConnections holds the connections that were opened by its Dial and not closed yet. It is safe for concurrent use.
type OpenConnections struct {
	mutex sync.Mutex
	open  map[*openConnection]struct{}
}

// openConnection is a connection that removes itself from its OpenConnections when it is closed.
type openConnection struct {
	net.Conn
	holder *OpenConnections
}

// Close implements net.Conn.
func (c *openConnection) Close() error {
	c.holder.mutex.Lock()
	delete(c.holder.open, c)
	c.holder.mutex.Unlock()
	return c.Conn.Close()
}

// Dial returns a Dial whose connections are held.
func (o *OpenConnections) Dial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		held := &openConnection{Conn: conn, holder: o}
		o.mutex.Lock()
		defer o.mutex.Unlock()
		if o.open == nil {
			o.open = make(map[*openConnection]struct{})
		}
		o.open[held] = struct{}{}
		return held, nil
	}
}

// CloseAll closes all connections that are open now: exchanges on them fail, and the next ones dial again.
func (o *OpenConnections) CloseAll() {
	o.mutex.Lock()
	open := o.open
	o.open = nil
	o.mutex.Unlock()
	for connection := range open {
		_ = connection.Conn.Close() // fails only if it was closed meanwhile
	}
}
