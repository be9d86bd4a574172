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
	if h.presence(id) != rattanhome.JobAbsent {
		respond(w, http.StatusGatewayTimeout, platform.ErrorBody(reason))
		return http.StatusGatewayTimeout
	}
	refuse(w, http.StatusServiceUnavailable, unavailableRetryAfter, reason)
	return http.StatusServiceUnavailable
}

// presence returns what this instance and the homes of all zones know of a job. What
// cannot be a job is absent.
func (h *Handler) presence(id string) rattanhome.JobPresence {
	if !platform.IsJobID(id) {
		return rattanhome.JobAbsent
	}
	if h.isPending(id) {
		return rattanhome.JobPresent
	}
	presence := rattanhome.JobAbsent
	var remote []string
	for _, zone := range h.config.Homes.Zones() {
		claim, ok, _ := h.config.Homes.Home(zone)
		switch {
		case !ok:
			presence = rattanhome.JobUncertain
		case claim.Name != h.config.Self.Name:
			remote = append(remote, claim.Address)
		default:
			presence = combine(presence, h.config.LocalHome.Presence(id))
		}
	}
	if presence != rattanhome.JobAbsent || len(remote) == 0 {
		return presence
	}
	if !h.lookups.Allow() {
		return rattanhome.JobUncertain
	}
	return h.presenceAt(remote, id)
}

// combine returns what is known of a job of which two homes know as much.
func combine(a, b rattanhome.JobPresence) rattanhome.JobPresence {
	switch {
	case a == rattanhome.JobPresent || b == rattanhome.JobPresent:
		return rattanhome.JobPresent
	case a == rattanhome.JobUncertain || b == rattanhome.JobUncertain:
		return rattanhome.JobUncertain
	default:
		return rattanhome.JobAbsent
	}
}

// isPending reports whether a caller of this instance waits for the job.
func (h *Handler) isPending(id string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, pending := h.pending[id]
	return pending
}

// presenceAt returns what the homes at the addresses know of a job. The request itself
// does not bound the calls: its context may have ended with its body.
func (h *Handler) presenceAt(addresses []string, id string) rattanhome.JobPresence {
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
	presence := rattanhome.JobAbsent
	for range addresses {
		presence = combine(presence, <-presences)
	}
	return presence
}
