// Package weightstore is a stand-in for the platform's weight store: it streams model
// weights under one shared rate limit and refuses readers beyond a maximum.
package weightstore

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/crashable"
)

const (
	// chunkBytes is the number of bytes that pass the rate limiter at once.
	chunkBytes      = 32 << 10
	shutdownTimeout = time.Second
	retryAfter      = "1"
)

// Config configures a weight store.
type Config struct {
	Address string // IP:port; port 0 selects a free port
	// BytesPerSecond is the rate limit over all readers together.
	BytesPerSecond int
	// MaxReaders is the maximum number of concurrent readers; further ones get 429.
	MaxReaders int
	// Weights maps "model/version" to a size in bytes.
	Weights map[string]int64
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Status is the answer to GET /v1/weights-status.
type Status struct {
	Readers        int   `json:"readers"`
	MaxReaders     int   `json:"max_readers"`
	BytesPerSecond int   `json:"bytes_per_second"`
	BytesSent      int64 `json:"bytes_sent"`
	Refused        int   `json:"refused"`
}

// Server is a weight store server. It is safe for concurrent use.
type Server struct {
	config  Config
	server  *crashable.Server
	address string
	limiter *rate.Limiter

	mutex  sync.Mutex
	status Status
}

// Start starts a weight store. BytesPerSecond and MaxReaders must be positive.
func Start(config Config) (*Server, error) {
	if config.Listen == nil {
		config.Listen = net.Listen
	}
	if config.BytesPerSecond < 1 || config.MaxReaders < 1 {
		return nil, trace.BadParameter("the weight store needs bytes_per_second and max_readers above 0")
	}
	listener, err := config.Listen("tcp", config.Address)
	if err != nil {
		return nil, trace.Wrap(err, "the weight store can't listen on %s", config.Address)
	}
	store := &Server{
		config: config, address: listener.Addr().String(),
		limiter: rate.NewLimiter(rate.Limit(config.BytesPerSecond), chunkBytes),
		status:  Status{MaxReaders: config.MaxReaders, BytesPerSecond: config.BytesPerSecond},
	}
	store.server = crashable.Start(listener, store.handle)
	return store, nil
}

// Address returns the IP:port that the store listens on.
func (s *Server) Address() string { return s.address }

// Close stops the store.
func (s *Server) Close() { _ = s.server.Close(shutdownTimeout) } // it resets the remaining connections in any case

// Status returns the store's current use and its limits.
func (s *Server) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.status
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == enginecontract.PathWeightsStatus:
		text, err := json.Marshal(s.Status())
		if err != nil { // the type always marshals
			panic(err)
		}
		ctx.Response.Header.SetContentType("application/json")
		ctx.Response.SetBody(text)
	case strings.HasPrefix(path, enginecontract.PathWeights):
		s.serveWeights(ctx, strings.TrimPrefix(path, enginecontract.PathWeights))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (s *Server) serveWeights(ctx *fasthttp.RequestCtx, name string) {
	size, found := s.config.Weights[name]
	switch {
	case !found:
		ctx.Error("no such model and version", fasthttp.StatusNotFound)
		return
	case !s.acquireReader():
		ctx.Error("too many readers", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
		return
	}
	ctx.Response.SetBodyStreamWriter(func(out *bufio.Writer) {
		defer s.releaseReader()
		s.streamBytes(out, size)
	})
	ctx.Response.Header.SetContentLength(int(size))
}

// streamBytes writes size bytes at the rate limit and stops early if the reader disconnects.
func (s *Server) streamBytes(out *bufio.Writer, size int64) {
	chunk := make([]byte, chunkBytes)
	for size > 0 {
		part := chunk[:min(size, chunkBytes)]
		if err := s.limiter.WaitN(context.Background(), len(part)); err != nil {
			return
		}
		if _, err := out.Write(part); err != nil || out.Flush() != nil {
			return
		}
		size -= int64(len(part))
		s.mutex.Lock()
		s.status.BytesSent += int64(len(part))
		s.mutex.Unlock()
	}
}

func (s *Server) acquireReader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.status.Readers >= s.config.MaxReaders {
		s.status.Refused++
		return false
	}
	s.status.Readers++
	return true
}

func (s *Server) releaseReader() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status.Readers--
}
