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

// maxNamedCallers bounds how many other callers a plan names.
const maxNamedCallers = 5

// estimate fills in what the plan says, given the document after it.
func (p *Plan) estimate(after rattanconfig.Document, facts ClusterStatus) {
	name := p.Intent.Name
	switch p.Intent.Kind {
	case KindDrain, KindUndrain:
		p.estimateDrain(facts)
	case KindSetShare, KindPutCaller, KindRetireCaller:
		p.estimateCaller(after, facts)
	case KindPutService, KindRetireService:
		p.estimateService(after, facts)
	case KindPutJobKind:
		p.estimateJobKind(after.JobKinds[name], facts)
	case KindRetireJobKind:
		p.Summary = fmt.Sprintf("Job kind %s is retired.", name)
		p.Affected = append(p.Affected, "all callers that submit jobs of kind "+name)
		p.retire(facts.JobKinds[name])
	case KindPutObjective:
		p.Summary = fmt.Sprintf("Objective %s is set: %s.", name, describeObjective(after.Objectives[name]))
		p.effect("The burn report counts events for it from then on; nothing else changes.")
	case KindRemoveObjective:
		p.Summary = fmt.Sprintf("Objective %s is removed.", name)
		p.effect("The burn report no longer shows it, and its counts are dropped; nothing else changes.")
	}
}

func (p *Plan) estimateDrain(facts ClusterStatus) {
	name := p.Intent.Name
	target, isTarget := facts.Targets[name]
	instance, isInstance := facts.Instances[name]
	isDrain := p.Intent.Kind == KindDrain
	switch {
	case isTarget && isDrain:
		p.drainTarget(target, facts)
	case isTarget:
		p.Summary = fmt.Sprintf("Target %s with %s is put back into use.", name, count(target.Slots, "slot"))
		p.Affected = append(p.Affected, "target "+name)
		p.effect("It gets new tasks as soon as the change is in force, within %v.", propagation)
		p.loseSlots(-target.Slots, facts)
	case isInstance && isDrain:
		p.drainInstance(instance, facts)
	case isInstance:
		p.Summary = fmt.Sprintf("Entry instance %s is put back into use.", name)
		p.Affected = append(p.Affected, "instance "+name)
		p.effect("It issues keys again within %v; pools stay with their owners.", propagation)
	case isDrain:
		p.Summary = fmt.Sprintf("%s is marked as drained.", name)
		p.effect("It will get no work when it appears.")
		p.warn("No live entry instance or target has the name %q; check the spelling.", name)
	default:
		p.Summary = fmt.Sprintf("%s is no longer marked as drained.", name)
		p.effect("It will be used when it appears; no live entry instance or target has this name now.")
	}
}

func (p *Plan) drainTarget(target Target, facts ClusterStatus) {
	name := p.Intent.Name
	p.Summary = fmt.Sprintf("Target %s (service %s, availability zone %s) is drained.", name, target.Service, target.AvailabilityZone)
	p.effect("It gets no new tasks after at most %v.", drainDelay)
	p.effect("%s finish there; nothing is stopped or started again.", count(target.BusySlots, "running task"))
	p.Affected = append(p.Affected, "target "+name)
	p.Outstanding = target.BusySlots
	p.Expected = rattanjson.Duration(drainDelay)
	if target.BusySlots > 0 {
		p.Expected += target.LongestRemaining
	}
	p.loseSlots(target.Slots, facts)
	slots, known := facts.ServiceSlots[target.Service]
	if known && slots <= target.Slots {
		p.warn("No other target in use runs service %s: jobs of the kinds %s will be refused.", target.Service, list(kindsOf(p.Base, target.Service)))
		p.affectKinds(kindsOf(p.Base, target.Service))
	}
}

func (p *Plan) drainInstance(instance Instance, facts ClusterStatus) {
	name := p.Intent.Name
	p.Summary = fmt.Sprintf("Entry instance %s (availability zone %s) is drained.", name, instance.AvailabilityZone)
	p.effect("It issues no new keys and hands its pool to the next owner within %v.", drainDelay)
	p.effect("%s finish there and are answered; it still forwards requests and answers for its keys.", count(instance.Jobs, "job"))
	p.Affected = append(p.Affected, "instance "+name)
	p.Outstanding = instance.Jobs
	p.Expected = rattanjson.Duration(drainDelay)
	if instance.Jobs > 0 {
		p.Expected += instance.LongestRemaining
	}
	if facts.zoneInstances(instance.AvailabilityZone) == 1 {
		p.warn("It is the only entry instance of availability zone %s: the targets there will get no work of their own zone.", instance.AvailabilityZone)
	}
}

