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
// can cut availability zones off. A cut drops everything without an error, on
// open connections and on new ones.
type Network struct {
	mutex  sync.Mutex
	places map[string]string
	cuts   map[[2]string]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{places: map[string]string{}, cuts: map[[2]string]bool{}}
}

// Cut cuts the zone off from all other zones and from the platform.
func (n *Network) Cut(zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[[2]string{zone, zone}] = true
}

// Dial returns the function by which instances of the zone reach others.
func (n *Network) Dial(zone string) rattanpeer.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mutex.Lock()
		place := n.places[address]
		n.mutex.Unlock()
		return n.dial(ctx, zone, place, address)
	}
}

// DialPlatform returns the function by which instances of the zone reach the
// platform.
func (n *Network) DialPlatform(zone string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, zone, platformZone, address)
	}
}

// Heal ends all cuts. Connections that were cut stay silent.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts = map[[2]string]bool{}
}

// Place tells in which zone an address is.
func (n *Network) Place(address, zone string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.places[address] = zone
}

func (n *Network) cut(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if from == to {
		return false
	}
	return n.cuts[[2]string{from, from}] || n.cuts[[2]string{to, to}]
}

func (n *Network) dial(ctx context.Context, from, to, address string) (net.Conn, error) {
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
	from, to string
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
