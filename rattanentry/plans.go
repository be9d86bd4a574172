package rattanentry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanplan"
	"github.com/rattanlever/rattanlever/rattanplatform"
)

// planPrefix is followed by the ID in the platform's keys of plans.
const planPrefix = "Plans/"

// confirmTries bounds the attempts to settle a write whose answer was lost.
const confirmTries = 5

// KeyStore is the part of the platform's client that Plans uses.
type KeyStore interface {
	Get(ctx context.Context, key string) (rattanplatform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision, lease int64) (int64, error)
}

// PlansConfig configures Plans. All fields are required. Connect
// sets those of other services.
type PlansConfig struct {
	Store         KeyStore
	Configuration *Configuration
	Facts         func(ctx context.Context, now time.Time) rattanplan.ClusterStatus
	Logger        *logrus.Logger
}

// Plans serves operators' intents: it makes plans, keeps them in the platform,
// and puts confirmed ones in force.
type Plans struct {
	rattankernel.NoopLifecycle

	config PlansConfig
}

// PlanReply is a plan with its text and its progress.
type PlanReply struct {
	Plan     rattanplan.Plan
	Text     string
	Progress *rattanplan.Progress `json:",omitempty"`
}

// NewPlans returns the service of plans.
func NewPlans(config PlansConfig) *Plans {
	return &Plans{config: config}
}

// Name returns the name of the service in the kernel.
func (p *Plans) Name() string {
	return servicePlans
}

// Routes adds the routes of plans to the server.
func (p *Plans) Routes(server *khttp.Server) {
	route := server.Route("/v1")
	route.POST("/plans", p.serve(func(ctx context.Context, _ string, body []byte) (rattanplan.Plan, error) {
		return p.Make(ctx, time.Now(), body)
	}))
	route.GET("/plans/{id}", p.serve(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		plan, _, err := p.load(ctx, id)
		return plan, err
	}))
	route.POST("/plans/{id}/confirm", p.serve(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Confirm(ctx, time.Now(), id)
	}))
	route.POST("/plans/{id}/abandon", p.serve(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Abandon(ctx, time.Now(), id)
	}))
	route.POST("/plans/{id}/undo", p.serve(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Undo(ctx, time.Now(), id)
	}))
}

// Abandon makes a plan unusable.
func (p *Plans) Abandon(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, revision, err := p.load(ctx, id)
	if err != nil {
		return plan, err
	}
	abandoned, err := rattanplan.Abandon(now, plan)
	if err != nil {
		return plan, errors.Trace(err)
	}
	return abandoned, p.store(ctx, abandoned, revision)
}

// Connect finds the services that this one uses.
func (p *Plans) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceConfiguration, &p.config.Configuration),
	)
}

// Confirm puts a plan in force by compare-and-swap. A write whose answer was
// lost is read back by the plan's ID before anything is said or tried again.
// The document names only its latest change: when more than one has followed
// the plan's revision, a lost write may be among them, and the answer is
// ErrUncertain in place of a conflict.
func (p *Plans) Confirm(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, planRevision, err := p.load(ctx, id)
	if err != nil {
		return plan, err
	}
	lost := false
	for range confirmTries {
		current, revision, err := p.document(ctx)
		if err != nil {
			return plan, err
		}
		next, err := rattanplan.Confirm(now, plan, current)
		if errors.Is(err, rattanplan.ErrConfirmed) {
			return p.confirmed(ctx, now, plan, planRevision, current)
		}
		if errors.Is(err, rattanplan.ErrStale) && lost && current.Revision > plan.Revision+1 {
			return plan, errors.WithType(errors.Errorf("plan %s: the answer to its write was lost and other changes followed, so it may have been in force: %v", id, err), rattanplatform.ErrUncertain)
		}
		if err != nil {
			return plan, errors.Trace(err)
		}
		err = p.write(ctx, next, revision)
		if err == nil {
			return p.confirmed(ctx, now, plan, planRevision, next)
		}
		lost = lost || errors.Is(err, rattanplatform.ErrUncertain)
		if !errors.Is(err, rattanplatform.ErrUncertain) && !errors.Is(err, rattanplatform.ErrConflict) {
			return plan, errors.Annotatef(err, "plan %s: not confirmed", id)
		}
	}
	return plan, errors.Annotatef(rattanplatform.ErrUncertain, "plan %s: confirm again to learn whether it is in force", id)
}

// Make makes a plan for an intent and keeps it in the platform.
func (p *Plans) Make(ctx context.Context, now time.Time, body []byte) (rattanplan.Plan, error) {
	intent, err := rattanplan.ParseIntent(body)
	if err != nil {
		return rattanplan.Plan{}, errors.Trace(err)
	}
	return p.make(ctx, now, intent)
}

// Undo makes a plan that restores what a confirmed plan changed.
func (p *Plans) Undo(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, _, err := p.load(ctx, id)
	if err != nil {
		return plan, err
	}
	intent, err := rattanplan.Undo(plan)
	if err != nil {
		return plan, errors.Trace(err)
	}
	return p.make(ctx, now, intent)
}

