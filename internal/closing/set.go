package closing

import (
	"context"
	"net"
	"sync"
	"time"
)

// closePollInterval is the time between two checks for idle connections.
const closePollInterval = 10 * time.Millisecond

// Set tracks the open connections of a server. It is safe for concurrent use.
type Set struct {
	mutex sync.Mutex
	open  map[*Connection]struct{}
	// lingering is the number of connections that are ended and wait for their clients to close them.
	lingering int
	// lastAnswer is sent on each connection that CloseIdle closes; empty for none.
	lastAnswer []byte
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{open: map[*Connection]struct{}{}} }

// AnswerOnClose sets the answer that CloseIdle sends on each connection before it closes it. A request that is on its way to
// a connection at that moment is never read, so the client takes this answer as the one to its request. The answer must say
// that the request was not run and that the connection is closed. Must be called before Track.
func (s *Set) AnswerOnClose(answer []byte) { s.lastAnswer = answer }

// Track adds an accepted connection to the set until it is closed.
func (s *Set) Track(accepted net.Conn) *Connection {
	connection := &Connection{Conn: accepted, set: s, stateSince: time.Now()}
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

// addLingering changes the number of lingering connections, for which CloseIdle waits.
func (s *Set) addLingering(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lingering += count
}

// isEmpty reports whether no connection is open or lingering.
func (s *Set) isEmpty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)+s.lingering == 0
}

// Len returns the number of open connections, without those that are ended and wait for their clients to close them.
func (s *Set) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.open)
}

// CloseIdle closes each connection that serves no request, once its state has not changed for the quiet
// time. It closes none before the quiet time has passed since the stop started. It returns true once no
// connection is open, and false if the context is done first. It waits for clients that have not closed their ended connection
// yet, since the end of the process would reset it.
func (s *Set) CloseIdle(ctx context.Context, stopStartedAt time.Time, quiet time.Duration) bool {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for !s.isEmpty() {
		if now := time.Now(); now.Sub(stopStartedAt) >= quiet {
			s.closeIdleConnections(now.Add(-quiet))
		}
		select {
		case <-ctx.Done():
			return s.Len() == 0
		case <-ticker.C:
		}
	}
	return true
}

func (s *Set) closeIdleConnections(quietSince time.Time) {
	s.mutex.Lock()
	connections := make([]*Connection, 0, len(s.open))
	for connection := range s.open {
		connections = append(connections, connection)
	}
	s.mutex.Unlock()
	for _, connection := range connections {
		connection.requestClose(quietSince)
	}
}
