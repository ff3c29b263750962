package zonedelay

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// queueLength is the maximum number of chunks in flight in one direction. A full queue blocks, as a
	// full socket buffer does.
	queueLength = 256
	chunkBytes  = 16 << 10
	// flushTimeout bounds the time in which a closed connection sends its last bytes.
	flushTimeout = 5 * time.Second
)

// chunk is a piece of data in flight and the time at which it arrives.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

// conn is a connection with a latency in both directions.
type conn struct {
	net.Conn
	latency time.Duration
	// waitOpen blocks until data may pass; it returns false if the connection is closed first.
	waitOpen func(closed <-chan struct{}) bool
	incoming chan chunk
	outgoing chan chunk

	readMutex sync.Mutex
	unread    chunk

	readDeadline  deadline
	writeDeadline deadline

	closeOnce sync.Once
	closed    chan struct{}
	// flushes counts this connection from the call of Close until its last bytes are sent.
	flushes *PendingFlushes
}

func newConn(inner net.Conn, latency time.Duration, waitOpen func(closed <-chan struct{}) bool, flushes *PendingFlushes) *conn {
	delayed := &conn{
		Conn:          inner,
		latency:       latency,
		waitOpen:      waitOpen,
		incoming:      make(chan chunk, queueLength),
		outgoing:      make(chan chunk, queueLength),
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
		closed:        make(chan struct{}),
		flushes:       flushes,
	}
	go delayed.receive()
	go delayed.send()
	return delayed
}

// receive reads from the socket and queues the data with its arrival time.
func (c *conn) receive() {
	for {
		buffer := make([]byte, chunkBytes)
		count, err := c.Conn.Read(buffer)
		if !c.waitOpen(c.closed) {
			return
		}
		select {
		case c.incoming <- chunk{buffer[:count], time.Now().Add(c.latency), err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes queued data to the socket when it is due. After Close it sends the rest of the queue and
// closes the socket.
func (c *conn) send() {
	defer func() {
		_ = c.Close()
		_ = c.Conn.Close()
		c.flushes.running.Done()
	}()
	for {
		select {
		case next := <-c.outgoing:
			if !c.waitOpen(c.closed) || !c.write(next) {
				return
			}
		case <-c.closed:
			_ = c.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
			for {
				select {
				case next := <-c.outgoing:
					if !c.write(next) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (c *conn) write(next chunk) bool {
	time.Sleep(time.Until(next.due))
	_, err := c.Conn.Write(next.bytes)
	return err == nil
}

// Read blocks until data has arrived and its latency has passed.
func (c *conn) Read(buffer []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if len(c.unread.bytes) == 0 && c.unread.err == nil {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		case c.unread = <-c.incoming:
		}
	}
	if wait := time.Until(c.unread.due); wait > 0 {
		time.Sleep(wait)
	}
	if len(c.unread.bytes) == 0 {
		return 0, c.unread.err
	}
	count := copy(buffer, c.unread.bytes)
	c.unread.bytes = c.unread.bytes[count:]
	return count, nil
}

// Write queues data; it blocks while queueLength chunks are in flight.
func (c *conn) Write(buffer []byte) (int, error) {
	written := 0
	for written < len(buffer) {
		part := buffer[written:min(len(buffer), written+chunkBytes)]
		next := chunk{bytes: append([]byte(nil), part...), due: time.Now().Add(c.latency)}
		select {
		case <-c.closed:
			return written, net.ErrClosed
		default:
		}
		select {
		case <-c.closed:
			return written, net.ErrClosed
		case <-c.writeDeadline.expired():
			return written, os.ErrDeadlineExceeded
		case c.outgoing <- next:
			written += len(part)
		}
	}
	return written, nil
}

// Close closes the connection once all written data has been sent. It does not wait for that.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.flushes.running.Add(1)
		close(c.closed)
	})
	return nil
}

// SetLinger with 0 seconds makes Close reset the connection: data in flight is lost.
func (c *conn) SetLinger(seconds int) error {
	abrupt, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return io.ErrNoProgress
	}
	return abrupt.SetLinger(seconds)
}

// SetDeadline sets the deadlines of Read and Write.
func (c *conn) SetDeadline(at time.Time) error {
	c.readDeadline.set(at)
	c.writeDeadline.set(at)
	return nil
}

// SetReadDeadline sets the deadline of Read.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadline.set(at)
	return nil
}

// SetWriteDeadline sets the deadline of Write.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline.set(at)
	return nil
}
