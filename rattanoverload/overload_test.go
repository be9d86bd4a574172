package rattanoverload

import (
	"net/http"
	"testing"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
)

const (
	// machineMB is the memory of the machine in the settings. Of it, a process may
	// have boundMB resident; the rest is left to the system.
	machineMB = 64
	boundMB   = machineMB * 3 / 4
	// machineDescriptors is the number of descriptors in the settings, of which
	// reservedDescriptors are reserved for files. In the test of a mix there are
	// fewer than callers.
	machineDescriptors  = 1000
	mixDescriptors      = 400
	reservedDescriptors = 200
	// callerCount is the number of concurrent callers, of which one in completeOne
	// sends the whole body. heavyCallers is the number of those that send a complete
	// body whose steps take many times its size.
	callerCount  = 200
	completeOne  = 8
	heavyCallers = 4
	// overloadTime is how long the callers go on, ordinaryTime how long the ordinary
	// caller sends its job again.
	overloadTime = 4 * time.Second
	ordinaryTime = 10 * time.Second
)

// TestOverloadLargeBodies guards against a process that runs out of memory when many
// callers send a large body at once, most of them without its end.
func TestOverloadLargeBodies(t *testing.T) {
	body, heavyBody := paddedJob(bodyBytes), emptySteps(bodyBytes)
	testOverload(t, machineDescriptors, func(i int) caller {
		switch {
		case i < heavyCallers:
			return whole(heavyBody, 0)
		case i%completeOne == 0:
			return whole(body, 0)
		default:
			return whole(body, missingBytes)
		}
	})
}

// TestOverloadPieces guards against a process that runs out of memory when many
// callers send a large body piece by piece and stop short of its end.
func TestOverloadPieces(t *testing.T) {
	body := paddedJob(bodyBytes)
	testOverload(t, machineDescriptors, func(i int) caller {
		if i%completeOne == 0 {
			return pieces(body, 0)
		}
		return pieces(body, missingBytes)
	})
}

// TestOverloadLargeChunks guards against a process that runs out of memory when many
// callers send a body in large chunks and stop short of its end.
func TestOverloadLargeChunks(t *testing.T) {
	testOverloadChunks(t, largeChunk)
}

// TestOverloadSmallChunks guards against a process that runs out of memory when many
// callers send a body in chunks of one byte and stop short of its end.
func TestOverloadSmallChunks(t *testing.T) {
	testOverloadChunks(t, smallChunk)
}

func testOverloadChunks(t *testing.T, size int) {
	encoded := encodeChunks(paddedJob(bodyBytes), size)
	testOverload(t, machineDescriptors, func(i int) caller {
		return chunks(encoded, i%completeOne == 0)
	})
}

// TestOverloadMix guards against a process that runs out of memory or descriptors
// when callers of all kinds come at once, with those that send a part of a header or
// nothing.
func TestOverloadMix(t *testing.T) {
	testOverload(t, mixDescriptors, mixedCaller())
}

// mixedCaller returns a function that returns callers of all kinds.
func mixedCaller() func(index int) caller {
	body := paddedJob(bodyBytes)
	kinds := []caller{
		whole(body, missingBytes), pieces(body, missingBytes), chunks(encodeChunks(body, largeChunk), false),
		chunks(encodeChunks(body, smallChunk), false), partialHead, idle, whole(body, 0),
	}
	heavy := whole(emptySteps(bodyBytes), 0)
	return func(i int) caller {
		if i < heavyCallers {
			return heavy
		}
		return kinds[i%len(kinds)]
	}
}

// testOverload lets callers send requests to the home and checks that all processes
// stay within their bounds, and that ordinary requests are answered while the
// connections of the callers are still open.
func testOverload(t *testing.T, maxDescriptors int, newCaller func(index int) caller) {
	s := startSystem(t, maxDescriptors)
	meters := s.startMeters()
	s.overload(crowd{callers: callerCount, newCaller: newCaller}, func() { s.checkOrdinary() })
	s.checkBounds(meters, maxDescriptors)
}

// ordinaryAnswered reports whether the instance answers an ordinary job with its
// result. A job that is refused or not answered is sent again.
func (s *system) ordinaryAnswered(instance *rattanprocess.Instance) bool {
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end); {
		status := ordinaryStatus(instance, s.Checker)
		if status == http.StatusOK {
			return true
		}
		s.Logf("%s: status %d of an ordinary request", instance.Name, status)
		time.Sleep(repeatDelay)
	}
	return false
}
