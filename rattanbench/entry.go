package rattanbench

import (
	"context"

	"github.com/juju/errors"
)

// openEntryBed opens entry instances for the experiment.
func openEntryBed(_ context.Context, _ func() Scheduler, _ Experiment) (bed, error) {
	return nil, errors.NotImplementedf("entry instances")
}
