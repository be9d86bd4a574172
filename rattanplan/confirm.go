package rattanplan

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

// Errors of Confirm, Abandon and Undo.
const (
	// ErrStale says that the document or the load has changed since the plan
	// was made; a *StaleError carries the difference.
	ErrStale = errors.ConstError("the plan is stale")
	// ErrConfirmed says that the plan has been confirmed before and is in
	// force; to Confirm it means success.
	ErrConfirmed    = errors.ConstError("the plan is confirmed")
	ErrAbandoned    = errors.ConstError("the plan is abandoned")
	ErrNotConfirmed = errors.ConstError("the plan is not confirmed")
)

// StaleError is the ErrStale of a plan that was made for another document.
type StaleError struct {
	PlanID string
	// Planned and Current are the revisions.
	Planned uint64
	Current uint64
	// Changes lead from the planned document to the current one.
	Changes []rattanconfig.Change
	// InEffect says that the current document already has what the plan asks
	// for, for example because the answer to a confirmation was lost.
	InEffect bool
}

// Error returns the difference, one change a line.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("plan %s was made for revision %d, the present revision is %d", e.PlanID, e.Planned, e.Current)
	if e.InEffect {
		text += ", which already has what the plan asks for"
	}
	if len(e.Changes) == 0 {
		return text + "; make a new plan"
	}
	return text + "; make a new plan. Changes since:\n" + rattanconfig.Describe(e.Changes)
}

// Is makes errors.Is(err, ErrStale) true.
func (e *StaleError) Is(target error) bool {
	return target == ErrStale
}

// Confirm returns the document to write in place of the current one, by
// compare-and-swap on its revision. The plan's ID becomes the RequestID, so
// that a writer whose answer was lost reads the document back and calls
// Confirm again: ErrConfirmed then says that the write took effect. The other
// errors are ErrStale, ErrAbandoned, ErrIntent and rattanconfig.ErrDocument.
func Confirm(now time.Time, plan Plan, current rattanconfig.Document) (rattanconfig.Document, error) {
	switch {
	case plan.State == StateAbandoned:
		return rattanconfig.Document{}, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrAbandoned)
	case plan.State == StateConfirmed, current.RequestID == plan.ID:
		return current, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrConfirmed)
	case plan.Revision != current.Revision:
		return rattanconfig.Document{}, stale(plan, current)
	case now.Sub(plan.MadeAt) > Lifetime:
		return rattanconfig.Document{}, errors.WithType(errors.Errorf("plan %s was made %s ago, its figures hold for %v; make a new plan", plan.ID, around(now.Sub(plan.MadeAt)), Lifetime), ErrStale)
	}
	document, err := next(current, plan.Intent)
	if err != nil {
		return rattanconfig.Document{}, err
	}
	document.Revision = current.Revision + 1
	document.RequestID = plan.ID
	return document, nil
}

// MarkConfirmed returns the plan as confirmed by the revision that it made.
func MarkConfirmed(now time.Time, plan Plan, document rattanconfig.Document) Plan {
	plan.State = StateConfirmed
	plan.ConfirmedRevision = document.Revision
	plan.EndedAt = &now
	return plan
}

// Abandon returns the plan as abandoned, also when it was before. It returns
// ErrConfirmed for a confirmed plan, which Undo can reverse.
func Abandon(now time.Time, plan Plan) (Plan, error) {
	switch plan.State {
	case StateConfirmed:
		return plan, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrConfirmed)
	case StateAbandoned:
		return plan, nil
	}
	plan.State = StateAbandoned
	plan.EndedAt = &now
	return plan, nil
}

// Undo returns the intent that restores what a confirmed plan changed, for a
// new plan. An entry that the plan added is retired rather than removed,
// because jobs may use it. It returns ErrNotConfirmed for other plans.
func Undo(plan Plan) (Intent, error) {
	if plan.State != StateConfirmed {
		return Intent{}, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrNotConfirmed)
	}
	name := plan.Intent.Name
	undo := Intent{Name: name}
	switch plan.Intent.Kind {
	case KindDrain, KindUndrain:
		undo.Kind, undo.Drain = restore(plan.Base.Drains, name, KindDrain, KindUndrain)
	case KindSetShare:
		caller := plan.Base.Callers[name]
		undo.Kind = KindSetShare
		undo.Share = &Share{Weight: &caller.Weight, Quota: &caller.Quota, MaxJobs: &caller.MaxJobs}
	case KindPutService, KindRetireService:
		undo.Kind, undo.Service = restore(plan.Base.Services, name, KindPutService, KindRetireService)
	case KindPutJobKind, KindRetireJobKind:
		undo.Kind, undo.JobKind = restore(plan.Base.JobKinds, name, KindPutJobKind, KindRetireJobKind)
	case KindPutCaller, KindRetireCaller:
		undo.Kind, undo.Caller = restore(plan.Base.Callers, name, KindPutCaller, KindRetireCaller)
	case KindPutObjective, KindRemoveObjective:
		undo.Kind, undo.Objective = restore(plan.Base.Objectives, name, KindPutObjective, KindRemoveObjective)
	}
	return undo, nil
}

// restore returns the kind and the part that bring an entry back to what it
// was, or the kind that ends it when it did not exist.
func restore[T any](entries map[string]T, name string, putKind, endKind Kind) (Kind, *T) {
	entry, ok := entries[name]
	if !ok {
		return endKind, nil
	}
	return putKind, &entry
}

func stale(plan Plan, current rattanconfig.Document) error {
	err := &StaleError{
		PlanID:  plan.ID,
		Planned: plan.Revision,
		Current: current.Revision,
		Changes: rattanconfig.Changes(plan.Base, current),
	}
	after, applyErr := next(current, plan.Intent)
	err.InEffect = applyErr == nil && len(rattanconfig.Changes(current, after)) == 0
	return err
}