func (p *Plans) make(ctx context.Context, now time.Time, intent rattanplan.Intent) (rattanplan.Plan, error) {
	document, _, err := p.document(ctx)
	if err != nil {
		return rattanplan.Plan{}, err
	}
	plan, err := rattanplan.Make(now, document, intent, p.config.Facts(ctx, now))
	if err != nil {
		return plan, errors.Trace(err)
	}
	return plan, p.store(ctx, plan, rattanplatform.NoRevision)
}

// confirmed records that a plan is in force. The record may fail: the
// document's request ID alone tells that the plan was confirmed.
func (p *Plans) confirmed(ctx context.Context, now time.Time, plan rattanplan.Plan, revision int64, document rattanconfig.Document) (rattanplan.Plan, error) {
	if plan.State == rattanplan.StateConfirmed {
		return plan, nil
	}
	plan = rattanplan.MarkConfirmed(now, plan, document)
	if err := p.store(ctx, plan, revision); err != nil {
		p.config.Logger.WithError(err).WithField("Plan", plan.ID).Warn("confirmation not recorded")
	}
	return plan, p.config.Configuration.Install(&document)
}

func (p *Plans) document(ctx context.Context) (rattanconfig.Document, int64, error) {
	entry, err := p.config.Store.Get(ctx, rattanconfig.PlatformKey)
	if err != nil {
		return rattanconfig.Document{}, 0, errors.Trace(err)
	}
	document, err := rattanconfig.Parse(entry.Value)
	return document, entry.Revision, errors.Annotatef(err, "key %s", rattanconfig.PlatformKey)
}

func (p *Plans) write(ctx context.Context, document rattanconfig.Document, revision int64) error {
	value, err := rattanconfig.Pack(document)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.config.Store.Put(ctx, rattanconfig.PlatformKey, value, revision, rattanplatform.NoLease)
	return err
}

func (p *Plans) load(ctx context.Context, id string) (rattanplan.Plan, int64, error) {
	var plan rattanplan.Plan
	entry, err := p.config.Store.Get(ctx, planPrefix+id)
	if err != nil {
		return plan, 0, errors.Annotatef(err, "plan %s", id)
	}
	if err := json.Unmarshal(entry.Value, &plan); err != nil {
		return plan, 0, errors.Annotatef(err, "plan %s", id)
	}
	return plan, entry.Revision, nil
}

func (p *Plans) store(ctx context.Context, plan rattanplan.Plan, revision int64) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.config.Store.Put(ctx, planPrefix+plan.ID, value, revision, rattanplatform.NoLease)
	return errors.Annotatef(err, "plan %s", plan.ID)
}

// serve adapts an operation on plans to a route for operators.
func (p *Plans) serve(operate func(ctx context.Context, id string, body []byte) (rattanplan.Plan, error)) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if _, refusal := identifyOperator(ctx.Request()); refusal != nil {
			return respond(ctx, *refusal)
		}
		body, refusal := readBody(ctx)
		if refusal != nil {
			return respond(ctx, *refusal)
		}
		plan, err := operate(ctx, ctx.Vars().Get("id"), body)
		if err != nil {
			return ctx.JSON(planStatus(err), planFailure(err))
		}
		reply := PlanReply{Plan: plan, Text: plan.Text()}
		if plan.State == rattanplan.StateConfirmed {
			progress := plan.Progress(p.config.Facts(ctx, time.Now()))
			reply.Progress = &progress
		}
		return ctx.JSON(http.StatusOK, reply)
	}
}

// planFailure states whether the change may have taken effect nevertheless.
func planFailure(err error) rattanjob.Answer {
	reason := planReasons[planStatus(err)]
	if errors.Is(err, rattanplatform.ErrUncertain) || errors.Is(err, context.DeadlineExceeded) {
		return rattanjob.UnknownAnswer(reason, err.Error(), retryUnknown)
	}
	return rattanjob.RefusedAnswer(reason, err.Error())
}

// planReasons has the reason of each status that planStatus returns.
var planReasons = map[int]rattanjob.Reason{
	http.StatusBadRequest:         rattanjob.ReasonInvalid,
	http.StatusConflict:           rattanjob.ReasonConflict,
	http.StatusNotFound:           rattanjob.ReasonKeyUnknown,
	http.StatusServiceUnavailable: rattanjob.ReasonNotReady,
}

// planStatus returns the HTTP status of an error of a plan.
func planStatus(err error) int {
	switch {
	case errors.Is(err, rattanplan.ErrStale), errors.Is(err, rattanplan.ErrAbandoned), errors.Is(err, rattanplan.ErrConfirmed), errors.Is(err, rattanplan.ErrNotConfirmed), errors.Is(err, rattanplatform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, rattanplatform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, rattanplatform.ErrUnavailable), errors.Is(err, rattanplatform.ErrUncertain), errors.Is(err, context.DeadlineExceeded):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
