// Package rattanlimit bounds the memory and the descriptors that the connections
// and the request bodies of callers take, whatever callers send.
package rattanlimit

// Reciprocal shares of the machine's memory. What the process itself holds of them stays,
// with the heap of an idle instance of some 10 MB, below the soft limit of the runtime, a
// third of the memory (rattannode.TuneCollection), so that an overload does not make it
// collect garbage without end.
const (
	bodyShare = 12
	peerShare = 12
	// connectionShare is that of connections, in the process and in the kernel, of what
	// is beyond baseBytes.
	connectionShare = 3
	// taskShare is that of tasks at the home, also of what is beyond baseBytes.
	taskShare = 8
	// backlogShare is that of connections that wait to be accepted.
	backlogShare = 32
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
	// connectionBytes is what a connection takes in the process: the buffers of the
	// server, two goroutine stacks and a request with a usual header.
	connectionBytes = 16 << 10
	// kernelBytes is what a connection takes in the kernel, which counts toward the
	// memory of the machine.
	kernelBytes = receivedBytes + sentBytes
	// minBodyBytes is enough for one body of 262,144 bytes that decodes to the most
	// that such a body can, on the smallest machine.
	minBodyBytes = 6 << 20
	// baseBytes is what an idle process, of some 20 MB, takes with the least that the
	// bodies of callers and the jobs of other instances may.
	baseBytes = 24<<20 + 2*minBodyBytes
	// minConnections is the bound on connections of the smallest machine, minBacklog
	// that on connections that wait to be accepted.
	minConnections = 64
	minBacklog     = 32
	// taskBytes is what a task takes at the home, with its run. minTasks leaves room for
	// a job of 1,000 tasks on the smallest machine.
	taskBytes = 1 << 10
	minTasks  = 2048
	// requestShare is the reciprocal share of the descriptors for start requests, and
	// for stop requests. minRequests is the bound on the smallest machine.
	requestShare = 8
	minRequests  = 32
)

// Limits are the bounds of one instance.
type Limits struct {
	// BodyBytes bounds the bytes that are held for callers' requests: bodies that are
	// being received, large headers and decoded jobs. ReservedBytes of them are
	// reserved for small requests.
	BodyBytes     int64
	ReservedBytes int64
	// PeerBytes bounds the bytes that the home holds for jobs of other instances.
	// ReservedPeerBytes of them are reserved for small ones.
	PeerBytes         int64
	ReservedPeerBytes int64
	// Connections bounds the connections of callers, Backlog those that wait to be
	// accepted.
	Connections int
	Backlog     int
	// Tasks bounds the tasks of the jobs in progress at the home, Requests the start
	// requests and the stop requests that it has under way.
	Tasks    int
	Requests int
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
	connectionMemory := (memory - baseBytes) / connectionShare
	// A third of the descriptors is left to peers, targets and the store.
	connections := min((descriptors-reservedDescriptors)*2/3, int(connectionMemory/(connectionBytes+kernelBytes)))
	peerBytes := max(minBodyBytes, memory/peerShare)
	return Limits{
		BodyBytes:         bodyBytes,
		ReservedBytes:     bodyBytes / reservedShare,
		PeerBytes:         peerBytes,
		ReservedPeerBytes: peerBytes / reservedShare,
		Tasks:             max(minTasks, int((memory-baseBytes)/taskShare/taskBytes)),
		Requests:          max(minRequests, (descriptors-reservedDescriptors)/requestShare),
		Connections:       max(minConnections, connections),
		Backlog:           max(minBacklog, int(memory/backlogShare/receivedBytes)),
	}
}
