package rattanentry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanplan"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// TestPlanFailure guards against telling an operator that a change was refused
// although it may be in force, or that it may be in force although it was
// refused.
func TestPlanFailure(t *testing.T) {
	for _, test := range []struct {
		err       error
		state     rattanjob.State
		execution rattanjob.Execution
		reason    rattanjob.Reason
	}{
		{rattanplatform.ErrUncertain, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonNotReady},
		{context.DeadlineExceeded, rattanjob.StateUnknown, rattanjob.ExecutionMayHaveRun, rattanjob.ReasonNotReady},
		{rattanplatform.ErrUnavailable, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonNotReady},
		{rattanplan.ErrStale, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonConflict},
		{rattanplatform.ErrNotFound, rattanjob.StateRefused, rattanjob.ExecutionNotRun, rattanjob.ReasonKeyUnknown},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			c := qt.New(t)
			answer := planFailure(errors.Annotate(test.err, "plan p1"))
			c.Assert(answer.State, qt.Equals, test.state)
			c.Assert(answer.Execution, qt.Equals, test.execution)
			c.Assert(answer.Reason, qt.Equals, test.reason)
		})
	}
}
