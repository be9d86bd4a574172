package rattanplan

import (
	"fmt"
	"strings"
)

// Progress describes how far a confirmed plan has been carried out.
type Progress struct {
	Done bool
	// InForce is the number of live entry instances that have the plan's
	// revision; Instances is the number of all live entry instances.
	InForce   int
	Instances int
	// Outstanding is the amount of work that must still end; see Plan.
	Outstanding int
	// Fraction is the completed fraction, from 0 to 1.
	Fraction float64
	Text     string
}

// Progress returns the progress of the plan, given the current status.
func (p Plan) Progress(status ClusterStatus) Progress {
	if p.State != StateConfirmed {
		return Progress{Text: fmt.Sprintf("The plan is not confirmed (%v).", p.State)}
	}
	outdated := status.outdatedInstances(p.ConfirmedRevision)
	progress := Progress{
		Instances:   len(status.Instances),
		InForce:     len(status.Instances) - len(outdated),
		Outstanding: p.countOutstanding(status),
	}
	// Without a report from any instance, the revision is not known to be in
	// force.
	progress.Done = progress.Instances > 0 && len(outdated) == 0 && progress.Outstanding == 0
	progress.Fraction = p.completedFraction(progress)
	progress.Text = progress.describe(p, outdated)
	return progress
}

// countOutstanding returns the amount of work that must still end.
func (p Plan) countOutstanding(status ClusterStatus) int {
	name, intent := p.Intent.Name, p.Intent
	switch {
	case intent.Kind == KindDrain:
		// The name is either a target or an instance; the other lookup returns
		// a zero value.
		return status.Targets[name].BusySlots + status.Instances[name].Jobs
	case intent.Kind == KindRetireCaller, intent.Caller != nil && intent.Caller.Retired:
		return status.Callers[name].Jobs
	case intent.Kind == KindRetireJobKind, intent.JobKind != nil && intent.JobKind.Retired:
		return status.JobKinds[name].Jobs
	case intent.Caller != nil:
		return slotsOverQuota(status.Callers[name], intent.Caller.Quota)
	case intent.Share != nil && intent.Share.Quota != nil:
		return slotsOverQuota(status.Callers[name], *intent.Share.Quota)
	default:
		return 0
	}
}

func slotsOverQuota(usage Usage, quota int) int {
	if quota == 0 {
		return 0
	}
	return max(usage.Slots-quota, 0)
}

// completedFraction gives equal weight to the instances and the outstanding
// work. Work that was added after the plan was made counts as not done.
func (p Plan) completedFraction(progress Progress) float64 {
	if progress.Done {
		return 1
	}
	updated := 0.0
	if progress.Instances > 0 {
		updated = float64(progress.InForce) / float64(progress.Instances)
	}
	finished := 1.0
	if progress.Outstanding > 0 {
		finished = max(0, 1-float64(progress.Outstanding)/float64(max(p.Outstanding, progress.Outstanding)))
	}
	return (updated + finished) / 2
}

func (p Progress) describe(plan Plan, outdated []string) string {
	if p.Done {
		return fmt.Sprintf("Done: revision %d is in force on all %s.", plan.ConfirmedRevision, pluralize(p.Instances, "instance"))
	}
	if p.Instances == 0 {
		return "No instance has reported its revision."
	}
	var parts []string
	if len(outdated) > 0 {
		parts = append(parts, fmt.Sprintf("Revision %d is in force on %d of %s; missing on %s.", plan.ConfirmedRevision, p.InForce, pluralize(p.Instances, "instance"), strings.Join(outdated, ", ")))
	}
	if p.Outstanding > 0 {
		parts = append(parts, plan.describeOutstanding(p.Outstanding))
	}
	return strings.Join(parts, " ")
}

// describeOutstanding describes the outstanding work in a sentence.
func (p Plan) describeOutstanding(outstanding int) string {
	name := p.Intent.Name
	switch p.Intent.Kind {
	case KindDrain:
		return fmt.Sprintf("Tasks or jobs still to end on %s: %d.", name, outstanding)
	case KindSetShare, KindPutCaller:
		return fmt.Sprintf("Slots that %s holds above its quota: %d.", name, outstanding)
	default:
		return fmt.Sprintf("Jobs of %s in progress: %d.", name, outstanding)
	}
}
