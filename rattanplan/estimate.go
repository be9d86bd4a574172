package rattanplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// maxNamedCallers is the maximum number of other callers listed by name in a
// plan.
const maxNamedCallers = 5

// estimate fills in the plan's effects, cost and warnings. The argument after
// is the document with the plan's change.
func (p *Plan) estimate(after rattanconfig.Document, status ClusterStatus) {
	name := p.Intent.Name
	switch p.Intent.Kind {
	case KindDrain, KindUndrain:
		p.estimateDrain(status)
	case KindSetShare, KindPutCaller, KindRetireCaller:
		p.estimateCaller(after, status)
	case KindPutService, KindRetireService:
		p.estimateService(after, status)
	case KindPutJobKind:
		p.estimateJobKind(after.JobKinds[name], status)
	case KindRetireJobKind:
		p.Summary = fmt.Sprintf("Job kind %s is retired.", name)
		p.Affected = append(p.Affected, "all callers that submit jobs of kind "+name)
		p.estimateRetirement(status.JobKinds[name])
	case KindPutObjective:
		p.Summary = fmt.Sprintf("Objective %s is set: %s.", name, describeObjective(after.Objectives[name]))
		p.addEffect("The burn report counts events for it from then on; nothing else changes.")
	case KindRemoveObjective:
		p.Summary = fmt.Sprintf("Objective %s is removed.", name)
		p.addEffect("The burn report no longer shows it, and its counts are dropped; nothing else changes.")
	}
}

// estimateDrain fills in a plan that drains an instance or target or puts it
// back into use.
func (p *Plan) estimateDrain(status ClusterStatus) {
	name := p.Intent.Name
	target, isTarget := status.Targets[name]
	instance, isInstance := status.Instances[name]
	isDrain := p.Intent.Kind == KindDrain
	switch {
	case isTarget && isDrain:
		p.estimateTargetDrain(target, status)
	case isTarget:
		p.Summary = fmt.Sprintf("Target %s with %s is put back into use.", name, pluralize(target.Slots, "slot"))
		p.Affected = append(p.Affected, "target "+name)
		p.addEffect("It gets new tasks as soon as the change is in force, within %v.", propagationDelay)
		p.estimateSlotLoss(-target.Slots, status)
	case isInstance && isDrain:
		p.estimateInstanceDrain(instance, status)
	case isInstance:
		p.Summary = fmt.Sprintf("Entry instance %s is put back into use.", name)
		p.Affected = append(p.Affected, "instance "+name)
		p.addEffect("It issues keys again within %v; pools stay with their owners.", propagationDelay)
	case isDrain:
		p.Summary = fmt.Sprintf("%s is marked as drained.", name)
		p.addEffect("It will get no work when it appears.")
		p.addWarning("No live entry instance or target has the name %q; check the spelling.", name)
	default:
		p.Summary = fmt.Sprintf("%s is no longer marked as drained.", name)
		p.addEffect("It will be used when it appears; no live entry instance or target has this name now.")
	}
}

func (p *Plan) estimateTargetDrain(target Target, status ClusterStatus) {
	name := p.Intent.Name
	p.Summary = fmt.Sprintf("Target %s (service %s, availability zone %s) is drained.", name, target.Service, target.AvailabilityZone)
	p.addEffect("It gets no new tasks after at most %v.", drainDelay)
	p.addEffect("%s finish there; nothing is stopped or started again.", pluralize(target.BusySlots, "running task"))
	p.Affected = append(p.Affected, "target "+name)
	p.Outstanding = target.BusySlots
	p.Expected = rattanjson.Duration(drainDelay)
	if target.BusySlots > 0 {
		p.Expected += target.LongestRemaining
	}
	p.estimateSlotLoss(target.Slots, status)
	slots, known := status.ServiceSlots[target.Service]
	if known && slots <= target.Slots {
		p.addWarning("No other target in use runs service %s: jobs of the kinds %s will be refused.", target.Service, joinNames(activeJobKinds(p.Base, target.Service)))
		p.addAffectedKinds(activeJobKinds(p.Base, target.Service))
	}
}

func (p *Plan) estimateInstanceDrain(instance Instance, status ClusterStatus) {
	name := p.Intent.Name
	p.Summary = fmt.Sprintf("Entry instance %s (availability zone %s) is drained.", name, instance.AvailabilityZone)
	p.addEffect("It issues no new keys and hands its pool to the next owner within %v.", drainDelay)
	p.addEffect("%s finish there and are answered; it still forwards requests and answers for its keys.", pluralize(instance.Jobs, "job"))
	p.Affected = append(p.Affected, "instance "+name)
	p.Outstanding = instance.Jobs
	p.Expected = rattanjson.Duration(drainDelay)
	if instance.Jobs > 0 {
		p.Expected += instance.LongestRemaining
	}
	if status.countZoneInstances(instance.AvailabilityZone) == 1 {
		p.addWarning("It is the only entry instance of availability zone %s: the targets there will get no work of their own zone.", instance.AvailabilityZone)
	}
}

