// Package rattaninventory decides about the instance list: which of two lists
// is newer, what the difference between two lists is and how it is applied,
// which parts a watcher reads from the platform, and which losses it believes.
package rattaninventory

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// List is a state of the instance list.
type List struct {
	// Hash identifies the contents; it is never 0 in a list from NewList.
	Hash uint64
	// Instances are sorted by name, and names are unique. They are not changed
	// once the list exists.
	Instances []Instance
}

// Version says which list somebody has.
type Version struct {
	// Hash is that of the list; 0 means none.
	Hash uint64
	// ReadAt is when the platform gave the list, as far as the holder knows;
	// it is not later than that, save for the transit of one heartbeat.
	ReadAt time.Time
}

// NewList returns the list of the instances, which it does not modify. Of
// instances with the same name the first one counts.
func NewList(instances []Instance) List {
	sorted := slices.Clone(instances)
	slices.SortStableFunc(sorted, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	sorted = slices.CompactFunc(sorted, func(a, b Instance) bool { return a.Name == b.Name })
	return newSortedList(sorted)
}

// Newer reports whether a list of version a replaces one of version b. Lists
// are ordered by the time at which the platform gave them. A list as old as the
// one in use does not replace it, so that no list comes back.
func Newer(a, b Version) bool {
	return a.ReadAt.After(b.ReadAt)
}

// ReadTimeFromAge returns when the platform gave a list that had the age when a peer
// answered a request that was sent at a time. The time of sending is a lower
// bound of the time of the answer, so a reply that was delayed does not make an
// old list seem newer than it is.
func ReadTimeFromAge(sent time.Time, age time.Duration) time.Time {
	return sent.Add(-max(age, 0))
}

func newSortedList(sorted []Instance) List {
	return List{Hash: hash(sorted), Instances: sorted}
}

// hash returns a hash of all fields of all instances. 0 stands for no list.
func hash(instances []Instance) uint64 {
	digest := xxhash.New()
	var buffer []byte
	for i := range instances {
		buffer = appendInstance(buffer[:0], &instances[i])
		_, _ = digest.Write(buffer)
	}
	return max(digest.Sum64(), 1)
}

// appendInstance encodes an instance so that no two instances have the same
// form.
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
