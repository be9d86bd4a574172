package rattanoverload

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
)

const (
	// extraInstances are added to the two of a zone, peerCallers send to all instances
	// but the home.
	extraInstances = 4
	peerCallers    = 600
)

// testPeers lets a crowd send complete requests to all instances of a zone but the home,
// and checks the bounds of testMachine.
func testPeers(t *testing.T, c caller) {
	s := startSystem(t, machineDescriptors)
	for i := range extraInstances {
		s.addInstance(fmt.Sprintf("front-a-%d", instanceCount+i+1), zone, machineDescriptors)
	}
	s.awaitReady()
	home := s.Home(zone)
	s.Assert(home, qt.IsNotNil)
	var others []*rattanprocess.Instance
	for _, instance := range s.Instances {
		if instance != home {
			others = append(others, instance)
		}
	}
	s.testMachine(crowd{callers: peerCallers, newCaller: everyCaller(c), at: others}, nil)
}

// TestPeersManySteps guards against a home that decodes more jobs of other instances than
// it has memory for.
func TestPeersManySteps(t *testing.T) {
	testPeers(t, whole(manySteps(), 0))
}

// TestPeersLargeBodies guards against the same with bodies that are large themselves.
func TestPeersLargeBodies(t *testing.T) {
	testPeers(t, whole(longSpec(), 0))
}
