package rattanload

// change is a value from a version on.
type change struct {
	version uint64
	value   int
}

// history holds the values of one weight that may be in use: the last one at or
// before a confirmed version, and all later ones.
type history []change

// last returns the present value.
func (h history) last() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].value
}

// least returns the least value from a version on.
func (h history) least(from uint64) int {
	least := h.last()
	for i, each := range h {
		if i+1 == len(h) || h[i+1].version > from {
			least = min(least, each.value)
		}
	}
	return least
}

// since drops what no version from the given one on needs. It returns nothing
// for a value that is and stays 0.
func (h history) since(from uint64) history {
	first := 0
	for i, each := range h {
		if each.version <= from {
			first = i
		}
	}
	h = h[first:]
	if len(h) == 1 && h[0].value == 0 {
		return nil
	}
	return h
}
