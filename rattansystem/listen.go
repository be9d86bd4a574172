package rattansystem

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// Range of the instances' ports, which are assigned in turn. It lies below the
// operating system's ephemeral port range, so the port of a killed instance is not
// reused soon: the refused connections prove that the instance has ended.
const (
	firstPort = 12000
	portCount = 20000
)

// lastPortOffset is the offset of the port that was tried last. Its initial value is
// random, so that concurrent processes rarely try the same ports.
var lastPortOffset atomic.Uint32

func init() {
	lastPortOffset.Store(rand.Uint32N(portCount))
}

// listen listens on the next free port of the loopback interface.
func listen() (net.Listener, error) {
	var err error
	for range portCount {
		port := firstPort + int(lastPortOffset.Add(1)%portCount)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.Annotate(err, "no free port")
}