// estimateCaller fills in a plan that adds, changes or retires a caller.
func (p *Plan) estimateCaller(after rattanconfig.Document, status ClusterStatus) {
	name := p.Intent.Name
	before, existed := p.Base.Callers[name]
	caller, usage := after.Callers[name], status.Callers[name]
	p.Affected = append(p.Affected, "caller "+name)
	if caller.Retired && !before.Retired {
		p.Summary = fmt.Sprintf("Caller %s is retired.", name)
		p.estimateRetirement(usage)
		p.addAffectedShares(after, status)
		return
	}
	p.Summary = fmt.Sprintf("Caller %s is changed.", name)
	if !caller.Retired && (!existed || before.Retired) {
		p.Summary = fmt.Sprintf("Caller %s is added.", name)
		p.addEffect("It can get keys and submit jobs within %v.", propagationDelay)
	}
	if shareBefore, shareAfter := callerShare(p.Base, name), callerShare(after, name); shareBefore != shareAfter {
		p.addEffect("When all callers have work waiting, its share of the slots is %s (now %s)%s.",
			formatPercent(shareAfter), formatPercent(shareBefore), approximateSlots(shareAfter, status.Slots))
		p.addAffectedShares(after, status)
	}
	p.estimateQuota(before, caller, usage)
	p.estimateMaxJobs(before, caller, usage)
}

func (p *Plan) estimateQuota(before, caller rattanconfig.Caller, usage Usage) {
	if caller.Quota == before.Quota {
		return
	}
	if caller.Quota == 0 {
		p.addEffect("It has no quota any more (before: %d).", before.Quota)
		return
	}
	p.addEffect("It holds at most %s at a time (before: %s); it holds %d now.", pluralize(caller.Quota, "slot"), limitOrNone(before.Quota), usage.Slots)
	excess := usage.Slots - caller.Quota
	if excess <= 0 {
		return
	}
	p.Outstanding = excess
	p.Expected += rattanjson.Duration(p.longestDeadline())
	p.Cost.Delayed = usage.Backlog
	p.addEffect("No running task is stopped; its next tasks start when it holds fewer slots than the quota.")
	p.addWarning("The caller holds %s more than the new quota; its waiting tasks (%s of slot time) are delayed, and new jobs that cannot meet their deadline are refused.",
		pluralize(excess, "slot"), roundDuration(usage.Backlog.Std()))
}

func (p *Plan) estimateMaxJobs(before, caller rattanconfig.Caller, usage Usage) {
	if caller.MaxJobs == before.MaxJobs {
		return
	}
	if caller.MaxJobs == 0 {
		p.addEffect("The number of its jobs is no longer limited (before: %d).", before.MaxJobs)
		return
	}
	p.addEffect("It has at most %s in progress in a pool (before: %s); it has %d in all pools now.", pluralize(caller.MaxJobs, "job"), limitOrNone(before.MaxJobs), usage.Jobs)
	if usage.Jobs > caller.MaxJobs {
		p.addWarning("Jobs already accepted are finished; new ones are refused in a pool that has reached the limit.")
	}
}

// addAffectedShares lists the other callers whose share changes, those with the
// most busy slots first.
func (p *Plan) addAffectedShares(after rattanconfig.Document, status ClusterStatus) {
	others := sortedKeys(after.Callers)
	others = slices.DeleteFunc(others, func(other string) bool {
		return other == p.Intent.Name || callerShare(p.Base, other) == callerShare(after, other)
	})
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(status.Callers[b].Slots, status.Callers[a].Slots)
	})
	for i, other := range others {
		if i == maxNamedCallers {
			p.Affected = append(p.Affected, pluralize(len(others)-i, "other caller")+" in the same way")
			return
		}
		p.Affected = append(p.Affected, fmt.Sprintf("caller %s (share %s, now %s)", other, formatPercent(callerShare(after, other)), formatPercent(callerShare(p.Base, other))))
	}
}

func (p *Plan) estimateService(after rattanconfig.Document, status ClusterStatus) {
	name := p.Intent.Name
	service := after.Services[name]
	slots, known := status.ServiceSlots[name]
	if service.Retired {
		p.Summary = fmt.Sprintf("Service %s is retired.", name)
		p.addEffect("No job kind uses it; its targets get no more work.")
		p.estimateSlotLoss(slots, status)
		return
	}
	if _, existed := p.Base.Services[name]; existed {
		p.Summary = fmt.Sprintf("Service %s is changed.", name)
	} else {
		p.Summary = fmt.Sprintf("Service %s is added.", name)
	}
	p.addEffect("Job kinds can use it; targets join it through the instance list.")
	if known && slots == 0 {
		p.addWarning("No target of service %s is in use.", name)
	}
}

