// Package rattanlimit bounds the memory and the descriptors that the connections
// and the request bodies of callers take, whatever callers send.
package rattanlimit

// Shares of the machine's memory. Together with the heap of an idle instance, of
// some 10 MB, they stay below the soft limit of the runtime, a third of the memory
// (rattannode.TuneCollection), so that an overload does not make it collect garbage
// without end.
const (
	bodyShare       = 12
	peerShare       = 12
	connectionShare = 6
	// reservedShare is the reciprocal share of the bytes for bodies that is reserved
	// for small ones.
	reservedShare = 4
)

const (
	// defaultMemory and defaultDescriptors count for a machine whose limits are
	// unknown.
	defaultMemory      = 512 << 20
	defaultDescriptors = 4096
	// reservedDescriptors are those that the platform reserves for files.
	reservedDescriptors = 200
	// connectionBytes is what a connection takes: the buffers of the server, two
	// goroutine stacks and a request with a usual header.
	connectionBytes = 16 << 10
	// minBodyBytes is enough for one body of 262,144 bytes that decodes to the most
	// that such a body can, on the smallest machine.
	minBodyBytes = 6 << 20
	// minConnections is the bound on connections of the smallest machine.
	minConnections = 64
)

// Limits are the bounds of one instance.
type Limits struct {
	// BodyBytes bounds the bytes that are held for callers' requests: bodies that are
	// being received, large headers and decoded jobs. ReservedBytes of them are
	// reserved for small requests.
	BodyBytes     int64
	ReservedBytes int64
	// PeerBytes bounds the bytes that the home holds for jobs of other instances.
	PeerBytes int64
	// Connections bounds the connections of callers.
	Connections int
}

// ForMachine returns the limits for a machine with so many bytes of memory and so
// many descriptors, 0 if unknown.
func ForMachine(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	bodyBytes := max(minBodyBytes, memory/bodyShare)
	// A third of the descriptors is left to peers, targets and the store.
	connections := min((descriptors-reservedDescriptors)*2/3, int(memory/connectionShare/connectionBytes))
	return Limits{
		BodyBytes:     bodyBytes,
		ReservedBytes: bodyBytes / reservedShare,
		PeerBytes:     max(minBodyBytes, memory/peerShare),
		Connections:   max(minConnections, connections),
	}
}
