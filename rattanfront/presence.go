package rattanfront

import (
	"context"
	"net/http"
	"time"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanhome"
)

const (
	// lookupTimeout bounds the time in which homes tell what they know of a job that
	// is refused.
	lookupTimeout = 150 * time.Millisecond
	// lookupRate is the number of refused jobs a second about which other instances are
	// asked, lookupBurst the number at once, so that refusals do not load the homes.
	lookupRate  = 200
	lookupBurst = 100
)

// refuseUnread refuses a job that this instance does not submit, and returns the status
// of the answer. An earlier request with the same ID may have started the job: unless
// all homes know that none has, the answer says that the outcome is unknown. It is not
// recorded like other answers, because a flood of such requests must not fill the log.
func (h *Handler) refuseUnread(w http.ResponseWriter, id, reason string) int {
	if h.mayHaveRun(id) {
		respond(w, http.StatusGatewayTimeout, platform.ErrorBody(reason))
		return http.StatusGatewayTimeout
	}
	refuse(w, http.StatusServiceUnavailable, unavailableRetryAfter, reason)
	return http.StatusServiceUnavailable
}

// mayHaveRun reports whether a job may have been started by another request with the
// same ID, as far as this instance and the homes of all zones know. What cannot be a job
// has not run.
func (h *Handler) mayHaveRun(id string) bool {
	if !platform.IsJobID(id) {
		return false
	}
	if h.isPending(id) {
		return true
	}
	var remote []string
	for _, zone := range h.config.Homes.Zones() {
		claim, ok, _ := h.config.Homes.Home(zone)
		switch {
		case !ok:
			return true
		case claim.Name != h.config.Self.Name:
			remote = append(remote, claim.Address)
		case h.config.LocalHome.Presence(id) != rattanhome.JobAbsent:
			return true
		}
	}
	return len(remote) > 0 && (!h.lookups.Allow() || !h.absentAt(remote, id))
}

// isPending reports whether a caller of this instance waits for the job.
func (h *Handler) isPending(id string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, pending := h.pending[id]
	return pending
}

// absentAt reports whether the homes at all addresses state that the job is absent. The
// request itself does not bound the calls: its context may have ended with its body.
func (h *Handler) absentAt(addresses []string, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	presences := make(chan rattanhome.JobPresence, len(addresses))
	for _, address := range addresses {
		go func() {
			// After an error, the presence is uncertain.
			reply, _ := callHome[rattanhome.PresenceReply](ctx, h.config.Peers, address, rattanhome.MethodPresence, rattanhome.PresenceRequest{JobID: id})
			presences <- reply.Presence
		}()
	}
	for range addresses {
		if <-presences != rattanhome.JobAbsent {
			return false
		}
	}
	return true
}
