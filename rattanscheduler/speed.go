package rattanscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// slowClassFactor is the factor by which the run times of adjacent classes of
	// speed differ; slowClassStep is its logarithm.
	slowClassFactor = 1.5
	slowClassStep   = 0.4054651081081644
	// maxSlowClass is the class of the slowest targets, those of five times the
	// usual run times and more.
	maxSlowClass = 4
	// enterMargin and leaveMargin are how far, in classes, the estimate must lie
	// above or below the class of a target before the class changes. Run times
	// vary by half, so that the estimate of a target varies by a third of a class.
	enterMargin = 0.85
	leaveMargin = 0.5
	// observationGain is the weight of a run in the estimate of its target. A single
	// run with the largest deviation does not make a usual target slow.
	observationGain = 0.25
	// recoveryGain is the weight of a run that is faster than the estimate by more
	// than recoveryGap: chance makes runs of a slow target much longer than usual,
	// but seldom as short as those of others.
	recoveryGain = 0.5
	recoveryGap  = 0.7
	// maxDeviation bounds the logarithm of a single observation relative to the
	// estimate, so that the few very long tasks of a kind count little.
	maxDeviation = 1.2
	// comparisonWindow is the age of the last observation of a target from which on
	// it is not compared with others.
	comparisonWindow = 2 * time.Second
	// minCompared is the least number of targets of which the median tells the
	// usual speed, minObservations the number of runs between two comparisons.
	minCompared     = 3
	minObservations = 8
	// minProgressPercent is the progress of a run at the usual speed that is enough
	// to tell the speed, as percents are rounded down.
	minProgressPercent = 10
	// progressWeight is the weight of the complete progress of a run,
	// maxProgressWeight that of all progress before its end. The end has the rest,
	// because progress is only a claim. Progress beyond the rounding error tells as
	// much as an end: the run times of tasks vary more than their pace.
	progressWeight    = 4
	maxProgressWeight = 0.8
)

// targetSpeed is what the runs of a target tell of its speed.
type targetSpeed struct {
	// slowness is the moving average of the logarithms of run times, relative to
	// those of other targets at the same time.
	slowness float64
	// class is the slowness at present in powers of slowClassFactor, 0 for targets of
	// usual speed and faster ones, at most maxSlowClass. warmClass leaves out that
	// the target is cold.
	class     int
	warmClass int
	// observedAt is when a run of the target was last observed, compared is set
	// while the target is among those that are compared.
	observedAt time.Time
	compared   bool
	// cold is set if the target is slow because it has started lately, until
	// coldUntil. coldListed is set while the end of that time is awaited.
	cold       bool
	coldUntil  time.Time
	coldListed bool
	// inherited is set if the speed was learned by an earlier home, for the
	// incarnation, and the target has not listed its runs since.
	inherited   bool
	incarnation int64
	// slowSince is since when the target counts as slow for a reason other than a
	// cold start, reported is set once that was reported. slowListed is set while the
	// target is among the slow ones.
	slowSince  time.Time
	reported   bool
	slowListed bool
	// decayedAt is when the slowness last shrank for want of observations, probedAt
	// when the last probe was selected, probeInterval the time until the next one.
	decayedAt     time.Time
	probedAt      time.Time
	probeInterval time.Duration
}

// observedProgress is the progress of a run as of the last observation.
type observedProgress struct {
	percent int
	// millis is the time of the observation in milliseconds, by the target's clock
	// if it states one.
	millis int64
	// weight is the sum of the weights of the run's observations.
	weight float64
}

// speedComparison compares the run times of the targets of a service. A cause that
// affects all targets, such as a slow home or estimates that are off, shifts the
// median and not the targets.
type speedComparison struct {
	// level is the median of the logarithms of actual to expected run times.
	level float64
	// coldness is the logarithm of the run times of cold targets relative to warm
	// ones.
	coldness  float64
	coldClass int
	// compared contains the targets observed during the comparisonWindow.
	compared []*target
	// observations counts those since the last comparison.
	observations int
	sorted       []float64
}

func newSpeedComparison() speedComparison {
	return speedComparison{coldness: initialColdness, coldClass: nextClass(0, initialColdness)}
}

// restarted returns what is known of the next incarnation.
func (t *targetSpeed) restarted() targetSpeed {
	return targetSpeed{class: t.class, compared: t.compared, coldListed: t.coldListed, slowListed: t.slowListed, reported: t.reported}
}

// slowFactorOf returns the run times in a class relative to the usual ones.
func slowFactorOf(class int) float64 {
	return slowFactors[class]
}

var slowFactors = [maxSlowClass + 1]float64{1, slowClassFactor, slowClassFactor * slowClassFactor, slowClassFactor * slowClassFactor * slowClassFactor, slowClassFactor * slowClassFactor * slowClassFactor * slowClassFactor}

