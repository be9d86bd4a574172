package rattanentry

import (
	"context"
	"time"
)

// patience bounds the calls of one loop to the platform. The bound starts low,
// because the connection may have gone silent and a new one would work, and
// doubles while calls run into it, because the platform may be slow.
type patience struct {
	least, most time.Duration
	current     time.Duration
}

// call makes one call, bounded by the patience beyond wait. The error of a
// call that runs into the bound is context.DeadlineExceeded.
func (p *patience) call(ctx context.Context, wait time.Duration, call func(ctx context.Context) error) error {
	p.current = min(max(p.current, p.least), p.most)
	bounded, cancel := context.WithTimeout(ctx, wait+p.current)
	defer cancel()
	err := call(bounded)
	if err != nil && bounded.Err() != nil {
		p.current *= 2
		return bounded.Err()
	}
	p.current = p.least
	return err
}
