package rattanscheduler

import "time"

const (
	// minFasterShare is the least share of the usable capacity that targets of
	// faster classes must have for a task to wait for them.
	minFasterShare = 0.3
	// onTimeMargin is the multiple of the expected run time that a slow target must
	// be able to complete in time: declared run times are off by 40%, and the longest
	// task of a job takes longer than the mean.
	onTimeMargin = 1.6
	// maxAcceptedClass is the class up to which a task does not decline a target:
	// waiting gains too little to leave capacity unused.
	maxAcceptedClass = 1
	// maxDeclines is the number of tasks that may decline slow targets in a pass
	// before it considers only the others: each further one would be a search
	// without a result.
	maxDeclines = 64
)

// slowPenalty returns the term of the score for a target of a class. The slowest
// usual target is preferred to a slow one, and one near the task's data if it is
// not slower than the way there makes it.
func slowPenalty(class int) float64 {
	if class == 0 {
		return 0
	}
	return slowFactorOf(class)
}

// slowestClass returns the class of the slowest targets on which the task may start
// now. A task that would be late only there waits for a faster target if it is
// expected to end there earlier, given the work that waits before it, in nanoseconds
// times thousandths of a core. A task that is late on any target starts where its
// answer still has value.
func (s *Scheduler) slowestClass(t *task, pool *targetPool, workBefore float64, now time.Time) int {
	slowest := pool.slowestClass()
	if slowest == 0 {
		return 0
	}
	expected := s.estimator.expectedRunTime(t.job, t.stepIndex)
	limit, lateUntil := s.adjustedDeadlines(t.job)
	margin := onTimeMargin
	base, faster := pool.baseClass()
	if now.Add(time.Duration(slowFactorOf(base) * float64(expected))).After(limit) {
		limit, margin = lateUntil, 1
	}
	if deadline := t.job.submission.Deadline; deadline.Before(limit) {
		limit = deadline
	}
	wait := workBefore / float64(max(1, faster))
	for class := max(base, maxAcceptedClass) + 1; class <= slowest; class++ {
		runTime := slowFactorOf(class) * float64(expected)
		endsEarlier := slowFactorOf(base)*float64(expected)+wait < runTime
		if endsEarlier && now.Add(time.Duration(margin*runTime)).After(limit) {
			return class - 1
		}
	}
	return slowest
}

// slowestClass returns the class of the slowest usable targets.
func (p *targetPool) slowestClass() int {
	for class := maxSlowClass; class > 0; class-- {
		if p.classMilliCPU[class] > 0 {
			return class
		}
	}
	return 0
}

// baseClass returns the fastest class that has, together with all faster ones, a
// sufficient share of the capacity, and the capacity of all these.
func (p *targetPool) baseClass() (class, milliCPU int) {
	for class, added := range p.classMilliCPU {
		milliCPU += added
		if float64(milliCPU) >= minFasterShare*float64(p.capacityMilliCPU) {
			return class, milliCPU
		}
	}
	return maxSlowClass, milliCPU
}
