package rattanday

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// job is a job of a day. It includes the true run times, which only the
// omniscient scheduler knows.
type job struct {
	id   string
	zone int
	kind *Kind
	// arrival is the time since the start of the day.
	arrival  time.Duration
	declared time.Duration
	// milliCPU is the demand of each task.
	milliCPU int
	runTimes []time.Duration
	longest  time.Duration
}

// objective returns when an answer must be complete to have its full worth, and
// when it has lost all.
func (j *job) objective() (onTime, lateUntil time.Duration) {
	duration := j.kind.Latency.Std() + time.Duration(j.kind.Slack*float64(j.longest))
	deadline := j.arrival + j.kind.Timeout.Std()
	return min(j.arrival+duration, deadline), min(j.arrival+rattanwork.LateFactor*duration, deadline)
}

// work returns the processor time of the job in core-seconds.
func (j *job) work() float64 {
	sum := 0.0
	for _, runTime := range j.runTimes {
		sum += runTime.Seconds() * float64(j.milliCPU) / 1000
	}
	return sum
}

// worthAt returns the value of an answer that is complete at the given time.
func (j *job) worthAt(end time.Duration) float64 {
	onTime, lateUntil := j.objective()
	switch {
	case end <= onTime:
		return j.kind.Worth
	case end <= lateUntil:
		return j.kind.LateWorth
	default:
		return 0
	}
}

// timeStep is the resolution of the simulation.
const timeStep = time.Millisecond

// jobs draws the jobs of the day in the order of their arrival. The same seed
// gives the same jobs.
func (d *Day) jobs(seed uint64) []*job {
	random := rand.New(rand.NewPCG(seed, 0))
	shares := 0.0
	for i := range d.Kinds {
		shares += d.Kinds[i].Share
	}
	var jobs []*job
	for at := time.Duration(0); at < d.Length.Std(); at += timeStep {
		for zone := range d.Zones {
			for kind := range d.Kinds {
				rate := d.rate(at, &d.Zones[zone], &d.Kinds[kind]) / shares
				for range poisson(random, rate*timeStep.Seconds()) {
					jobs = append(jobs, d.Kinds[kind].draw(random, len(jobs), zone, at))
				}
			}
		}
	}
	return jobs
}

// rate returns the rate of jobs of the kind in the zone, times the sum of the
// shares of all kinds.
func (d *Day) rate(at time.Duration, zone *Zone, kind *Kind) float64 {
	rate := zone.JobsPerSecond * kind.Share
	if zone.Swing > 0 {
		rate *= 1 + zone.Swing*math.Sin(2*math.Pi*(at.Seconds()/zone.Period.Std().Seconds()+zone.Phase))
	}
	for i := range d.Bursts {
		if d.Bursts[i].covers(at, zone, kind) {
			rate *= d.Bursts[i].Factor
		}
	}
	return rate
}

func (k *Kind) draw(random *rand.Rand, index, zone int, at time.Duration) *job {
	j := &job{id: fmt.Sprintf("%016x", index), zone: zone, kind: k, arrival: at, milliCPU: k.MilliCPU}
	if k.MilliCPUSpread > 0 {
		j.milliCPU = int(float64(k.MilliCPU) * (1 + k.MilliCPUSpread*(2*random.Float64()-1)))
	}
	for range k.MinTasks + random.IntN(k.MaxTasks-k.MinTasks+1) {
		factor := math.Exp(k.Sigma * random.NormFloat64())
		if random.Float64() < k.TailShare {
			factor *= k.TailFactor
		}
		runTime := max(timeStep, time.Duration(factor*float64(k.RunTime)))
		j.runTimes = append(j.runTimes, runTime)
		j.longest = max(j.longest, runTime)
	}
	declared := math.Pow(k.DeclaredFactor, 2*random.Float64()-1) * float64(k.RunTime)
	j.declared = max(timeStep, time.Duration(declared).Round(timeStep))
	return j
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(random *rand.Rand, mean float64) int {
	count, product, limit := 0, random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= random.Float64()
	}
	return count
}