func (p *Plan) estimateCaller(after rattanconfig.Document, facts ClusterStatus) {
	name := p.Intent.Name
	before, existed := p.Base.Callers[name]
	caller, usage := after.Callers[name], facts.Callers[name]
	p.Affected = append(p.Affected, "caller "+name)
	if caller.Retired && !before.Retired {
		p.Summary = fmt.Sprintf("Caller %s is retired.", name)
		p.retire(usage)
		p.affectShares(after, facts)
		return
	}
	p.Summary = fmt.Sprintf("Caller %s is changed.", name)
	if !caller.Retired && (!existed || before.Retired) {
		p.Summary = fmt.Sprintf("Caller %s is added.", name)
		p.effect("It can get keys and submit jobs within %v.", propagation)
	}
	if shareBefore, shareAfter := shareOf(p.Base, name), shareOf(after, name); shareBefore != shareAfter {
		p.effect("When all callers have work waiting, its share of the slots is %s (now %s)%s.",
			percent(shareAfter), percent(shareBefore), aboutSlots(shareAfter, facts.Slots))
		p.affectShares(after, facts)
	}
	p.estimateQuota(before, caller, usage)
	p.estimateMaxJobs(before, caller, usage)
}

func (p *Plan) estimateQuota(before, caller rattanconfig.Caller, usage Usage) {
	if caller.Quota == before.Quota {
		return
	}
	if caller.Quota == 0 {
		p.effect("It has no quota any more (before: %d).", before.Quota)
		return
	}
	p.effect("It holds at most %s at a time (before: %s); it holds %d now.", count(caller.Quota, "slot"), orNone(before.Quota), usage.Slots)
	excess := usage.Slots - caller.Quota
	if excess <= 0 {
		return
	}
	p.Outstanding = excess
	p.Expected += rattanjson.Duration(p.longestDeadline())
	p.Cost.Delayed = usage.Backlog
	p.effect("No running task is stopped; its next tasks start when it holds fewer slots than the quota.")
	p.warn("The caller holds %s more than the new quota; its waiting tasks (%s of slot time) are delayed, and new jobs that cannot meet their deadline are refused.",
		count(excess, "slot"), around(usage.Backlog.Std()))
}

func (p *Plan) estimateMaxJobs(before, caller rattanconfig.Caller, usage Usage) {
	if caller.MaxJobs == before.MaxJobs {
		return
	}
	if caller.MaxJobs == 0 {
		p.effect("The number of its jobs is no longer limited (before: %d).", before.MaxJobs)
		return
	}
	p.effect("It has at most %s in progress in a pool (before: %s); it has %d in all pools now.", count(caller.MaxJobs, "job"), orNone(before.MaxJobs), usage.Jobs)
	if usage.Jobs > caller.MaxJobs {
		p.warn("Jobs already accepted are finished; new ones are refused in a pool that has reached the limit.")
	}
}

// affectShares says how the shares of the other callers change, the busiest
// ones first.
func (p *Plan) affectShares(after rattanconfig.Document, facts ClusterStatus) {
	others := sortedKeys(after.Callers)
	others = slices.DeleteFunc(others, func(other string) bool {
		return other == p.Intent.Name || shareOf(p.Base, other) == shareOf(after, other)
	})
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(facts.Callers[b].Slots, facts.Callers[a].Slots)
	})
	for i, other := range others {
		if i == maxNamedCallers {
			p.Affected = append(p.Affected, count(len(others)-i, "other caller")+" in the same way")
			return
		}
		p.Affected = append(p.Affected, fmt.Sprintf("caller %s (share %s, now %s)", other, percent(shareOf(after, other)), percent(shareOf(p.Base, other))))
	}
}

func (p *Plan) estimateService(after rattanconfig.Document, facts ClusterStatus) {
	name := p.Intent.Name
	service := after.Services[name]
	slots, known := facts.ServiceSlots[name]
	if service.Retired {
		p.Summary = fmt.Sprintf("Service %s is retired.", name)
		p.effect("No job kind uses it; its targets get no more work.")
		p.loseSlots(slots, facts)
		return
	}
	if _, existed := p.Base.Services[name]; existed {
		p.Summary = fmt.Sprintf("Service %s is changed.", name)
	} else {
		p.Summary = fmt.Sprintf("Service %s is added.", name)
	}
	p.effect("Job kinds can use it; targets join it through the instance list.")
	if known && slots == 0 {
		p.warn("No target of service %s is in use.", name)
	}
}

