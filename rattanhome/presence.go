package rattanhome

import (
	"context"
	"encoding/json"
	"hash/maphash"
	"time"

	"github.com/juju/errors"
)

//go:generate go tool stringer -type=JobPresence -output=enum_string.go

// JobPresence states what a home knows of a job, whatever instance submitted it.
type JobPresence int

// Presences of a job. The zero value claims nothing.
const (
	// JobUncertain means that the job may have run under an earlier home of the zone.
	JobUncertain JobPresence = iota
	// JobPresent means that the job is in progress, may start, or may have run.
	JobPresent
	// JobAbsent means that no task of the job has started in the zone lately.
	JobAbsent
)

// MethodPresence is the method by which an instance asks a home about a job. A home of
// the former version does not serve it.
const MethodPresence = "JobPresence"

// PresenceRequest asks about a job.
type PresenceRequest struct {
	JobID string
}

// PresenceReply is the answer to a PresenceRequest.
type PresenceReply struct {
	Presence JobPresence
}

const (
	// historyRetention is how long a home remembers jobs that have ended. Callers send
	// a job again within seconds of its deadline.
	historyRetention = 30 * time.Second
	// maxGeneration bounds the number of jobs in a generation of the history.
	maxGeneration = 32768
)

// jobHistory remembers the jobs that have ended, unless they were refused or redirected,
// for at least historyRetention. It keeps hashes in two generations: two jobs with the
// same hash make it remember one that it has not seen, which is harmless.
type jobHistory struct {
	seed             maphash.Seed
	latest, previous map[uint64]struct{}
	// latestSince and previousSince are when the generations began. Earlier jobs are
	// forgotten or were never known.
	latestSince, previousSince time.Time
}

func newJobHistory(now time.Time) jobHistory {
	return jobHistory{seed: maphash.MakeSeed(), latest: map[uint64]struct{}{}, latestSince: now, previousSince: now}
}

// add records that a job has ended.
func (h *jobHistory) add(jobID string, now time.Time) {
	if len(h.latest) >= maxGeneration || now.Sub(h.latestSince) >= historyRetention {
		h.previous, h.previousSince = h.latest, h.latestSince
		h.latest, h.latestSince = map[uint64]struct{}{}, now
	}
	h.latest[maphash.String(h.seed, jobID)] = struct{}{}
}

// presence returns what the history knows of a job.
func (h *jobHistory) presence(jobID string, now time.Time) JobPresence {
	hash := maphash.String(h.seed, jobID)
	_, isLatest := h.latest[hash]
	_, isPrevious := h.previous[hash]
	switch {
	case isLatest || isPrevious:
		return JobPresent
	case now.Sub(h.previousSince) < historyRetention:
		return JobUncertain
	default:
		return JobAbsent
	}
}

// Presence returns what the home knows of a job.
func (h *Home) Presence(jobID string) JobPresence {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.presence(jobID, h.now())
}

// presence does the same. The caller holds the mutex.
func (h *Home) presence(jobID string, now time.Time) JobPresence {
	switch {
	case h.closed || h.authority.uncertain():
		return JobUncertain
	case h.knows(jobID, now) || h.known(jobID, now) != "":
		return JobPresent
	default:
		return h.history.presence(jobID, now)
	}
}

// Presence returns what the home on this instance knows of a job.
func (s *Service) Presence(jobID string) JobPresence {
	home := s.config.Membership.LocalHome()
	if home == nil {
		return JobUncertain
	}
	return home.Presence(jobID)
}

func (s *Service) onPresence(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request PresenceRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Annotate(err, "presence request")
	}
	data, err := json.Marshal(PresenceReply{Presence: s.Presence(request.JobID)})
	return data, errors.Trace(err)
}
