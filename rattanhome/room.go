package rattanhome

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// noRoomRetryAfter is the suggested retry delay of a job for which the home has no
// memory.
const noRoomRetryAfter = time.Second

// noRoomKey is the context key of WithoutRoom.
type noRoomKey struct{}

// WithoutRoom returns the context of a request for whose job this instance has no
// memory. The home refuses the job, unless it is known here or may have started.
func WithoutRoom(ctx context.Context) context.Context {
	return context.WithValue(ctx, noRoomKey{}, true)
}

// refuseWithoutRoom refuses a new job for which there is no memory, and reports
// whether it has. The caller holds the mutex.
func (h *Home) refuseWithoutRoom(ctx context.Context, submission rattanscheduler.Submission, now time.Time) bool {
	if ctx.Value(noRoomKey{}) == nil || !h.scheduler.IsNew(submission, now) {
		return false
	}
	h.scheduler.Refuse(submission, "home lacks memory", noRoomRetryAfter, now)
	return true
}