func (p *Plan) estimateJobKind(kind rattanconfig.JobKind, facts ClusterStatus) {
	name := p.Intent.Name
	before, existed := p.Base.JobKinds[name]
	p.Affected = append(p.Affected, "all callers that submit jobs of kind "+name)
	if kind.Retired {
		p.Summary = fmt.Sprintf("Job kind %s is retired.", name)
		p.retire(facts.JobKinds[name])
		return
	}
	if !existed || before.Retired {
		p.Summary = fmt.Sprintf("Job kind %s is added.", name)
		p.effect("Jobs of the kind are accepted within %v and run on service %s.", propagation, kind.Service)
	} else {
		p.Summary = fmt.Sprintf("Job kind %s is changed.", name)
		p.effect("New jobs follow the new description within %v; %s in progress keep the old one.", propagation, count(facts.JobKinds[name].Jobs, "job"))
	}
	if slots, known := facts.ServiceSlots[kind.Service]; known && slots == 0 {
		p.warn("No target of service %s is in use: jobs of the kind will be refused.", kind.Service)
	}
	if existed && !before.Idempotent && kind.Idempotent {
		p.warn("The kind becomes idempotent: the system may use its tasks to probe targets that fail.")
	}
	if existed && (kind.MaxTasks < before.MaxTasks || kind.Deadline < before.Deadline) {
		p.warn("The limits become tighter: submissions with more than %s or a deadline above %v are refused.", count(kind.MaxTasks, "task"), kind.Deadline)
	}
}

// retire describes the end of a caller or job kind with the present usage.
func (p *Plan) retire(usage Usage) {
	p.effect("New submissions are refused as not run within %v.", propagation)
	p.effect("%s in progress are finished and answered.", count(usage.Jobs, "job"))
	p.Outstanding = usage.Jobs
	if usage.Jobs == 0 {
		return
	}
	p.Expected += rattanjson.Duration(p.longestDeadline())
	p.warn("It has %s in progress and %s busy now.", count(usage.Jobs, "job"), count(usage.Slots, "slot"))
}

// longestDeadline bounds the time that accepted jobs concerned by the intent
// can still take.
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

func (p *Plan) loseSlots(lost int, facts ClusterStatus) {
	if facts.Slots <= 0 || lost == 0 {
		return
	}
	left := max(facts.Slots-lost, 0)
	p.Cost.SlotsLost = lost
	p.Cost.SlotsLeft = left
	p.Cost.UtilisationBefore = float64(facts.BusySlots) / float64(facts.Slots)
	p.Cost.BacklogBefore = facts.Backlog / rattanjson.Duration(facts.Slots)
	if left == 0 {
		p.warn("No slot is left: all jobs will be refused.")
		return
	}
	p.Cost.UtilisationAfter = float64(facts.BusySlots) / float64(left)
	p.Cost.BacklogAfter = facts.Backlog / rattanjson.Duration(left)
	if excess := facts.BusySlots - left; excess > 0 {
		p.warn("The present work needs %s more than will be left: %d s of slot time must wait or be refused in each second.", count(excess, "slot"), excess)
		p.Affected = append(p.Affected, "all callers")
	}
}

func (p *Plan) affectKinds(kinds []string) {
	for _, kind := range kinds {
		p.Affected = append(p.Affected, "all callers that submit jobs of kind "+kind)
	}
}

func (p *Plan) effect(format string, args ...any) {
	p.Effects = append(p.Effects, fmt.Sprintf(format, args...))
}

func (p *Plan) warn(format string, args ...any) {
	p.Warnings = append(p.Warnings, fmt.Sprintf(format, args...))
}

func describeObjective(objective rattanconfig.Objective) string {
	kind := "all job kinds"
	if objective.Kind != "" {
		kind = "job kind " + objective.Kind
	}
	text := fmt.Sprintf("%s of events of %s good by measure %s over %v", percent(objective.Goal), kind, objective.Measure, objective.Window)
	if objective.Threshold > 0 {
		text += fmt.Sprintf(", within %v", objective.Threshold)
	}
	return text
}

func list(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, ", ")
}

func aboutSlots(share float64, slots int) string {
	if slots == 0 {
		return ""
	}
	return fmt.Sprintf(", about %s", count(int(share*float64(slots)), "slot"))
}

func orNone(limit int) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}
