package rattanentry

import (
	"context"
	"time"
)

// adaptiveTimeout bounds the platform calls of one loop. The bound starts at
// min, because the connection may have failed silently and a new one would
// work. It doubles up to max while calls time out, because the platform may be
// slow.
type adaptiveTimeout struct {
	min, max time.Duration
	current  time.Duration
}

// call makes one call with a timeout of wait plus the current bound. A call
// that times out returns context.DeadlineExceeded.
func (t *adaptiveTimeout) call(ctx context.Context, wait time.Duration, call func(ctx context.Context) error) error {
	t.current = min(max(t.current, t.min), t.max)
	callCtx, cancel := context.WithTimeout(ctx, wait+t.current)
	defer cancel()
	err := call(callCtx)
	if err != nil && callCtx.Err() != nil {
		t.current *= 2
		return callCtx.Err()
	}
	t.current = t.min
	return err
}
