package rattanhome

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// MethodCancelForCaller is the method by which an instance passes on that a caller
// has cancelled its job.
const MethodCancelForCaller = "CancelForCaller"

// CallerCancellation is the request of a caller to cancel its job, for whichever
// instances wait for the job.
type CallerCancellation struct {
	JobID string
	// Known is set if the sender waits for the job on behalf of its caller.
	Known bool `json:",omitempty"`
}

// CancellationReply tells what has become of a CallerCancellation.
type CancellationReply struct {
	// Confirmed is set if the receiver is the home of its zone, so that the job
	// neither starts nor goes on there.
	Confirmed bool
	// Remembered is set if no copy of the job's submission can start it.
	Remembered bool
	// Known is set if the job was known, Ended if this cancellation has ended it.
	Known bool
	Ended bool
	// Finished is set if the receiver is the home that has the result of the job.
	Finished bool `json:",omitempty"`
	// Reachability is what the receiver knows of the other zones, nil unless it has
	// confirmed the cancellation.
	Reachability *Reachability `json:",omitempty"`
}

// Reachability states from which zones an instance has heard lately. An instance
// that is cut off itself, or was paused, states none.
type Reachability struct {
	// Zones contains the zones of all instances that were heard, directly or by
	// way of others, after all others had had the time to elect a home and to answer.
	Zones []string
}

// CancelForCaller ends a job and remembers that its caller has cancelled it. An
// instance that is not the home remembers it for the case that it becomes home.
func (s *Service) CancelForCaller(cancellation CallerCancellation) CancellationReply {
	if home := s.config.Membership.LocalHome(); home != nil {
		if reply, ok := home.cancelForCaller(cancellation); ok {
			if reply.Confirmed {
				reply.Reachability = s.config.Membership.Reachability(s.config.Clock())
			}
			s.config.Journal.CancelledForCaller(cancellation.JobID, reply)
			return reply
		}
	}
	remembered := s.config.Cancellations.Add(cancellation.JobID, cancellation.Known, s.config.Clock())
	return CancellationReply{Remembered: remembered}
}

// cancelForCaller does the same in the home. It returns false if the home is
// closed.
func (h *Home) cancelForCaller(cancellation CallerCancellation) (CancellationReply, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return CancellationReply{}, false
	}
	id := cancellation.JobID
	reply := CancellationReply{Known: cancellation.Known || h.knows(id, now), Confirmed: !h.authority.uncertain()}
	cached, ok := h.results[id]
	reply.Finished = ok && now.Before(cached.expiresAt)
	reply.Remembered = h.config.Cancellations.Add(id, reply.Known, now)
	if reply.Remembered {
		reply.Ended = h.scheduler.Cancel(id, now)
		h.flush(now)
	}
	return reply, true
}

// knows reports whether the home knows a job, or knew it when it was cancelled. The
// caller holds the mutex.
func (h *Home) knows(jobID string, now time.Time) bool {
	// Of a job that nobody knew, the scheduler remembers only that it was cancelled.
	if known, ok := h.config.Cancellations.Known(jobID, now); ok {
		return known
	}
	_, cached := h.results[jobID]
	return cached || h.scheduler.Remembers(jobID)
}

// CancelLearned ends a job whose cancellation this instance has learned of from
// another one.
func (h *Home) CancelLearned(jobID string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	if h.closed {
		return
	}
	if h.scheduler.Cancel(jobID, now) {
		h.config.Cancellations.Add(jobID, true, now)
	}
	h.flush(now)
}

// cancelledByCaller returns the result of a submission whose job was cancelled by
// its caller. The caller holds the mutex.
func (h *Home) cancelledByCaller(jobID string, now time.Time) (rattanscheduler.JobResult, bool) {
	_, ok := h.config.Cancellations.Contains(jobID, now)
	return rattanscheduler.JobResult{JobID: jobID, Outcome: rattanscheduler.Cancelled, Reason: "cancelled by its caller"}, ok
}

// reply returns the reply to a request whose job has ended.
func (s *Service) reply(request *Request, result rattanscheduler.JobResult) Reply {
	reply := Reply{Result: result}
	if result.Outcome != rattanscheduler.Cancelled {
		return reply
	}
	if age, ok := s.config.Cancellations.Contains(request.Job.ID, s.config.Clock()); ok {
		reply.CancelledByCaller = true
		s.config.Journal.CancelledJobSubmitted(request.Job.ID, request.Submitter, age)
	}
	return reply
}

func (s *Service) onCancelForCaller(_ context.Context, _ string, body []byte) ([]byte, error) {
	var cancellation CallerCancellation
	if err := json.Unmarshal(body, &cancellation); err != nil {
		return nil, errors.Annotate(err, "cancellation for caller")
	}
	data, err := json.Marshal(s.CancelForCaller(cancellation))
	return data, errors.Trace(err)
}
