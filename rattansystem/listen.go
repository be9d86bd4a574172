package rattansystem

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports of instances are taken in turn from a range below the one from which
// the system takes ports on its own. The port of a killed instance is thus not
// taken by another instance soon after: its refusal of connections proves the
// failure.
const (
	leastPort = 12000
	portCount = 20000
)

// lastPort is the offset of the port that was tried last. It starts at random,
// so that processes at the same time rarely try the same ports.
var lastPort atomic.Uint32

func init() {
	lastPort.Store(rand.Uint32N(portCount))
}

// listen listens on the next free port of the loopback interface.
func listen() (net.Listener, error) {
	var err error
	for range portCount {
		port := leastPort + int(lastPort.Add(1)%portCount)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.Annotate(err, "no free port")
}
