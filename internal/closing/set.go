package closing

import (
	"context"
	"net"
	"sync"
	"time"
)

// endPoll is the time between two looks at which connections rest.
const endPoll = 10 * time.Millisecond

// Set is the open connections of a server. It is safe for concurrent use.
type Set struct {
	mutex sync.Mutex
	open  map[*Connection]struct{}
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{open: map[*Connection]struct{}{}} }

// Track adds an accepted connection, until it is closed.
func (s *Set) Track(accepted net.Conn) *Connection {
	connection := &Connection{Conn: accepted, set: s, since: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[connection] = struct{}{}
	return connection
}

func (s *Set) remove(connection *Connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, connection)
}

// Len is the number of open connections.
func (s *Set) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// CloseIdle ends the connections that rest, each once nothing has come on it for the quiet time, counted from
// the beginning of the stop at the earliest. It returns true once no connection is open, false when the
// context ends first.
func (s *Set) CloseIdle(ctx context.Context, began time.Time, quiet time.Duration) bool {
	ticker := time.NewTicker(endPoll)
	defer ticker.Stop()
	for s.Len() > 0 {
		if now := time.Now(); now.Sub(began) >= quiet {
			s.endResting(now.Add(-quiet))
		}
		select {
		case <-ctx.Done():
			return s.Len() == 0
		case <-ticker.C:
		}
	}
	return true
}

func (s *Set) endResting(quietSince time.Time) {
	s.mutex.Lock()
	connections := make([]*Connection, 0, len(s.open))
	for connection := range s.open {
		connections = append(connections, connection)
	}
	s.mutex.Unlock()
	for _, connection := range connections {
		connection.end(quietSince)
	}
}
