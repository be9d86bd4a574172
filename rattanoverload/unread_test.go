package rattanoverload

import "testing"

// unreadCallers is the number of callers in tests of the bytes that are received and
// not yet read. The default receive buffers of so many connections exceed the machine's
// memory.
const unreadCallers = 400

// testUnread checks that resident memory and queued bytes together stay within the
// memory of the machine.
func testUnread(t *testing.T, newCaller func(index int) caller) {
	startSystem(t, machineDescriptors).testMachine(crowd{callers: unreadCallers, newCaller: newCaller}, nil)
}

// everyCaller returns a function that returns the same caller for each index.
func everyCaller(c caller) func(int) caller {
	return func(int) caller { return c }
}

// TestUnreadPartialBodies guards against large bodies without their end that exceed the
// machine's memory while they wait in sockets.
func TestUnreadPartialBodies(t *testing.T) {
	testUnread(t, everyCaller(whole(paddedJob(bodyBytes), missingBytes)))
}

// TestUnreadCompleteBodies guards against the same with complete bodies.
func TestUnreadCompleteBodies(t *testing.T) {
	testUnread(t, everyCaller(whole(paddedJob(bodyBytes), 0)))
}

// TestUnreadLargeChunks guards against the same with bodies in large chunks.
func TestUnreadLargeChunks(t *testing.T) {
	testUnread(t, everyCaller(chunks(encodeChunks(paddedJob(bodyBytes), largeChunk), false)))
}

// TestUnreadSmallChunks guards against the same with bodies in chunks of one byte, which
// are read slowly.
func TestUnreadSmallChunks(t *testing.T) {
	testUnread(t, everyCaller(chunks(encodeChunks(paddedJob(bodyBytes), smallChunk), false)))
}
