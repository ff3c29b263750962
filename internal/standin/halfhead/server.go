package halfhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End says what becomes of a connection after a reply.
type End int

const (
	// Close closes the connection.
	Close End = iota
	// Reset resets the connection once the reply has had time to arrive.
	Reset
	// Keep reads the next request of the connection.
	Keep
)

// Ends are the ways in which a connection ends, by name.
var Ends = map[string]End{"closed": Close, "reset": Reset}

// resetDelay is the time for a reply to arrive: a reset discards what was not read yet.
const resetDelay = 5 * time.Millisecond

// Reply is what the server sends for a request.
type Reply struct {
	// Pieces are sent one after the other, each with a write of its own.
	Pieces []string
	// Pause is the time before each piece but the first one.
	Pause time.Duration
	End   End
}

// Server answers requests of HTTP/1 with raw bytes.
type Server struct {
	listener net.Listener
	answer   func(request *http.Request) Reply
	requests atomic.Int64
}

// Start starts a server at a free port of the loopback address. It must be closed.
func Start(answer func(request *http.Request) Reply) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, answer: answer}
	go server.accept()
	return server, nil
}

// Address returns the IP:port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() } // fails only if it is closed already

func (s *Server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		go s.serve(connection)
	}
}

// serve answers the requests of one connection.
func (s *Server) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		s.requests.Add(1)
		reply := s.answer(request)
		for number, piece := range reply.Pieces {
			if number > 0 {
				time.Sleep(reply.Pause)
			}
			if _, err := io.WriteString(connection, piece); err != nil {
				return
			}
		}
		switch reply.End {
		case Keep:
			continue
		case Reset:
			time.Sleep(resetDelay)
			_ = connection.(*net.TCPConn).SetLinger(0) // a close that is no reset ends the answer as well
		}
		return
	}
}
