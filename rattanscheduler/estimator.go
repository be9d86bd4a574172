package rattanscheduler

import "time"

const (
	// ratioWeight is the weight of a new observation in the moving average;
	// each observed ratio is clamped to [minRatio, maxRatio] first.
	ratioWeight = 0.1
	minRatio    = 0.2
	maxRatio    = 5.0
)

// runTimeEstimator corrects declared run times by the ratio of actual to
// declared run times, which it learns per service and priority.
type runTimeEstimator struct {
	ratios map[ratioKey]float64
}

type ratioKey struct {
	service  string
	priority int
}

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{ratios: map[ratioKey]float64{}}
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
	previous := e.ratio(j)
	e.ratios[ratioKeyOf(j)] = previous + ratioWeight*(ratio-previous)
}

// ratio returns the learned ratio of actual to declared run times for jobs like
// this one.
func (e *runTimeEstimator) ratio(j *job) float64 {
	if ratio, ok := e.ratios[ratioKeyOf(j)]; ok {
		return ratio
	}
	return 1
}

// expectedRunTime returns the expected run time of a task of the step.
func (e *runTimeEstimator) expectedRunTime(j *job, step int) time.Duration {
	return time.Duration(e.ratio(j) * float64(j.submission.Job.Steps[step].Estimate))
}
