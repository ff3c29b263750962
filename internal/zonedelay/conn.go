package zonedelay

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// queueLength bounds the chunks under way in one direction; a full queue blocks,
	// as a full socket buffer does.
	queueLength = 256
	chunkBytes  = 16 << 10
	// flushLimit is how long a closed connection may take to send its last bytes.
	flushLimit = 5 * time.Second
)

// chunk is bytes under way and the time they arrive.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

// conn delays both directions of a connection.
type conn struct {
	net.Conn
	latency time.Duration
	// passes waits until bytes may pass; false when the connection closed first.
	passes  func(closed <-chan struct{}) bool
	arrived chan chunk
	leaving chan chunk

	readMutex sync.Mutex
	rest      chunk

	readDeadline  deadline
	writeDeadline deadline

	closeOnce sync.Once
	closed    chan struct{}
	// unsent counts the connection from its Close until its last bytes are sent.
	unsent *PendingFlushes
}

func newConn(inner net.Conn, latency time.Duration, passes func(closed <-chan struct{}) bool, unsent *PendingFlushes) *conn {
	delayed := &conn{
		Conn:          inner,
		latency:       latency,
		passes:        passes,
		arrived:       make(chan chunk, queueLength),
		leaving:       make(chan chunk, queueLength),
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
		closed:        make(chan struct{}),
		unsent:        unsent,
	}
	go delayed.receive()
	go delayed.send()
	return delayed
}

// receive reads from the socket and queues what came with the time it arrives.
func (c *conn) receive() {
	for {
		buffer := make([]byte, chunkBytes)
		count, err := c.Conn.Read(buffer)
		if !c.passes(c.closed) {
			return
		}
		select {
		case c.arrived <- chunk{buffer[:count], time.Now().Add(c.latency), err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// send writes queued bytes to the socket when they are due. After Close it sends
// what is left and closes the socket.
func (c *conn) send() {
	defer func() {
		_ = c.Close()
		_ = c.Conn.Close()
		c.unsent.sending.Done()
	}()
	for {
		select {
		case next := <-c.leaving:
			if !c.passes(c.closed) || !c.write(next) {
				return
			}
		case <-c.closed:
			_ = c.Conn.SetWriteDeadline(time.Now().Add(flushLimit))
			for {
				select {
				case next := <-c.leaving:
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

// Read returns bytes that have arrived.
func (c *conn) Read(buffer []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if len(c.rest.bytes) == 0 && c.rest.err == nil {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case c.rest = <-c.arrived:
		}
	}
	if wait := time.Until(c.rest.due); wait > 0 {
		time.Sleep(wait)
	}
	if len(c.rest.bytes) == 0 {
		return 0, c.rest.err
	}
	count := copy(buffer, c.rest.bytes)
	c.rest.bytes = c.rest.bytes[count:]
	return count, nil
}

// Write queues bytes; it blocks while too many are under way.
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
		case <-c.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		case c.leaving <- next:
			written += len(part)
		}
	}
	return written, nil
}

// Close closes the connection after what was written has been sent.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.unsent.sending.Add(1)
		close(c.closed)
	})
	return nil
}

// SetLinger resets the connection on Close when seconds is 0: bytes under way are lost.
func (c *conn) SetLinger(seconds int) error {
	abrupt, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return io.ErrNoProgress
	}
	return abrupt.SetLinger(seconds)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(at time.Time) error {
	c.readDeadline.set(at)
	c.writeDeadline.set(at)
	return nil
}

// SetReadDeadline bounds Read.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.readDeadline.set(at)
	return nil
}

// SetWriteDeadline bounds Write.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.writeDeadline.set(at)
	return nil
}
