package rattanday

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// Report compares schedulers on the same jobs.
type Report struct {
	Seed uint64
	Jobs int
	// Policies starts with the product. Each policy has one advantage more than
	// the one before it, so the differences split the distance between them.
	Policies []Policy
	Kinds    []Part
	Zones    []Part
}

// Policy is what callers get from one scheduler. All figures are shares: of the
// worth of all jobs, and of the number of jobs.
type Policy struct {
	Name    string
	Worth   float64
	OnTime  float64
	Late    float64
	Refused float64
	// Lost is the share of the jobs that ended without a value otherwise.
	Lost float64
}

// Part is the share of the worth of a part of the jobs that the product and the
// omniscient scheduler earn.
type Part struct {
	Name       string
	Jobs       int
	Product    float64
	Omniscient float64
	// Outcomes is how the product ends the jobs.
	Outcomes Outcomes
}

// Outcomes counts jobs by how they end.
type Outcomes struct {
	OnTime  int
	Late    int
	Refused int
	// RefusedWithRoom counts those refused jobs for a task of which a target of some
	// zone had room.
	RefusedWithRoom int
	// Lost counts the jobs that ended without a value otherwise.
	Lost int
	// Work is the processor time of all jobs in core-seconds, Served that of the
	// jobs on time and a fifth of that of the late ones.
	Work   float64
	Served float64
}

// lateShare is the part of its processor time for which a late job counts as served.
const lateShare = 0.2

func (o *Outcomes) add(j *job, outcomes map[*job]outcome) {
	ended := outcomes[j]
	onTime, lateUntil := j.objective()
	work := j.work()
	o.Work += work
	switch {
	case ended.result == rattanscheduler.Refused:
		o.Refused++
		if ended.room {
			o.RefusedWithRoom++
		}
	case ended.result == rattanscheduler.Succeeded && ended.end <= onTime:
		o.OnTime++
		o.Served += work
	case ended.result == rattanscheduler.Succeeded && ended.end <= lateUntil:
		o.Late++
		o.Served += lateShare * work
	default:
		o.Lost++
	}
}

// Play plays the day on the product and on schedulers with advantages over it.
// The same seed gives the same report.
func Play(day *Day, seed uint64) *Report {
	jobs := day.jobs(seed)
	var zones [][]target
	var all []target
	for i := range day.Zones {
		zones = append(zones, day.zoneTargets(&day.Zones[i]))
		all = append(all, day.zoneTargets(&day.Zones[i])...)
	}
	report := &Report{Seed: seed, Jobs: len(jobs)}
	product := playHomes(zones, jobs, day.simulatedEvacuations()).outcomes
	report.add("product", jobs, product)
	merged := inOneZone(jobs)
	report.add("with one zone", merged, simulateHomes([][]target{all}, merged))
	exact := declaredExactly(merged)
	report.add("and true declared run times", exact, simulateHomes([][]target{all}, exact))
	omniscient := completions(serveOmniscient(all, jobs, true))
	report.add("omniscient", jobs, omniscient)
	report.add("without priorities", jobs, completions(serveOmniscient(all, jobs, false)))
	for i := range day.Kinds {
		kind := &day.Kinds[i]
		report.Kinds = append(report.Kinds, newPart(kind.Name, jobs, product, omniscient, func(j *job) bool { return j.kind == kind }))
	}
	for i := range day.Zones {
		report.Zones = append(report.Zones, newPart(day.Zones[i].Name, jobs, product, omniscient, func(j *job) bool { return j.zone == i }))
	}
	return report
}

// inOneZone returns copies of the jobs as if all were submitted in one zone.
func inOneZone(jobs []*job) []*job {
	return changed(jobs, func(j *job) { j.zone = 0 })
}

// declaredExactly returns copies of the jobs with true declared run times.
func declaredExactly(jobs []*job) []*job {
	return changed(jobs, func(j *job) { j.declared = j.longest })
}

func changed(jobs []*job, change func(*job)) []*job {
	list := make([]*job, len(jobs))
	for i, j := range jobs {
		list[i] = new(job)
		*list[i] = *j
		change(list[i])
	}
	return list
}

// completions returns the outcomes of completed jobs.
func completions(ends map[*job]time.Duration) map[*job]outcome {
	outcomes := make(map[*job]outcome, len(ends))
	for j, end := range ends {
		outcomes[j] = outcome{result: rattanscheduler.Succeeded, end: end}
	}
	return outcomes
}

// worthOf returns the worth of the job's answer.
func worthOf(j *job, outcomes map[*job]outcome) float64 {
	ended, ok := outcomes[j]
	if !ok || ended.result != rattanscheduler.Succeeded {
		return 0
	}
	return j.worthAt(ended.end)
}

func (r *Report) add(name string, jobs []*job, outcomes map[*job]outcome) {
	policy := Policy{Name: name}
	possible := 0.0
	for _, j := range jobs {
		possible += j.kind.Worth
		worth := worthOf(j, outcomes)
		policy.Worth += worth
		ended, known := outcomes[j]
		switch {
		case !known || ended.result == rattanscheduler.Refused:
			policy.Refused++
		case worth == j.kind.Worth:
			policy.OnTime++
		case worth > 0:
			policy.Late++
		default:
			policy.Lost++
		}
	}
	policy.Worth = ratio(policy.Worth, possible)
	for _, count := range []*float64{&policy.OnTime, &policy.Late, &policy.Refused, &policy.Lost} {
		*count = ratio(*count, float64(len(jobs)))
	}
	r.Policies = append(r.Policies, policy)
}

func newPart(name string, jobs []*job, product, omniscient map[*job]outcome, included func(*job) bool) Part {
	part := Part{Name: name}
	possible := 0.0
	for _, j := range jobs {
		if included(j) {
			part.Jobs++
			possible += j.kind.Worth
			part.Product += worthOf(j, product)
			part.Omniscient += worthOf(j, omniscient)
			part.Outcomes.add(j, product)
		}
	}
	part.Product, part.Omniscient = ratio(part.Product, possible), ratio(part.Omniscient, possible)
	return part
}

// ratio returns a share, which is 1 if there is nothing to share.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%d jobs, seed %d\tworth\ton time\tlate\trefused\tlost\t\n", r.Jobs, r.Seed)
	for _, policy := range r.Policies {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", policy.Name, policy.Worth, policy.OnTime, policy.Late, policy.Refused, policy.Lost)
	}
	fmt.Fprintf(table, "\npart\tjobs\tproduct\tomniscient\ton time\tlate\trefused\twith room\tlost\tserved work\t\n")
	for _, part := range slices.Concat(r.Kinds, r.Zones) {
		share := func(count int) float64 { return ratio(float64(count), float64(part.Jobs)) }
		o := &part.Outcomes
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", part.Name, part.Jobs, part.Product, part.Omniscient,
			share(o.OnTime), share(o.Late), share(o.Refused), share(o.RefusedWithRoom), share(o.Lost), ratio(o.Served, o.Work))
	}
	return errors.Trace(table.Flush())
}
