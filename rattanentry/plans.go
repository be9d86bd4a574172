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

// planPrefix is the prefix of the platform keys of plans; the plan's ID
// follows.
const planPrefix = "Plans/"

// maxConfirmAttempts bounds the attempts to confirm a plan when writes conflict
// or their answers are lost.
const maxConfirmAttempts = 5

// KeyStore is the part of the platform client that Plans uses.
type KeyStore interface {
	Get(ctx context.Context, key string) (rattanplatform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision, lease int64) (int64, error)
}

// PlansConfig configures Plans. All fields are required. Connect sets
// Configuration.
type PlansConfig struct {
	Store         KeyStore
	Configuration *Configuration
	CollectStatus func(ctx context.Context, now time.Time) rattanplan.ClusterStatus
	Logger        *logrus.Logger
}

// Plans serves operators' change requests: it creates plans, stores them in the
// platform, and applies confirmed ones.
type Plans struct {
	rattankernel.NoopLifecycle

	config PlansConfig
}

// PlanReply is a plan with its text. Confirmed plans also have their progress.
type PlanReply struct {
	Plan     rattanplan.Plan
	Text     string
	Progress *rattanplan.Progress `json:",omitempty"`
}

// NewPlans returns the service for plans.
func NewPlans(config PlansConfig) *Plans {
	return &Plans{config: config}
}

// Name returns the name of the service in the kernel.
func (p *Plans) Name() string {
	return servicePlans
}

// Routes adds the routes for plans to the server.
func (p *Plans) Routes(server *khttp.Server) {
	route := server.Route("/v1")
	route.POST("/plans", p.operatorHandler(func(ctx context.Context, _ string, body []byte) (rattanplan.Plan, error) {
		return p.Create(ctx, time.Now(), body)
	}))
	route.GET("/plans/{id}", p.operatorHandler(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		plan, _, err := p.loadPlan(ctx, id)
		return plan, err
	}))
	route.POST("/plans/{id}/confirm", p.operatorHandler(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Confirm(ctx, time.Now(), id)
	}))
	route.POST("/plans/{id}/abandon", p.operatorHandler(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Abandon(ctx, time.Now(), id)
	}))
	route.POST("/plans/{id}/undo", p.operatorHandler(func(ctx context.Context, id string, _ []byte) (rattanplan.Plan, error) {
		return p.Undo(ctx, time.Now(), id)
	}))
}

// Abandon marks a plan as abandoned, so that it cannot be confirmed.
func (p *Plans) Abandon(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, revision, err := p.loadPlan(ctx, id)
	if err != nil {
		return plan, err
	}
	abandoned, err := rattanplan.Abandon(now, plan)
	if err != nil {
		return plan, errors.Trace(err)
	}
	return abandoned, p.storePlan(ctx, abandoned, revision)
}

// Connect resolves the services that the plans depend on.
func (p *Plans) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceConfiguration, &p.config.Configuration),
	)
}

// Confirm applies a plan by compare-and-swap. After a write whose answer
// was lost, it reads the document back and looks for the plan's ID before it
// answers or tries again. The document names only its latest change. If more
// than one change has followed the plan's revision, a lost write may be among
// them, and the error is ErrUncertain instead of a conflict.
func (p *Plans) Confirm(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, planRevision, err := p.loadPlan(ctx, id)
	if err != nil {
		return plan, err
	}
	answerLost := false
	for range maxConfirmAttempts {
		current, revision, err := p.readDocument(ctx)
		if err != nil {
			return plan, err
		}
		next, err := rattanplan.Confirm(now, plan, current)
		if errors.Is(err, rattanplan.ErrConfirmed) {
			return p.recordConfirmed(ctx, now, plan, planRevision, current)
		}
		if errors.Is(err, rattanplan.ErrStale) && answerLost && current.Revision > plan.Revision+1 {
			return plan, errors.WithType(errors.Errorf("plan %s: the answer to its write was lost and other changes followed, so it may have been in force: %v", id, err), rattanplatform.ErrUncertain)
		}
		if err != nil {
			return plan, errors.Trace(err)
		}
		err = p.writeDocument(ctx, next, revision)
		if err == nil {
			return p.recordConfirmed(ctx, now, plan, planRevision, next)
		}
		answerLost = answerLost || errors.Is(err, rattanplatform.ErrUncertain)
		if !errors.Is(err, rattanplatform.ErrUncertain) && !errors.Is(err, rattanplatform.ErrConflict) {
			return plan, errors.Annotatef(err, "plan %s: not confirmed", id)
		}
	}
	return plan, errors.Annotatef(rattanplatform.ErrUncertain, "plan %s: confirm again to learn whether it is in force", id)
}

// Create makes a plan for the intent in body and stores it in the platform.
func (p *Plans) Create(ctx context.Context, now time.Time, body []byte) (rattanplan.Plan, error) {
	intent, err := rattanplan.ParseIntent(body)
	if err != nil {
		return rattanplan.Plan{}, errors.Trace(err)
	}
	return p.createPlan(ctx, now, intent)
}

