package rattanplan

import (
	"fmt"
	"strings"
)

// Progress says how far a confirmed plan has come.
type Progress struct {
	Done bool
	// InForce and Instances count the live entry instances that have the
	// plan's revision, and all of them.
	InForce   int
	Instances int
	// Outstanding counts what must still end; see Plan.
	Outstanding int
	// Fraction is from 0 to 1.
	Fraction float64
	Text     string
}

// Progress returns how far the plan has come, from the present facts.
func (p Plan) Progress(facts ClusterStatus) Progress {
	if p.State != StateConfirmed {
		return Progress{Text: fmt.Sprintf("The plan is not confirmed (%v).", p.State)}
	}
	behind := facts.behind(p.ConfirmedRevision)
	progress := Progress{
		Instances:   len(facts.Instances),
		InForce:     len(facts.Instances) - len(behind),
		Outstanding: p.outstanding(facts),
	}
	// Without any report from an instance nothing is known to be in force.
	progress.Done = progress.Instances > 0 && len(behind) == 0 && progress.Outstanding == 0
	progress.Fraction = p.fraction(progress)
	progress.Text = progress.describe(p, behind)
	return progress
}

// outstanding counts what must still end at the present facts.
func (p Plan) outstanding(facts ClusterStatus) int {
	name, intent := p.Intent.Name, p.Intent
	switch {
	case intent.Kind == KindDrain:
		// A name stands for one of the two; the other entry is empty.
		return facts.Targets[name].BusySlots + facts.Instances[name].Jobs
	case intent.Kind == KindRetireCaller, intent.Caller != nil && intent.Caller.Retired:
		return facts.Callers[name].Jobs
	case intent.Kind == KindRetireJobKind, intent.JobKind != nil && intent.JobKind.Retired:
		return facts.JobKinds[name].Jobs
	case intent.Caller != nil:
		return overQuota(facts.Callers[name], intent.Caller.Quota)
	case intent.Share != nil && intent.Share.Quota != nil:
		return overQuota(facts.Callers[name], *intent.Share.Quota)
	default:
		return 0
	}
}

func overQuota(usage Usage, quota int) int {
	if quota == 0 {
		return 0
	}
	return max(usage.Slots-quota, 0)
}

// fraction weighs the instances and the outstanding work equally; work that
// was not there when the plan was made counts as none done.
func (p Plan) fraction(progress Progress) float64 {
	if progress.Done {
		return 1
	}
	inForce := 0.0
	if progress.Instances > 0 {
		inForce = float64(progress.InForce) / float64(progress.Instances)
	}
	ended := 1.0
	if progress.Outstanding > 0 {
		ended = max(0, 1-float64(progress.Outstanding)/float64(max(p.Outstanding, progress.Outstanding)))
	}
	return (inForce + ended) / 2
}

func (r Progress) describe(plan Plan, behind []string) string {
	if r.Done {
		return fmt.Sprintf("Done: revision %d is in force on all %s.", plan.ConfirmedRevision, count(r.Instances, "instance"))
	}
	if r.Instances == 0 {
		return "No instance has reported its revision."
	}
	var parts []string
	if len(behind) > 0 {
		parts = append(parts, fmt.Sprintf("Revision %d is in force on %d of %s; missing on %s.", plan.ConfirmedRevision, r.InForce, count(r.Instances, "instance"), strings.Join(behind, ", ")))
	}
	if r.Outstanding > 0 {
		parts = append(parts, plan.remaining(r.Outstanding))
	}
	return strings.Join(parts, " ")
}

// remaining says what the number of outstanding units means.
func (p Plan) remaining(outstanding int) string {
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
