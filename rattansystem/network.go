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

// Network carries the connections between instances and to the platform, and
// can cut availability zones and single instances off. A cut drops everything
// without an error, on open connections and on new ones.
type Network struct {
	mutex    sync.Mutex
	places   map[string]place
	zones    map[string]bool
	isolated map[string]bool
}

// place is where an end of a connection is.
type place struct {
	zone, instance string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{places: map[string]place{}, zones: map[string]bool{}, isolated: map[string]bool{}}
}

// Cut cuts the zone off from all other zones and from the platform.
func (n *Network) Cut(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[zone] = true
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
}

// Isolate cuts one instance off from all others and from the platform. Its
// callers and its targets still reach it, as when its peers' network fails.
func (n *Network) Isolate(instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[instance] = true
}

// Place tells the zone and the instance of an address.
func (n *Network) Place(address, zone, instance string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = place{zone: zone, instance: instance}
}

func (n *Network) cut(from, to place) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if from.zone != to.zone && (n.zones[from.zone] || n.zones[to.zone]) {
		return true
	}
	return from.instance != to.instance && (n.isolated[from.instance] || n.isolated[to.instance])
}

func (n *Network) dial(ctx context.Context, from, to place, address string) (net.Conn, error) {
	if n.cut(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, network: n, from: from, to: to}, nil
}

// cutConn is a connection that goes silent for good once its path is cut.
type cutConn struct {
	net.Conn
	network  *Network
	from, to place
	mutex    sync.Mutex
	silent   bool
}

// Read discards what arrives on a silent connection.
func (c *cutConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if err != nil || !c.silenced() {
			return count, err
		}
		time.Sleep(time.Millisecond)
	}
}

// Write swallows what is written to a silent connection.
func (c *cutConn) Write(buffer []byte) (int, error) {
	if c.silenced() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

func (c *cutConn) silenced() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silent = c.silent || c.network.cut(c.from, c.to)
	return c.silent
}