// Undo creates a plan that reverts the changes of a confirmed plan.
func (p *Plans) Undo(ctx context.Context, now time.Time, id string) (rattanplan.Plan, error) {
	plan, _, err := p.loadPlan(ctx, id)
	if err != nil {
		return plan, err
	}
	intent, err := rattanplan.Undo(plan)
	if err != nil {
		return plan, errors.Trace(err)
	}
	return p.createPlan(ctx, now, intent)
}

// createPlan makes a plan for an intent and stores it in the platform.
func (p *Plans) createPlan(ctx context.Context, now time.Time, intent rattanplan.Intent) (rattanplan.Plan, error) {
	document, _, err := p.readDocument(ctx)
	if err != nil {
		return rattanplan.Plan{}, err
	}
	plan, err := rattanplan.Make(now, document, intent, p.config.CollectStatus(ctx, now))
	if err != nil {
		return plan, errors.Trace(err)
	}
	return plan, p.storePlan(ctx, plan, rattanplatform.NoRevision)
}

// recordConfirmed records that a plan was applied. A failure to do so is only
// logged, because the document's request ID is enough to tell that the plan was
// confirmed.
func (p *Plans) recordConfirmed(ctx context.Context, now time.Time, plan rattanplan.Plan, revision int64, document rattanconfig.Document) (rattanplan.Plan, error) {
	if plan.State == rattanplan.StateConfirmed {
		return plan, nil
	}
	plan = rattanplan.MarkConfirmed(now, plan, document)
	if err := p.storePlan(ctx, plan, revision); err != nil {
		p.config.Logger.WithError(err).WithField("Plan", plan.ID).Warn("recording the confirmation of the plan failed")
	}
	return plan, p.config.Configuration.Install(&document)
}

func (p *Plans) readDocument(ctx context.Context) (rattanconfig.Document, int64, error) {
	entry, err := p.config.Store.Get(ctx, rattanconfig.PlatformKey)
	if err != nil {
		return rattanconfig.Document{}, 0, errors.Trace(err)
	}
	document, err := rattanconfig.Parse(entry.Value)
	return document, entry.Revision, errors.Annotatef(err, "key %s", rattanconfig.PlatformKey)
}

func (p *Plans) writeDocument(ctx context.Context, document rattanconfig.Document, revision int64) error {
	value, err := rattanconfig.Pack(document)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.config.Store.Put(ctx, rattanconfig.PlatformKey, value, revision, rattanplatform.NoLease)
	return err
}

func (p *Plans) loadPlan(ctx context.Context, id string) (rattanplan.Plan, int64, error) {
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

func (p *Plans) storePlan(ctx context.Context, plan rattanplan.Plan, revision int64) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = p.config.Store.Put(ctx, planPrefix+plan.ID, value, revision, rattanplatform.NoLease)
	return errors.Annotatef(err, "plan %s", plan.ID)
}

// operatorHandler wraps an operation on plans as an HTTP handler for operators.
func (p *Plans) operatorHandler(operation func(ctx context.Context, id string, body []byte) (rattanplan.Plan, error)) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if _, refusal := operatorName(ctx.Request()); refusal != nil {
			return respond(ctx, *refusal)
		}
		body, refusal := readBody(ctx)
		if refusal != nil {
			return respond(ctx, *refusal)
		}
		plan, err := operation(ctx, ctx.Vars().Get("id"), body)
		if err != nil {
			return ctx.JSON(planStatus(err), planFailure(err))
		}
		reply := PlanReply{Plan: plan, Text: plan.Text()}
		if plan.State == rattanplan.StateConfirmed {
			progress := plan.Progress(p.config.CollectStatus(ctx, time.Now()))
			reply.Progress = &progress
		}
		return ctx.JSON(http.StatusOK, reply)
	}
}

// planFailure returns the answer for a failed operation. The answer says
// whether the change may have taken effect.
func planFailure(err error) rattanjob.Answer {
	reason := planReasons[planStatus(err)]
	if errors.Is(err, rattanplatform.ErrUncertain) || errors.Is(err, context.DeadlineExceeded) {
		return rattanjob.UnknownAnswer(reason, err.Error(), retryAfterUnknown)
	}
	return rattanjob.RefusedAnswer(reason, err.Error())
}

// planReasons holds the reason for each status that planStatus returns.
var planReasons = map[int]rattanjob.Reason{
	http.StatusBadRequest:         rattanjob.ReasonInvalid,
	http.StatusConflict:           rattanjob.ReasonConflict,
	http.StatusNotFound:           rattanjob.ReasonKeyUnknown,
	http.StatusServiceUnavailable: rattanjob.ReasonNotReady,
}

// planStatus returns the HTTP status code for a failed operation.
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
