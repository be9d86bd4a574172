package rattanmember

import (
	"encoding/binary"
	"hash/fnv"
)

// viewDigest returns a digest of the incarnations and versions of all alive
// members; tables with the same view have the same digest. Members whose
// digests differ send each other more members, so that their views converge
// soon after a partition.
func (t *Table) viewDigest() uint64 {
	digest := memberDigest(&t.self)
	for _, entry := range t.entries {
		if entry.member.Status == StatusAlive {
			digest ^= entry.digest
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