// observeEnd learns the speed of a target from the run time of a run.
func (s *Scheduler) observeEnd(t *task, r *run, runTime time.Duration, now time.Time) {
	expected := s.estimator.expectedRunTime(t.job, t.stepIndex)
	if r.orphan || expected <= 0 {
		return
	}
	ratio := float64(max(runTime, time.Millisecond)) / float64(expected)
	s.observeSpeed(r.target, math.Log(ratio), 1-r.observed.weight, now)
}

// observeProgress learns the speed of a target from the progress of a run since the
// last observation. Times by the target's clock take precedence, because a busy
// home handles listings late.
func (s *Scheduler) observeProgress(r *run, percent int, clockMillis int64, now time.Time) {
	expected := s.estimator.expectedRunTime(r.task.job, r.task.stepIndex)
	if r.orphan || r.state != runConfirmed || expected <= 0 || r.observed.weight >= maxProgressWeight {
		return
	}
	millis := clockMillis
	if millis == 0 {
		millis = now.UnixMilli()
	}
	last := r.observed
	if last.millis == 0 {
		last.millis = r.startClock
		if clockMillis == 0 {
			last.millis = r.knownSince.UnixMilli()
		}
		r.observed = last
		if last.millis == 0 {
			r.observed = observedProgress{percent: percent, millis: millis}
			return
		}
	}
	elapsed := time.Duration(millis-last.millis) * time.Millisecond
	share := float64(elapsed) / float64(expected)
	if 100*share < minProgressPercent {
		return
	}
	weight := min(progressWeight*share, maxProgressWeight-last.weight)
	r.observed = observedProgress{percent: percent, millis: millis, weight: last.weight + weight}
	progress := max(float64(percent-last.percent), 0) + 0.5
	s.observeSpeed(r.target, math.Log(100*share/progress), weight, now)
}

// observeSpeed records the logarithm of the actual to the expected run time of a run.
func (s *Scheduler) observeSpeed(target *target, ratio, weight float64, now time.Time) {
	comparison := &s.service(target.info.Service).speeds
	speed := &target.speed
	speed.observedAt = now
	if speed.cold {
		comparison.observeCold(ratio, weight)
		s.classifySpeed(target)
		return
	}
	deviation := ratio - comparison.level - speed.slowness
	gain := observationGain
	if deviation < -recoveryGap {
		gain = recoveryGain
	}
	if deviation < -usualShare*speed.slowness {
		speed.probeInterval = quickProbeInterval
	}
	speed.slowness += gain * weight * min(max(deviation, -maxDeviation), maxDeviation)
	if !speed.compared {
		speed.compared = true
		comparison.compared = append(comparison.compared, target)
	}
	s.classifySpeed(target)
	comparison.observations++
	if comparison.observations >= max(minObservations, len(comparison.compared)/2) {
		s.compareSpeeds(comparison, now)
	}
}

// compareSpeeds makes the median of the targets the usual speed. Its cost is that of
// a sort for half as many observations.
func (s *Scheduler) compareSpeeds(comparison *speedComparison, now time.Time) {
	comparison.observations = 0
	comparison.compared = slices.DeleteFunc(comparison.compared, func(t *target) bool {
		t.speed.compared = s.targets[t.info.ID] == t && !t.speed.cold && now.Sub(t.speed.observedAt) <= comparisonWindow
		return !t.speed.compared
	})
	if len(comparison.compared) < minCompared {
		return
	}
	comparison.sorted = comparison.sorted[:0]
	for _, t := range comparison.compared {
		comparison.sorted = append(comparison.sorted, t.speed.slowness)
	}
	slices.Sort(comparison.sorted)
	median := comparison.sorted[(len(comparison.sorted)-1)/2]
	comparison.level += median
	for _, t := range comparison.compared {
		t.speed.slowness -= median
		s.classifySpeed(t)
	}
}

// classifySpeed puts a target into the class of its slowness.
func (s *Scheduler) classifySpeed(t *target) {
	t.speed.warmClass = nextClass(t.speed.warmClass, t.speed.slowness)
	if t.speed.warmClass > 0 && !t.speed.slowListed {
		t.speed.slowListed = true
		s.slow = append(s.slow, t)
	}
	class := t.speed.warmClass
	if t.speed.cold {
		class = min(class+s.service(t.info.Service).speeds.coldClass, maxSlowClass)
	}
	if class != t.speed.class {
		t.speed.class = class
		s.touch(t)
	}
}

// nextClass returns the class of a slowness, given the class so far.
func nextClass(class int, slowness float64) int {
	position := slowness / slowClassStep
	if position > float64(class)+enterMargin || position < float64(class)-leaveMargin {
		return min(max(int(math.Round(position)), 0), maxSlowClass)
	}
	return class
}

// usualRunTime returns the run time that a run of the target would have had on a
// target of usual speed.
func (s *Scheduler) usualRunTime(t *target, runTime time.Duration) time.Duration {
	if t.speed.class == 0 {
		return runTime
	}
	return time.Duration(float64(runTime) / math.Exp(s.totalSlowness(t)))
}