func (p *Plan) estimateJobKind(kind rattanconfig.JobKind, status ClusterStatus) {
	name := p.Intent.Name
	before, existed := p.Base.JobKinds[name]
	p.Affected = append(p.Affected, "all callers that submit jobs of kind "+name)
	if kind.Retired {
		p.Summary = fmt.Sprintf("Job kind %s is retired.", name)
		p.estimateRetirement(status.JobKinds[name])
		return
	}
	if !existed || before.Retired {
		p.Summary = fmt.Sprintf("Job kind %s is added.", name)
		p.addEffect("Jobs of the kind are accepted within %v and run on service %s.", propagationDelay, kind.Service)
	} else {
		p.Summary = fmt.Sprintf("Job kind %s is changed.", name)
		p.addEffect("New jobs follow the new description within %v; %s in progress keep the old one.", propagationDelay, pluralize(status.JobKinds[name].Jobs, "job"))
	}
	if slots, known := status.ServiceSlots[kind.Service]; known && slots == 0 {
		p.addWarning("No target of service %s is in use: jobs of the kind will be refused.", kind.Service)
	}
	if existed && !before.Idempotent && kind.Idempotent {
		p.addWarning("The kind becomes idempotent: the system may use its tasks to probe targets that fail.")
	}
	if existed && (kind.MaxTasks < before.MaxTasks || kind.Deadline < before.Deadline) {
		p.addWarning("The limits become tighter: submissions with more than %s or a deadline above %v are refused.", pluralize(kind.MaxTasks, "task"), kind.Deadline)
	}
}

// estimateRetirement describes what happens to the jobs of a retired caller or
// job kind, given its current usage.
func (p *Plan) estimateRetirement(usage Usage) {
	p.addEffect("New submissions are refused as not run within %v.", propagationDelay)
	p.addEffect("%s in progress are finished and answered.", pluralize(usage.Jobs, "job"))
	p.Outstanding = usage.Jobs
	if usage.Jobs == 0 {
		return
	}
	p.Expected += rattanjson.Duration(p.longestDeadline())
	p.addWarning("It has %s in progress and %s busy now.", pluralize(usage.Jobs, "job"), pluralize(usage.Slots, "slot"))
}

// longestDeadline returns an upper bound of the time that accepted jobs
// affected by the intent can still take.
func (p *Plan) longestDeadline() time.Duration {
	if p.Intent.Kind == KindRetireJobKind || p.Intent.Kind == KindPutJobKind {
		return p.Base.JobKinds[p.Intent.Name].Deadline.Std()
	}
	longest := time.Duration(0)
	for _, kind := range p.Base.JobKinds {
		longest = max(longest, kind.Deadline.Std())
	}
	return longest
}

// estimateSlotLoss fills in the cost of taking slots out of use; a negative
// number means that slots are added. It does nothing if the total number of
// slots is unknown.
func (p *Plan) estimateSlotLoss(lost int, status ClusterStatus) {
	if status.Slots <= 0 || lost == 0 {
		return
	}
	left := max(status.Slots-lost, 0)
	p.Cost.SlotsLost = lost
	p.Cost.SlotsLeft = left
	p.Cost.UtilisationBefore = float64(status.BusySlots) / float64(status.Slots)
	p.Cost.BacklogBefore = status.Backlog / rattanjson.Duration(status.Slots)
	if left == 0 {
		p.addWarning("No slot is left: all jobs will be refused.")
		return
	}
	p.Cost.UtilisationAfter = float64(status.BusySlots) / float64(left)
	p.Cost.BacklogAfter = status.Backlog / rattanjson.Duration(left)
	if excess := status.BusySlots - left; excess > 0 {
		p.addWarning("The present work needs %s more than will be left: %d s of slot time must wait or be refused in each second.", pluralize(excess, "slot"), excess)
		p.Affected = append(p.Affected, "all callers")
	}
}

func (p *Plan) addAffectedKinds(kinds []string) {
	for _, kind := range kinds {
		p.Affected = append(p.Affected, "all callers that submit jobs of kind "+kind)
	}
}

func (p *Plan) addEffect(format string, args ...any) {
	p.Effects = append(p.Effects, fmt.Sprintf(format, args...))
}

func (p *Plan) addWarning(format string, args ...any) {
	p.Warnings = append(p.Warnings, fmt.Sprintf(format, args...))
}

func describeObjective(objective rattanconfig.Objective) string {
	kind := "all job kinds"
	if objective.Kind != "" {
		kind = "job kind " + objective.Kind
	}
	text := fmt.Sprintf("%s of events of %s good by measure %s over %v", formatPercent(objective.Goal), kind, objective.Measure, objective.Window)
	if objective.Threshold > 0 {
		text += fmt.Sprintf(", within %v", objective.Threshold)
	}
	return text
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, ", ")
}

// approximateSlots returns the part of a sentence that says how many slots the
// share amounts to, or "" if the total number of slots is unknown.
func approximateSlots(share float64, slots int) string {
	if slots == 0 {
		return ""
	}
	return fmt.Sprintf(", about %s", pluralize(int(share*float64(slots)), "slot"))
}

func limitOrNone(limit int) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}
