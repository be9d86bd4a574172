package rattansystem

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanpeer"
)

// platformZone is the zone name of the platform's endpoint.
const platformZone = "platform"

// pausePollInterval is the interval at which blocked reads and writes check whether
// the pause has ended.
const pausePollInterval = 2 * time.Millisecond

// Network simulates faults on the connections between instances and to the platform.
// It can partition availability zones, isolate instances and pause instances. A
// partition drops all data without an error, on open and on new connections.
type Network struct {
	mutex             sync.Mutex
	endpoints         map[string]endpoint
	partitionedZones  map[string]bool
	isolatedInstances map[string]bool
	// outboundBlocked and inboundBlocked are the instances whose messages to
	// others, or from others, are lost.
	outboundBlocked map[string]bool
	inboundBlocked  map[string]bool
	// pauseCounts holds the number of active pauses of each instance.
	pauseCounts map[string]int
	// generation is incremented to make all open connections silent.
	generation int
}

// endpoint is the location of one end of a connection.
type endpoint struct {
	zone, instance string
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	network := &Network{endpoints: map[string]endpoint{}, pauseCounts: map[string]int{}}
	network.Heal()
	return network
}

// PartitionZone drops all data between the zone and other zones or the platform.
func (n *Network) PartitionZone(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitionedZones[zone] = true
}

// BlockInbound drops the data that others send to the instance. The data that it
// sends still arrives.
func (n *Network) BlockInbound(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.inboundBlocked[instance] = true
}

// PeerDialer returns the function with which an instance connects to its peers.
func (n *Network) PeerDialer(zone, instance string) rattanpeer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mutex.Lock()
		to := n.endpoints[address]
		n.mutex.Unlock()
		return n.dial(ctx, endpoint{zone: zone, instance: instance}, to, address)
	}
}

// PlatformDialer returns the function with which an instance connects to the
// platform.
func (n *Network) PlatformDialer(zone, instance string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, endpoint{zone: zone, instance: instance}, endpoint{zone: platformZone}, address)
	}
}

// Heal ends all partitions, isolations and blocks. Connections that already dropped
// data stay silent.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.partitionedZones = map[string]bool{}
	n.isolatedInstances = map[string]bool{}
	n.outboundBlocked = map[string]bool{}
	n.inboundBlocked = map[string]bool{}
}

// IsolateInstance drops all data between the instance and its peers or the platform.
// Callers and targets still reach it, as when only the network between peers fails.
func (n *Network) IsolateInstance(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolatedInstances[instance] = true
}

// WrapListener returns a listener whose connections block while the instance is
// paused.
func (n *Network) WrapListener(instance string, listener net.Listener) net.Listener {
	return &pausableListener{Listener: listener, network: n, instance: instance}
}

// BlockOutbound drops the data that the instance sends to others. The data that
// they send still arrives.
func (n *Network) BlockOutbound(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.outboundBlocked[instance] = true
}

// PauseInstance blocks all reads and writes of the instance until ResumeInstance. No
// data is lost: as with a stopped process, pending data is read and written
// afterwards. Each pause needs its own ResumeInstance.
func (n *Network) PauseInstance(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pauseCounts[instance]++
}

// RegisterAddress sets the zone and the instance of an address.
func (n *Network) RegisterAddress(address, zone, instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints[address] = endpoint{zone: zone, instance: instance}
}

// ResumeInstance ends one pause of the instance.
func (n *Network) ResumeInstance(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pauseCounts[instance]--
}

// SilenceConnections makes the open connections lose data permanently. New
// connections work normally.
func (n *Network) SilenceConnections() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.generation++
}

// waitWhilePaused blocks while the instance is paused, or until closed is closed.
func (n *Network) waitWhilePaused(instance string, closed <-chan struct{}) {
	for n.isPaused(instance) {
		select {
		case <-closed:
			return
		case <-time.After(pausePollInterval):
		}
	}
}

func (n *Network) isPaused(instance string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.pauseCounts[instance] > 0
}

// isDropped reports whether data from one endpoint to the other is dropped.
func (n *Network) isDropped(from, to endpoint) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if from.zone != to.zone && (n.partitionedZones[from.zone] || n.partitionedZones[to.zone]) {
		return true
	}
	if from.instance == to.instance {
		return false
	}
	return n.isolatedInstances[from.instance] || n.isolatedInstances[to.instance] || n.outboundBlocked[from.instance] || n.inboundBlocked[to.instance]
}

func (n *Network) dial(ctx context.Context, from, to endpoint, address string) (net.Conn, error) {
	n.waitWhilePaused(from.instance, ctx.Done())
	n.mutex.Lock()
	generation := n.generation
	n.mutex.Unlock()
	// Opening a connection requires both directions.
	if n.isDropped(from, to) || n.isDropped(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &partitionableConn{
		pausableConn: pausableConn{Conn: conn, network: n, instance: from.instance, closed: make(chan struct{})},
		from:         from,
		to:           to,
		generation:   generation,
	}, nil
}

// pausableListener accepts connections that block while the instance is paused.
type pausableListener struct {
	net.Listener
	network  *Network
	instance string
}

// Accept accepts a connection.
func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausableConn{Conn: conn, network: l.network, instance: l.instance, closed: make(chan struct{})}, nil
}

// pausableConn is a connection whose reads and writes block while its instance is
// paused.
type pausableConn struct {
	net.Conn
	network   *Network
	instance  string
	closeOnce sync.Once
	closed    chan struct{}
}

// Close closes the connection.
func (c *pausableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read reads from the connection and returns once the instance is not paused.
func (c *pausableConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.network.waitWhilePaused(c.instance, c.closed)
	return count, err
}

// Write writes to the connection once the instance is not paused.
func (c *pausableConn) Write(buffer []byte) (int, error) {
	c.network.waitWhilePaused(c.instance, c.closed)
	return c.Conn.Write(buffer)
}

// partitionableConn is a connection that permanently drops the data of a direction
// once a fault has affected that direction.
type partitionableConn struct {
	pausableConn
	from, to   endpoint
	generation int

	mutex sync.Mutex
	// dropped marks the directions whose data is dropped.
	dropped [2]bool
}

// direction is the direction of data, as seen from the dialing end.
type direction int

const (
	directionOut direction = iota
	directionIn
)

// Read reads from the connection. It discards the data if it is dropped.
func (c *partitionableConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.pausableConn.Read(buffer)
		if err != nil || !c.isDropped(directionIn, c.to, c.from) {
			return count, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Write writes to the connection. It discards the data if it is dropped.
func (c *partitionableConn) Write(buffer []byte) (int, error) {
	if c.isDropped(directionOut, c.from, c.to) {
		return len(buffer), nil
	}
	return c.pausableConn.Write(buffer)
}

func (c *partitionableConn) isDropped(dir direction, from, to endpoint) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.network.mutex.Lock()
	outdated := c.generation != c.network.generation
	c.network.mutex.Unlock()
	c.dropped[dir] = c.dropped[dir] || outdated || c.network.isDropped(from, to)
	return c.dropped[dir]
}
