package rattanplan

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
)

// Errors of Confirm, Abandon and Undo.
const (
	// ErrStale is returned when the document has changed since the plan was
	// made, or when the plan is older than Lifetime, because the load may have
	// changed. For a changed document the error is a *StaleError, which holds
	// the difference.
	ErrStale = errors.ConstError("the plan is stale")
	// ErrConfirmed is returned for a plan that is already confirmed and in
	// force. Callers of Confirm treat it as success.
	ErrConfirmed = errors.ConstError("the plan is confirmed")
	// ErrAbandoned is returned by Confirm for a plan that was abandoned.
	ErrAbandoned = errors.ConstError("the plan is abandoned")
	// ErrNotConfirmed is returned by Undo for a plan that is not confirmed.
	ErrNotConfirmed = errors.ConstError("the plan is not confirmed")
)

// StaleError is an ErrStale for a plan that was made for another revision of
// the document.
type StaleError struct {
	PlanID string
	// Planned is the revision that the plan was made for, and Current the one
	// now in force.
	Planned uint64
	Current uint64
	// Changes are the differences from the planned document to the current one.
	Changes []rattanconfig.Change
	// AlreadyApplied is set when the current document already contains the
	// plan's change, for example because the response to an earlier
	// confirmation was lost.
	AlreadyApplied bool
}

// Error describes the difference, one change per line.
func (e *StaleError) Error() string {
	text := fmt.Sprintf("plan %s was made for revision %d, the present revision is %d", e.PlanID, e.Planned, e.Current)
	if e.AlreadyApplied {
		text += ", which already has what the plan asks for"
	}
	if len(e.Changes) == 0 {
		return text + "; make a new plan"
	}
	return text + "; make a new plan. Changes since:\n" + rattanconfig.Describe(e.Changes)
}

// Is makes errors.Is match ErrStale.
func (e *StaleError) Is(target error) bool {
	return target == ErrStale
}

// Confirm returns the document that should replace the current one by a
// compare-and-swap on its revision. The document's RequestID is set to the
// plan's ID. A writer that does not get a response reads the document back and
// calls Confirm again: ErrConfirmed then means that the write succeeded. The
// other errors are ErrStale, ErrAbandoned, ErrInvalidIntent and
// rattanconfig.ErrInvalidDocument.
func Confirm(now time.Time, plan Plan, current rattanconfig.Document) (rattanconfig.Document, error) {
	switch {
	case plan.State == StateAbandoned:
		return rattanconfig.Document{}, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrAbandoned)
	case plan.State == StateConfirmed, current.RequestID == plan.ID:
		return current, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrConfirmed)
	case plan.Revision != current.Revision:
		return rattanconfig.Document{}, newStaleError(plan, current)
	case now.Sub(plan.MadeAt) > Lifetime:
		return rattanconfig.Document{}, errors.WithType(errors.Errorf("plan %s was made %s ago, its figures hold for %v; make a new plan", plan.ID, roundDuration(now.Sub(plan.MadeAt)), Lifetime), ErrStale)
	}
	document, err := applyIntent(current, plan.Intent)
	if err != nil {
		return rattanconfig.Document{}, err
	}
	document.Revision = current.Revision + 1
	document.RequestID = plan.ID
	return document, nil
}

// MarkConfirmed returns the plan in state confirmed, with the revision of the
// document that it produced.
func MarkConfirmed(now time.Time, plan Plan, document rattanconfig.Document) Plan {
	plan.State = StateConfirmed
	plan.ConfirmedRevision = document.Revision
	plan.EndedAt = &now
	return plan
}

// Abandon returns the plan in state abandoned; abandoning a plan twice is not
// an error. It returns ErrConfirmed for a confirmed plan, which can be reversed
// with Undo.
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

// Undo returns the intent of a new plan that reverses a confirmed plan. A
// service, job kind or caller that the plan added is retired instead of
// removed, because jobs may still use it. Undo returns ErrNotConfirmed for a
// plan that is not confirmed.
func Undo(plan Plan) (Intent, error) {
	if plan.State != StateConfirmed {
		return Intent{}, errors.WithType(errors.Errorf("plan %s", plan.ID), ErrNotConfirmed)
	}
	name := plan.Intent.Name
	undo := Intent{Name: name}
	switch plan.Intent.Kind {
	case KindDrain, KindUndrain:
		undo.Kind, undo.Drain = restoreEntry(plan.Base.Drains, name, KindDrain, KindUndrain)
	case KindSetShare:
		caller := plan.Base.Callers[name]
		undo.Kind = KindSetShare
		undo.Share = &Share{Weight: &caller.Weight, Quota: &caller.Quota, MaxJobs: &caller.MaxJobs}
	case KindPutService, KindRetireService:
		undo.Kind, undo.Service = restoreEntry(plan.Base.Services, name, KindPutService, KindRetireService)
	case KindPutJobKind, KindRetireJobKind:
		undo.Kind, undo.JobKind = restoreEntry(plan.Base.JobKinds, name, KindPutJobKind, KindRetireJobKind)
	case KindPutCaller, KindRetireCaller:
		undo.Kind, undo.Caller = restoreEntry(plan.Base.Callers, name, KindPutCaller, KindRetireCaller)
	case KindPutObjective, KindRemoveObjective:
		undo.Kind, undo.Objective = restoreEntry(plan.Base.Objectives, name, KindPutObjective, KindRemoveObjective)
	}
	return undo, nil
}

// restoreEntry returns the intent kind and the former entry that restore an
// entry, or missingKind when the entry did not exist before the plan.
func restoreEntry[T any](entries map[string]T, name string, putKind, missingKind Kind) (Kind, *T) {
	entry, ok := entries[name]
	if !ok {
		return missingKind, nil
	}
	return putKind, &entry
}

// newStaleError returns the error for a plan that was made for another revision
// than that of the current document.
func newStaleError(plan Plan, current rattanconfig.Document) error {
	err := &StaleError{
		PlanID:  plan.ID,
		Planned: plan.Revision,
		Current: current.Revision,
		Changes: rattanconfig.Changes(plan.Base, current),
	}
	after, applyErr := applyIntent(current, plan.Intent)
	err.AlreadyApplied = applyErr == nil && len(rattanconfig.Changes(current, after)) == 0
	return err
}
