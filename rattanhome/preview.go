package rattanhome

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// MethodPreview tells what would happen to a job, without submitting it. A home of the
// former version does not serve it.
const MethodPreview = "PreviewJob"

// Knowledge tells how current is what an instance knows.
type Knowledge interface {
	// InventoryAge returns the time since the inventory was last read, false if it never
	// was.
	InventoryAge(now time.Time) (time.Duration, bool)
	// EvacuationsRevision returns the store revision of the set of evacuated zones, 0 if
	// it is not known or not used.
	EvacuationsRevision() int64
}

// PreviewReply is the answer to a preview.
type PreviewReply struct {
	// NotHome is set if the instance is not, or no longer, the home of the zone.
	NotHome bool `json:",omitempty"`
	// Version is that of the desired state of the home's instance.
	Version int64
	Preview rattanscheduler.Preview
	// Evacuation is what the home knows of the evacuation of its zone,
	// EvacuationsRevision the store revision as of which it does, 0 if there is none.
	Evacuation          string
	EvacuationsRevision int64
	// Overloaded is set if the home refuses a share of all new jobs because it lacks
	// processor time. Lag is how late it handles events.
	Overloaded bool
	Lag        rattanjson.Duration
	// InventoryAge is nil if the inventory was never read.
	InventoryAge *rattanjson.Duration `json:",omitempty"`
}

// Preview returns what would happen to a job that is submitted now. It reports false if
// the home is closed.
func (h *Home) Preview(submission rattanscheduler.Submission) (PreviewReply, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return PreviewReply{NotHome: true}, false
	}
	preview := h.scheduler.Preview(submission, now)
	if reason := h.known(submission.Job.ID, now); reason != "" {
		preview.Outcome, preview.Reason, preview.Zone, preview.RetryAfter = rattanscheduler.PreviewJoins, reason, "", 0
		preview.Starts, preview.StartingTasks = nil, 0
	}
	return PreviewReply{
		Preview:    preview,
		Evacuation: h.scheduler.Evacuation().String(),
		Overloaded: h.overloaded,
		Lag:        rattanjson.Duration(h.lag.current(now)),
	}, true
}

// known returns why a submission of the job would not be one of a new job, although the
// scheduler does not know the job, "" if it would. The caller holds the mutex.
func (h *Home) known(jobID string, now time.Time) string {
	if cached, ok := h.results[jobID]; ok && now.Before(cached.expiresAt) {
		return "the job has ended: " + cached.result.Reason
	}
	if result, ok := h.cancelledByCaller(jobID, now); ok {
		return result.Reason
	}
	if h.config.Exchange != nil {
		if zone, starts := h.config.Exchange.RemoteStarts(jobID, now); len(starts) > 0 {
			return "a task of the job may start in zone " + zone
		}
	}
	return ""
}

// Preview returns what would happen to a job. Nothing is submitted.
func (s *Service) Preview(request *Request) PreviewReply {
	home := s.config.Membership.LocalHome()
	if home == nil {
		return PreviewReply{NotHome: true}
	}
	now := s.config.Clock()
	reply, ok := home.Preview(request.submission(now))
	if !ok {
		return reply
	}
	reply.Version = s.config.DesiredState.Version()
	if knowledge := s.config.Knowledge; knowledge != nil {
		reply.EvacuationsRevision = knowledge.EvacuationsRevision()
		if age, known := knowledge.InventoryAge(now); known {
			reply.InventoryAge = (*rattanjson.Duration)(&age)
		}
	}
	return reply
}

func (s *Service) onPreview(_ context.Context, _ string, body []byte) ([]byte, error) {
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Annotate(err, "request")
	}
	if request.Job == nil {
		return nil, errors.New("request without a job")
	}
	if err := request.Job.Check(); err != nil {
		return nil, errors.Annotate(err, "request")
	}
	data, err := json.Marshal(s.Preview(&request))
	return data, errors.Trace(err)
}
