package controller

import (
	"context"
	"net"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/hazelpitch/hazelpitch/internal/dialing"
)

// Values of the metric label connection of the wire byte counters.
const (
	connectionAccepted = "accepted" // from peers, nodes and operators
	connectionPeers    = "peers"    // to other controllers
	connectionOutside  = "outside"  // to engines and the machine list
)

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	received, sent prometheus.Counter
}

// Read implements net.Conn.
func (c countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(float64(count))
	return count, err
}

// Write implements net.Conn.
func (c countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.sent.Add(float64(count))
	return count, err
}

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	instruments instruments
}

// Accept implements net.Listener.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c.instruments.countingConn(conn, connectionAccepted), nil
}

// countingDial counts the bytes on the connections that dial opens.
func (i instruments) countingDial(dial dialing.Dial, connection string) dialing.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return i.countingConn(conn, connection), nil
	}
}

func (i instruments) countingConn(conn net.Conn, connection string) net.Conn {
	return countingConn{
		Conn:     conn,
		received: i.wireBytes.WithLabelValues(connection, "received"),
		sent:     i.wireBytes.WithLabelValues(connection, "sent"),
	}
}

// countMessages returns an interceptor that counts the encoded size of messages by
// procedure, so that the traffic can be attributed to duties.
func (i instruments) countMessages() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			procedure := request.Spec().Procedure
			i.addMessage(procedure, "received", request.Any())
			response, err := next(ctx, request)
			if err == nil {
				i.addMessage(procedure, "sent", response.Any())
			}
			return response, err
		}
	})
}

func (i instruments) addMessage(procedure, direction string, message any) {
	if encodable, is := message.(proto.Message); is {
		i.messageBytes.WithLabelValues(procedure, direction).Add(float64(proto.Size(encodable)))
	}
}
