// Package rattaninventory implements the instance list: which of two lists is
// newer, differences between lists and their application, which parts a watcher
// reads from the platform, and which missing instances are treated as gone.
package rattaninventory

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// List is one version of the instance list.
type List struct {
	// Hash identifies the contents; it is never 0 in a list from NewList.
	Hash uint64
	// Instances are sorted by name, and names are unique. They must not be
	// modified.
	Instances []Instance
}

// Version identifies the list that a member has.
type Version struct {
	// Hash is that of the list; 0 means none.
	Hash uint64
	// ReadAt is when the platform returned the list, as far as the member knows.
	// It is never later than the actual time, except by the transit time of one
	// heartbeat.
	ReadAt time.Time
}

// NewList returns the list of the instances, which it does not modify. Of
// several instances with the same name the first one is kept.
func NewList(instances []Instance) List {
	sorted := slices.Clone(instances)
	slices.SortStableFunc(sorted, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	sorted = slices.CompactFunc(sorted, func(a, b Instance) bool { return a.Name == b.Name })
	return newSortedList(sorted)
}

// Newer reports whether a list of version a replaces one of version b. Lists
// are ordered by the time at which the platform returned them. A list of the
// same age does not replace the one in use, so that no earlier list returns.
func Newer(a, b Version) bool {
	return a.ReadAt.After(b.ReadAt)
}

// ReadTimeFromAge returns when the platform returned a list, given its age in a
// peer's reply to a request that was sent at the given time. The time of
// sending is a lower bound of the time of the reply, so that a delayed reply
// does not make an old list appear newer than it is.
func ReadTimeFromAge(sent time.Time, age time.Duration) time.Time {
	return sent.Add(-max(age, 0))
}

func newSortedList(sorted []Instance) List {
	return List{Hash: hash(sorted), Instances: sorted}
}

// hash returns a hash of all fields of all instances. It is never 0, which
// stands for no list.
func hash(instances []Instance) uint64 {
	digest := xxhash.New()
	var buffer []byte
	for i := range instances {
		buffer = appendInstance(buffer[:0], &instances[i])
		_, _ = digest.Write(buffer)
	}
	return max(digest.Sum64(), 1)
}

// appendInstance appends an unambiguous encoding of an instance.
func appendInstance(buffer []byte, instance *Instance) []byte {
	for _, text := range []string{
		instance.Name, instance.Address, instance.PeerAddress,
		instance.AvailabilityZone, instance.Rack, instance.Service,
	} {
		buffer = binary.AppendUvarint(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	for _, number := range []int{
		int(instance.Role), instance.Slots, instance.Cores,
		instance.MemoryMB, instance.Accelerators, int(instance.State),
	} {
		buffer = binary.AppendVarint(buffer, int64(number))
	}
	return buffer
}
