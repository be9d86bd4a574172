package rattanfront

import (
	"context"
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanzone"
)

const (
	// saveTimeout bounds the time in which a cancellation is saved before its answer,
	// saveCallTimeout that in which one home saves it.
	saveTimeout     = time.Second
	saveCallTimeout = 600 * time.Millisecond
)

// saveCancellation has a cancellation saved by the home of one zone, that of this
// instance's first, and returns whether it is saved. After a failure, it is
// acknowledged all the same: all instances remember it, and the home tries again.
func (h *Handler) saveCancellation(request rattanhome.CallerCancellation) bool {
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	for _, zone := range h.config.Homes.Zones() {
		claim, ok, _ := h.config.Homes.Home(zone)
		if ok && h.saveAtHome(ctx, claim, request) == nil {
			return true
		}
	}
	return false
}

// saveAtHome has a cancellation saved by one home.
func (h *Handler) saveAtHome(ctx context.Context, claim rattanzone.Claim, request rattanhome.CallerCancellation) error {
	ctx, cancel := context.WithTimeout(ctx, saveCallTimeout)
	defer cancel()
	if claim.Name == h.config.Self.Name {
		return h.config.LocalHome.SaveCancellation(ctx, request)
	}
	_, err := sendToHome(ctx, h.config.Peers, claim.Address, rattanhome.MethodSaveCancellation, request)
	return err
}
