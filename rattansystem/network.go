package rattansystem

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanpeer"
)

// platformZone is the name of the platform's place in the network.
const platformZone = "platform"

// pausePoll is how often held input and output looks for the end of a pause.
const pausePoll = 2 * time.Millisecond

// Network carries the connections between instances and to the platform, and
// can cut availability zones and single instances off. A cut drops everything
// without an error, on open connections and on new ones.
type Network struct {
	mutex    sync.Mutex
	places   map[string]place
	zones    map[string]bool
	isolated map[string]bool
	// mute and deaf are the instances whose messages to others are lost, and
	// those that no message of others reaches.
	mute map[string]bool
	deaf map[string]bool
	// paused are the instances whose input and output is held.
	paused map[string]int
	// generation grows when all open connections go silent.
	generation int
}

// place is where an end of a connection is.
type place struct {
	zone, instance string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	made := &Network{places: map[string]place{}, paused: map[string]int{}}
	made.Heal()
	return made
}

// Cut cuts the zone off from all other zones and from the platform.
func (n *Network) Cut(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[zone] = true
}

// Deafen loses what others send to the instance; what it sends arrives.
func (n *Network) Deafen(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.deaf[instance] = true
}

// Dial returns the function by which an instance of the zone reaches others.
func (n *Network) Dial(zone, instance string) rattanpeer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mutex.Lock()
		to := n.places[address]
		n.mutex.Unlock()
		return n.dial(ctx, place{zone: zone, instance: instance}, to, address)
	}
}

// DialPlatform returns the function by which an instance of the zone reaches
// the platform.
func (n *Network) DialPlatform(zone, instance string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, place{zone: zone, instance: instance}, place{zone: platformZone}, address)
	}
}

// Heal ends all cuts. Connections that were cut stay silent.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones = map[string]bool{}
	n.isolated = map[string]bool{}
	n.mute = map[string]bool{}
	n.deaf = map[string]bool{}
}

// Isolate cuts one instance off from all others and from the platform. Its
// callers and its targets still reach it, as when its peers' network fails.
func (n *Network) Isolate(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[instance] = true
}

// Listen returns a listener of the instance whose connections are held while
// the instance is paused.
func (n *Network) Listen(instance string, inner net.Listener) net.Listener {
	return &heldListener{Listener: inner, network: n, instance: instance}
}

// Mute loses what the instance sends to others; what they send arrives.
func (n *Network) Mute(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.mute[instance] = true
}

// Pause holds all input and output of the instance until Resume. Nothing is
// lost: as with a stopped process, what was sent to it is read afterwards, and
// what it decided before is sent afterwards. Pauses of one instance add up.
func (n *Network) Pause(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.paused[instance]++
}

// Place tells the zone and the instance of an address.
func (n *Network) Place(address, zone, instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = place{zone: zone, instance: instance}
}

// Resume ends a Pause.
func (n *Network) Resume(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.paused[instance]--
}

// Silence makes the open connections go silent for good. New ones work.
func (n *Network) Silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.generation++
}

// hold waits while the instance is paused, or until closed.
func (n *Network) hold(instance string, closed <-chan struct{}) {
	for n.isPaused(instance) {
		select {
		case <-closed:
			return
		case <-time.After(pausePoll):
		}
	}
}

func (n *Network) isPaused(instance string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.paused[instance] > 0
}

// cut reports whether what is sent in one direction is lost.
func (n *Network) cut(from, to place) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if from.zone != to.zone && (n.zones[from.zone] || n.zones[to.zone]) {
		return true
	}
	if from.instance == to.instance {
		return false
	}
	return n.isolated[from.instance] || n.isolated[to.instance] || n.mute[from.instance] || n.deaf[to.instance]
}

func (n *Network) dial(ctx context.Context, from, to place, address string) (net.Conn, error) {
	n.hold(from.instance, ctx.Done())
	n.mutex.Lock()
	generation := n.generation
	n.mutex.Unlock()
	// A connection needs both directions to open.
	if n.cut(from, to) || n.cut(to, from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cutConn{
		heldConn:   heldConn{Conn: conn, network: n, instance: from.instance, closed: make(chan struct{})},
		from:       from,
		to:         to,
		generation: generation,
	}, nil
}

// heldListener accepts connections that are held while the instance is paused.
type heldListener struct {
	net.Listener
	network  *Network
	instance string
}

// Accept accepts a connection.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: conn, network: l.network, instance: l.instance, closed: make(chan struct{})}, nil
}

// heldConn is a connection whose input and output waits while its
// instance is paused.
type heldConn struct {
	net.Conn
	network  *Network
	instance string
	closing  sync.Once
	closed   chan struct{}
}

// Close closes the connection.
func (c *heldConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read delivers what has arrived once the instance is not paused.
func (c *heldConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.network.hold(c.instance, c.closed)
	return count, err
}

// Write writes once the instance is not paused.
func (c *heldConn) Write(buffer []byte) (int, error) {
	c.network.hold(c.instance, c.closed)
	return c.Conn.Write(buffer)
}

// cutConn is a connection of which a direction goes silent for good once its
// path is cut.
type cutConn struct {
	heldConn
	from, to   place
	generation int

	mutex sync.Mutex
	// lost has the directions that are silent.
	lost [2]bool
}

// direction is that of a connection's bytes, seen from the end that dialled.
type direction int

const (
	directionOut direction = iota
	directionIn
)

// Read discards what arrives on a silent connection.
func (c *cutConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.heldConn.Read(buffer)
		if err != nil || !c.silenced(directionIn, c.to, c.from) {
			return count, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Write swallows what is written to a silent connection.
func (c *cutConn) Write(buffer []byte) (int, error) {
	if c.silenced(directionOut, c.from, c.to) {
		return len(buffer), nil
	}
	return c.heldConn.Write(buffer)
}

func (c *cutConn) silenced(way direction, from, to place) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.network.mutex.Lock()
	old := c.generation != c.network.generation
	c.network.mutex.Unlock()
	c.lost[way] = c.lost[way] || old || c.network.cut(from, to)
	return c.lost[way]
}
