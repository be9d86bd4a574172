package rattanoverload

import "testing"

// unreadCallers is the number of callers in tests of the bytes that are received and
// not yet read. The default receive buffers of so many connections exceed the machine's
// memory.
const unreadCallers = 400

// testCallers checks the bounds of testMachine while so many equal callers send requests
// to the home.
func testCallers(t *testing.T, count int, c caller) {
	startSystem(t, machineDescriptors).testMachine(crowd{callers: count, newCaller: everyCaller(c)}, nil)
}

// everyCaller returns a function that returns the same caller for each index.
func everyCaller(c caller) func(int) caller {
	return func(int) caller { return c }
}

// TestUnreadPartialBodies guards against large bodies without their end that exceed the
// machine's memory while they wait in sockets.
func TestUnreadPartialBodies(t *testing.T) {
	testCallers(t, unreadCallers, whole(paddedJob(bodyBytes), missingBytes))
}

// TestUnreadCompleteBodies guards against the same with complete bodies.
func TestUnreadCompleteBodies(t *testing.T) {
	testCallers(t, unreadCallers, whole(paddedJob(bodyBytes), 0))
}

// TestUnreadLargeChunks guards against the same with bodies in large chunks.
func TestUnreadLargeChunks(t *testing.T) {
	testCallers(t, unreadCallers, chunks(encodeChunks(paddedJob(bodyBytes), largeChunk), false))
}

// TestUnreadSmallChunks guards against the same with bodies in chunks of one byte, which
// are read slowly.
func TestUnreadSmallChunks(t *testing.T) {
	testCallers(t, unreadCallers, chunks(encodeChunks(paddedJob(bodyBytes), smallChunk), false))
}
