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

// RecordsConfig configures Records. All fields are required. Connect
// sets those of other services.
type RecordsConfig struct {
	Members *Members
	Peers   PeerCaller
	Burn    *rattanburn.Counters
	Tracer  *rattantrace.Tracer
}

// Records keeps what happened to jobs here and how well they were served. It implements
// Recorder.
type Records struct {
	rattankernel.NoopLifecycle

	config RecordsConfig
}

// NewRecords returns the records of one instance.
func NewRecords(config RecordsConfig) *Records {
	return &Records{config: config}
}

// Answered records the final answer of a job.
func (r *Records) Answered(now time.Time, ended Ended) {
	if ended.Trace == 0 {
		ended.Trace = r.config.Tracer.Begin(now, rattantrace.Submission{Key: ended.Key, Caller: ended.Caller, Kind: ended.Kind})
	}
	r.config.Tracer.Finished(now, ended.Trace, ended.Answer)
	switch ended.Answer.State {
	case rattanjob.StateCancelled:
	case rattanjob.StateRefused:
		if ofLoad(ended.Answer.Reason) {
			r.config.Burn.Submitted(now, ended.Caller, ended.Kind, true)
		}
	default:
		r.config.Burn.Answered(now, rattanburn.Answer{
			Caller:       ended.Caller,
			Kind:         ended.Kind,
			ResponseTime: ended.Took,
			Deadline:     ended.Deadline,
			Complete:     ended.Answer.State == rattanjob.StateComplete,
		})
	}
}

// Assigned records the assignment of a task to a target.
func (r *Records) Assigned(now time.Time, job *Running, assignment rattanpool.Assignment) rattantrace.EventRef {
	r.config.Burn.Started(now, job.Caller, job.Kind, assignment.Waited)
	return r.config.Tracer.Assigned(now, job.Trace, rattantrace.Assignment{
		Task:    assignment.Task,
		Target:  assignment.Target,
		Attempt: assignment.Attempt,
		Waited:  assignment.Waited,
		Cause:   assignment.Choice.String(),
	})
}

// Burn returns the counts of all instances that answer.
func (r *Records) Burn(ctx context.Context, now time.Time) rattanburn.Snapshot {
	own := r.config.Burn.Snapshot(now)
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	others := callMembers[rattanburn.Snapshot](ctx, r.config.Peers, r.config.Members.Others(now), methodBurn, nil)
	return rattanburn.Merge(append(others, own)...)
}

// Connect finds the services that this one uses.
func (r *Records) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceMembers, &r.config.Members),
		rattankernel.DependsOn(serviceLinks, &r.config.Peers),
	)
}

// Explain returns the trace of the caller's job.
func (r *Records) Explain(key rattanjob.Key, caller string) (json.RawMessage, bool) {
	trace, err := r.config.Tracer.Explain(key)
	if err != nil || trace.Caller != caller {
		return nil, false
	}
	data, err := json.Marshal(trace)
	return data, err == nil
}

// Handle serves the counts to other instances.
func (r *Records) Handle(node *rattanpeer.Node) {
	node.Handle(methodBurn, func(context.Context, string, []byte) ([]byte, error) {
		return json.Marshal(r.config.Burn.Snapshot(time.Now()))
	})
}

// Name returns the name of the service in the kernel.
func (r *Records) Name() string {
	return serviceRecords
}

// Routes adds the routes of the report to the server.
func (r *Records) Routes(server *khttp.Server) {
	route := server.Route("/v1/report")
	route.GET("/burn", r.text)
	route.GET("/burn.html", r.page)
}

// Submitted records that a job was admitted and sets its Trace.
func (r *Records) Submitted(now time.Time, job *Running, submission rattantrace.Submission, expected time.Duration) {
	r.config.Burn.Submitted(now, job.Caller, job.Kind, false)
	job.Trace = r.config.Tracer.Begin(now, submission)
	r.config.Tracer.Admitted(job.Trace, expected)
}

// TaskEnded records the end of an assignment.
func (r *Records) TaskEnded(now time.Time, job *Running, ref rattantrace.EventRef, task int, report rattanpool.Report) {
	r.config.Tracer.Ended(now, job.Trace, ref, task, report)
}

// ofLoad reports whether a refusal is the system's doing; refusals of
// submissions that could never be accepted are no bad events.
func ofLoad(reason rattanjob.Reason) bool {
	switch reason {
	case rattanjob.ReasonOverloaded, rattanjob.ReasonOverQuota, rattanjob.ReasonDeadlineTooShort, rattanjob.ReasonDeadlinePassed, rattanjob.ReasonNoTarget, rattanjob.ReasonShuttingDown:
		return true
	}
	return false
}

func (r *Records) text(ctx khttp.Context) error {
	if _, refusal := identifyOperator(ctx.Request()); refusal != nil {
		return respond(ctx, *refusal)
	}
	return ctx.Blob(http.StatusOK, "text/plain; charset=utf-8", []byte(r.Burn(ctx, time.Now()).Text()))
}

func (r *Records) page(ctx khttp.Context) error {
	if _, refusal := identifyOperator(ctx.Request()); refusal != nil {
		return respond(ctx, *refusal)
	}
	page, err := r.Burn(ctx, time.Now()).Page()
	if err != nil {
		return err
	}
	return ctx.Blob(http.StatusOK, "text/html; charset=utf-8", page)
}
