package scale

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/gateway"
	"github.com/hazelpitch/hazelpitch/internal/logring"
	"github.com/hazelpitch/hazelpitch/internal/settings"
)

// Node is one hollow gateway. It is safe for concurrent use.
type Node struct {
	Name string
	Zone int

	config settings.Gateway
	// received and sent count the bytes on its connections to controllers, dials the
	// connections, over all starts.
	received, sent, dials atomic.Int64

	mutex   sync.Mutex
	control *gateway.Control
	stop    context.CancelFunc
	stopped chan struct{}
	inForce []InForce
}

// InForce is when a revision came into force at a node.
type InForce struct {
	Revision uint64
	At       time.Time
}

func newNode(plan Plan, number int) *Node {
	zone := plan.NodeZone(number)
	return &Node{Name: NodeName(number), Zone: zone, config: settings.Gateway{
		Name: NodeName(number), Fleet: fleetName, Zone: ZoneName(zone),
		Listen:        net.JoinHostPort(plan.nodeSource(number), "8080"),
		SourceAddress: plan.nodeSource(number),
		Controllers:   controllersFor(plan, number),
		ZoneLatency:   plan.zoneLatencies(zone),
		SyncInterval:  syncInterval,
		Limits:        settings.GatewayLimits{InFlight: nodeInFlight, QueueLength: nodeQueueLength},
		Log:           settings.Log{RingEntries: ringEntries},
	}}
}

// controllersFor lists the controllers as a node's settings would: those of its own
// region first, and in each part taking turns, so that heartbeats spread.
func controllersFor(plan Plan, node int) []string {
	var near, far []string
	all := plan.Controllers + plan.Standbys
	for step := range all {
		controller := (node/plan.Regions + step) % all
		address := plan.ControllerAddress(controller)
		if plan.Region(plan.ControllerZone(controller)) == plan.Region(plan.NodeZone(node)) {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// Start starts the node's control runtime as a new process would.
func (n *Node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stop != nil {
		return nil
	}
	control, err := gateway.NewControl(n.config, gateway.ControlOptions{
		Log: logring.New(n.Name, n.config.Log), Dial: n.dial, OnRevision: n.noteRevision,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	n.control, n.stop, n.stopped = control, cancel, stopped
	go func() {
		control.Run(ctx)
		close(stopped)
	}()
	return nil
}

// Stop ends the node at once, as a killed process does.
func (n *Node) Stop() {
	n.mutex.Lock()
	cancel, stopped := n.stop, n.stopped
	n.control, n.stop = nil, nil
	n.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-stopped
	}
}

// Control is the running control runtime; nil while the node is stopped.
func (n *Node) Control() *gateway.Control {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.control
}

// Revision is the revision in force; 0 while the node is stopped.
func (n *Node) Revision() uint64 {
	if control := n.Control(); control != nil {
		return control.Revision()
	}
	return 0
}

// Reached returns when a revision, or a later one, first came into force here.
func (n *Node) Reached(revision uint64) (time.Time, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, record := range n.inForce {
		if record.Revision >= revision {
			return record.At, true
		}
	}
	return time.Time{}, false
}

func (n *Node) noteRevision(revision uint64) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.inForce = append(n.inForce, InForce{Revision: revision, At: now})
}

// dial opens a counted connection from the node's own address.
func (n *Node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.config.SourceAddress)}}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.dials.Add(1)
	return &countedConn{Conn: conn, node: n}, nil
}

// countedConn counts a node's bytes.
type countedConn struct {
	net.Conn
	node *Node
}

// Read counts what arrived.
func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.node.received.Add(int64(count))
	return count, err
}

// Write counts what was sent.
func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.node.sent.Add(int64(count))
	return count, err
}
