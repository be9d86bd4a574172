package rattannode

import "runtime/debug"

const (
	// collectionPercent is the growth of the heap, in percent of the live one,
	// after which garbage is collected. The live heap is small against the
	// memory of a machine, so that collecting it less often saves processor
	// time.
	collectionPercent = 200
	// heapShare is the reciprocal share of the machine's memory beyond which
	// garbage is collected more often than that.
	heapShare = 3
)

// TuneCollection adapts garbage collection to the memory of the machine in
// bytes. Without a known memory, the defaults of the runtime stay.
func TuneCollection(memory int64) {
	if memory <= 0 {
		return
	}
	debug.SetGCPercent(collectionPercent)
	debug.SetMemoryLimit(memory / heapShare)
}
