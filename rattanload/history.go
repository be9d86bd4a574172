package rattanload

// versionedValue is a value that applies from a version on.
type versionedValue struct {
	version uint64
	value   int
}

// valueHistory holds the values of one weight that may be in use: the latest
// one at or before a confirmed version, and all later ones.
type valueHistory []versionedValue

// current returns the latest value.
func (h valueHistory) current() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].value
}

// minSince returns the minimum of the values that apply at the given version or
// later.
func (h valueHistory) minSince(from uint64) int {
	minimum := h.current()
	for i, entry := range h {
		if i+1 == len(h) || h[i+1].version > from {
			minimum = min(minimum, entry.value)
		}
	}
	return minimum
}

// prune drops the values that are not needed from the given version on. It
// returns nil if only a value of 0 remains.
func (h valueHistory) prune(from uint64) valueHistory {
	first := 0
	for i, entry := range h {
		if entry.version <= from {
			first = i
		}
	}
	h = h[first:]
	if len(h) == 1 && h[0].value == 0 {
		return nil
	}
	return h
}
