package rattanlimit

import "sync"

// Budget counts the bytes that are held for requests and bounds their sum. A part
// of it is reserved for small requests. It is safe for concurrent use.
type Budget struct {
	total, reserved int64

	mutex sync.Mutex
	// held is the sum of all shares, large that of the large ones. Large is at most
	// total - reserved.
	held, large int64
}

// NewBudget returns a budget of total bytes, of which reserved are kept for small
// requests.
func NewBudget(total, reserved int64) *Budget {
	return &Budget{total: total, reserved: reserved}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Share is the part of a budget that one request holds. The zero value holds
// nothing. Its methods must not be called concurrently.
type Share struct {
	budget *Budget
	bytes  int64
	large  bool
}

// NewShare returns a share that holds nothing yet.
func (b *Budget) NewShare() Share {
	return Share{budget: b}
}

// Resize changes the share to hold so many bytes as a large or a small request. It
// reports false and changes nothing if the budget has no room for more bytes. A
// share that does not grow can always be resized as long as its class stays.
func (s *Share) Resize(bytes int64, large bool) bool {
	if s.budget == nil {
		return true
	}
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held := b.held + bytes - s.bytes
	heldLarge := b.large
	if s.large {
		heldLarge -= s.bytes
	}
	if large {
		heldLarge += bytes
	}
	if (held > b.held && held > b.total) || (heldLarge > b.large && heldLarge > b.total-b.reserved) {
		return false
	}
	b.held, b.large = held, heldLarge
	s.bytes, s.large = bytes, large
	return true
}

// overdraw resizes the share beyond the bound of the budget, by at most so many times the
// bound. It reports false and changes nothing if that is not enough.
func (s *Share) overdraw(bytes, times int64) bool {
	b := s.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.held+bytes-s.bytes > (1+times)*b.total {
		return false
	}
	b.held += bytes - s.bytes
	s.bytes = bytes
	return true
}

// Release returns all bytes to the budget.
func (s *Share) Release() {
	if s.budget == nil {
		return
	}
	s.budget.mutex.Lock()
	defer s.budget.mutex.Unlock()
	s.budget.held -= s.bytes
	if s.large {
		s.budget.large -= s.bytes
	}
	s.bytes = 0
}
