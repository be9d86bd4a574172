package rattanfront

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// withdrawalTimeout bounds the attempts to withdraw a job. Its caller sends
	// it again after a little longer.
	withdrawalTimeout = 1200 * time.Millisecond
	// withdrawalCallTimeout bounds one attempt, withdrawalInterval is the time
	// between two.
	withdrawalCallTimeout = 250 * time.Millisecond
	withdrawalInterval    = 50 * time.Millisecond
)

// errNoHome means that a zone has no known home.
const errNoHome = errors.ConstError("zone has no home")

// withdraw tells the home of the zone that the caller of a job has left, until
// a home confirms it: the caller may submit the job elsewhere, so that what runs
// must be stopped before.
func (h *Handler) withdraw(zone string, cancellation rattanhome.Cancellation) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawalTimeout)
	defer cancel()
	for attempts := 1; ; attempts++ {
		claim, ok, _ := h.config.Homes.Home(zone)
		err := error(errNoHome)
		if ok {
			err = h.cancelAtHome(ctx, claim, cancellation)
		}
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			h.config.Journal.WithdrawalFailed(cancellation.JobID, zone, attempts, err)
			return
		case <-time.After(withdrawalInterval):
		}
	}
}

// cancelAtHome tells one home that the caller of a job has left.
func (h *Handler) cancelAtHome(ctx context.Context, claim rattanzone.Claim, cancellation rattanhome.Cancellation) error {
	if claim.Name == h.config.Self.Name {
		h.config.LocalHome.Cancel(cancellation)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawalCallTimeout)
	defer cancel()
	_, err := sendToHome(ctx, h.config.Peers, claim.Address, rattanhome.MethodCancel, cancellation)
	return err
}
