package rattanentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/rattanlever/rattanlever/rattanburn"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattantrace"
)

const (
	methodBurn  = "Burn"
	burnTimeout = time.Second
)

// JobRecorderConfig configures a JobRecorder. All fields are required. Connect
// sets Membership and Peers.
type JobRecorderConfig struct {
	Membership   *Membership
	Peers        PeerCaller
	BurnCounters *rattanburn.Counters
	Tracer       *rattantrace.Tracer
}

// JobRecorder keeps the traces of jobs and the counts for service level
// objectives. It implements Recorder.
type JobRecorder struct {
	rattankernel.NoopLifecycle

	config JobRecorderConfig
}

// NewJobRecorder returns the recorder of an instance.
func NewJobRecorder(config JobRecorderConfig) *JobRecorder {
	return &JobRecorder{config: config}
}

// Answered records the final answer of a job.
func (r *JobRecorder) Answered(now time.Time, ended EndedJob) {
	if ended.Trace == 0 {
		ended.Trace = r.config.Tracer.Begin(now, rattantrace.Submission{Key: ended.Key, Caller: ended.Caller, Kind: ended.Kind})
	}
	r.config.Tracer.Finished(now, ended.Trace, ended.Answer)
	switch ended.Answer.State {
	case rattanjob.StateCancelled:
	case rattanjob.StateRefused:
		if countsAgainstBudget(ended.Answer.Reason) {
			r.config.BurnCounters.Submitted(now, ended.Caller, ended.Kind, true)
		}
	default:
		r.config.BurnCounters.Answered(now, rattanburn.Answer{
			Caller:       ended.Caller,
			Kind:         ended.Kind,
			ResponseTime: ended.Took,
			Deadline:     ended.Deadline,
			Complete:     ended.Answer.State == rattanjob.StateComplete,
		})
	}
}

// Assigned records the assignment of a task to a target.
func (r *JobRecorder) Assigned(now time.Time, job *JobInfo, assignment rattanpool.Assignment) rattantrace.EventRef {
	r.config.BurnCounters.Started(now, job.Caller, job.Kind, assignment.Waited)
	return r.config.Tracer.Assigned(now, job.Trace, rattantrace.Assignment{
		Task:    assignment.Task,
		Target:  assignment.Target,
		Attempt: assignment.Attempt,
		Waited:  assignment.Waited,
		Cause:   assignment.Choice.String(),
	})
}

// BurnSnapshot returns the merged counts of all instances that answer.
func (r *JobRecorder) BurnSnapshot(ctx context.Context, now time.Time) rattanburn.Snapshot {
	own := r.config.BurnCounters.Snapshot(now)
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	others := callMembers[rattanburn.Snapshot](ctx, r.config.Peers, r.config.Membership.Others(now), methodBurn, nil)
	return rattanburn.Merge(append(others, own)...)
}

// Connect resolves the services that the recorder depends on.
func (r *JobRecorder) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceMembership, &r.config.Membership),
		rattankernel.DependsOn(servicePeers, &r.config.Peers),
	)
}

// Explain returns the trace of a job if it belongs to the caller.
func (r *JobRecorder) Explain(key rattanjob.Key, caller string) (json.RawMessage, bool) {
	trace, err := r.config.Tracer.Explain(key)
	if err != nil || trace.Caller != caller {
		return nil, false
	}
	data, err := json.Marshal(trace)
	return data, err == nil
}

// Handle registers the handler of requests for this instance's counts.
func (r *JobRecorder) Handle(node *rattanpeer.Node) {
	node.Handle(methodBurn, func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(r.config.BurnCounters.Snapshot(time.Now()))
	})
}

// Name returns the name of the service in the kernel.
func (r *JobRecorder) Name() string {
	return serviceRecorder
}

// Routes adds the routes for error budget reports to the server.
func (r *JobRecorder) Routes(server *khttp.Server) {
	route := server.Route("/v1/report")
	route.GET("/burn", r.burnText)
	route.GET("/burn.html", r.burnPage)
}

// Submitted records that a job was admitted and sets its Trace.
func (r *JobRecorder) Submitted(now time.Time, job *JobInfo, submission rattantrace.Submission, expected time.Duration) {
	r.config.BurnCounters.Submitted(now, job.Caller, job.Kind, false)
	job.Trace = r.config.Tracer.Begin(now, submission)
	r.config.Tracer.Admitted(job.Trace, expected)
}

// TaskEnded records the end of an assignment.
func (r *JobRecorder) TaskEnded(now time.Time, job *JobInfo, ref rattantrace.EventRef, task int, report rattanpool.Report) {
	r.config.Tracer.Ended(now, job.Trace, ref, task, report)
}

// countsAgainstBudget reports whether a refusal is caused by the system.
// Refusals of submissions that could never be accepted do not count against the
// error budget.
func countsAgainstBudget(reason rattanjob.Reason) bool {
	switch reason {
	case rattanjob.ReasonOverloaded, rattanjob.ReasonOverQuota, rattanjob.ReasonDeadlineTooShort, rattanjob.ReasonDeadlinePassed, rattanjob.ReasonNoTarget, rattanjob.ReasonShuttingDown:
		return true
	}
	return false
}

func (r *JobRecorder) burnText(ctx khttp.Context) error {
	if _, refusal := operatorName(ctx.Request()); refusal != nil {
		return respond(ctx, *refusal)
	}
	return ctx.Blob(http.StatusOK, "text/plain; charset=utf-8", []byte(r.BurnSnapshot(ctx, time.Now()).Text()))
}

func (r *JobRecorder) burnPage(ctx khttp.Context) error {
	if _, refusal := operatorName(ctx.Request()); refusal != nil {
		return respond(ctx, *refusal)
	}
	page, err := r.BurnSnapshot(ctx, time.Now()).Page()
	if err != nil {
		return err
	}
	return ctx.Blob(http.StatusOK, "text/html; charset=utf-8", page)
}
