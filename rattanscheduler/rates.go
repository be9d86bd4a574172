package rattanscheduler

import "time"

const (
	rateWeight = 0.1
	rateLeast  = 0.2
	rateMost   = 5.0
)

// rates learns by how much declared run times are off, by service and priority.
type rates struct {
	ratios map[rateKey]float64
}

type rateKey struct {
	service  string
	priority int
}

func newRates() rates {
	return rates{ratios: map[rateKey]float64{}}
}

func keyOf(j *job) rateKey {
	return rateKey{j.submission.Service, j.submission.Priority}
}

// observe takes in the run time of a run that ended as done.
func (r *rates) observe(j *job, step int, done *run, length time.Duration) {
	estimate := j.submission.Job.Steps[step].Estimate
	if estimate <= 0 || done.orphan {
		return
	}
	ratio := float64(length) / float64(estimate)
	ratio = min(max(ratio, rateLeast), rateMost)
	old := r.ratio(j)
	r.ratios[keyOf(j)] = old + rateWeight*(ratio-old)
}

// ratio returns by how much the run times of jobs like this one exceed the
// declared ones.
func (r *rates) ratio(j *job) float64 {
	if ratio, ok := r.ratios[keyOf(j)]; ok {
		return ratio
	}
	return 1
}

// expected returns the expected run time of a task of the step.
func (r *rates) expected(j *job, step int) time.Duration {
	return time.Duration(r.ratio(j) * float64(j.submission.Job.Steps[step].Estimate))
}
