package rattanmember

import (
	"encoding/binary"
	"hash/fnv"
)

// viewDigest is equal for tables that take the same incarnations for alive, in
// the same version. Members with different views tell each other of more
// members, so that views agree soon after a partition.
func (t *Table) viewDigest() uint64 {
	digest := memberDigest(&t.self)
	for _, known := range t.entries {
		if known.member.Status == StatusAlive {
			digest ^= known.digest
		}
	}
	return digest
}

func memberDigest(member *Member) uint64 {
	hash := fnv.New64a()
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:], member.Incarnation.Number)
	binary.LittleEndian.PutUint64(numbers[8:], member.Version)
	_, _ = hash.Write([]byte(member.Incarnation.Instance))
	_, _ = hash.Write(numbers[:])
	return hash.Sum64()
}
