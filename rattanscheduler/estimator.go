package rattanscheduler

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of a new observation in the moving average;
	// each observed ratio is clamped to [minRatio, maxRatio] first.
	ratioWeight = 0.1
	minRatio    = 0.2
	maxRatio    = 5.0
	// minRatioChange is the relative change of a ratio that is worth sorting
	// the waiting jobs again.
	minRatioChange = 0.01
)

// runTimeEstimator corrects declared run times by the ratio of actual to
// declared run times, which it learns per service and priority.
type runTimeEstimator struct {
	// learned contains the moving averages, published those in force.
	learned   map[ratioKey]float64
	published map[ratioKey]float64
}

type ratioKey struct {
	service  string
	priority int
}

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{learned: map[ratioKey]float64{}, published: map[ratioKey]float64{}}
}

func ratioKeyOf(j *job) ratioKey {
	return ratioKey{j.submission.Service, j.submission.Priority}
}

// observe records the run time of a run that completed successfully. Runs of an
// earlier home are ignored because their start time is unknown.
func (e *runTimeEstimator) observe(j *job, step int, done *run, runTime time.Duration) {
	estimate := j.submission.Job.Steps[step].Estimate
	if estimate <= 0 || done.orphan {
		return
	}
	ratio := float64(runTime) / float64(estimate)
	ratio = min(max(ratio, minRatio), maxRatio)
	key := ratioKeyOf(j)
	previous, ok := e.learned[key]
	if !ok {
		previous = 1
	}
	e.learned[key] = previous + ratioWeight*(ratio-previous)
}

// publish puts the learned ratios in force and returns the keys of those that
// have changed noticeably.
func (e *runTimeEstimator) publish() map[ratioKey]bool {
	changed := map[ratioKey]bool{}
	for key, ratio := range e.learned {
		previous, ok := e.published[key]
		if !ok {
			previous = 1
		}
		if math.Abs(ratio-previous) > minRatioChange*previous {
			e.published[key] = ratio
			changed[key] = true
		}
	}
	return changed
}

// ratio returns the ratio of actual to declared run times in force for jobs
// like this one.
func (e *runTimeEstimator) ratio(j *job) float64 {
	if ratio, ok := e.published[ratioKeyOf(j)]; ok {
		return ratio
	}
	return 1
}

// expectedRunTime returns the expected run time of a task of the step.
func (e *runTimeEstimator) expectedRunTime(j *job, step int) time.Duration {
	return time.Duration(e.ratio(j) * float64(j.submission.Job.Steps[step].Estimate))
}
