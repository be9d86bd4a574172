package rattanscheduler

import (
	"math"
	"slices"
	"time"
)

// speedClass tells how fast the runs on a target are. Tasks start on targets of a
// slower class only if those of faster ones have no room.
type speedClass int8

const (
	// classUsual is for targets of usual speed and faster ones.
	classUsual speedClass = 0
	// classSlowest is for targets with at least 1.5^3 times the usual run times. The
	// penalty of one more class would outweigh suspectPenalty.
	classSlowest speedClass = 3
	// classCold is for targets that have started lately. They come last: they are slow
	// for a known time only, and others need not wait for that.
	classCold speedClass = 4
)

const (
	// classStep is the logarithm of 1.5, the factor by which the run times of adjacent
	// classes differ. A target enters a class enterMargin above its lower bound and leaves
	// it leaveMargin below that, in classes.
	classStep   = 0.4054651081081644
	enterMargin = 0.25
	leaveMargin = 0.5
	// formerWeight is the weight of the former runs of a target in its estimate, in runs:
	// one more run counts for an eighth. On days on which all targets are usual, at most
	// 0.3% of them are taken for slow on average. With a quarter and without enterMargin, it
	// was 5 to 16%.
	formerWeight = 7
	// maxDeviation bounds the logarithm of a single run time relative to the estimate.
	// Three tasks of seven times the usual length do not make a target slow.
	maxDeviation = 1.0
	// comparisonInterval is the time for which run times are collected before they are
	// compared, unless they are from maxCompared targets earlier. That bounds the time of
	// one comparison, 1.3 ms if the classes of a third of 128 out of 8,700 targets change.
	// They have to be from steadyCompared targets, the median of which is certain enough to
	// replace the former one: a few slow targets that end their runs together are not the
	// usual ones. After comparisonTimeout, minCompared targets are enough to move it, and
	// run times from fewer are discarded.
	comparisonInterval = 100 * time.Millisecond
	comparisonTimeout  = time.Second
	minCompared        = 3
	steadyCompared     = 8
	maxCompared        = 128
	// maxSampled is the largest number of targets of which the median is taken.
	maxSampled = 64
	// progressWeight is the share of the progress of a run in what the run tells. Its
	// end has the rest, because progress is only a claim.
	progressWeight = 0.6
	// speedRetention is the time without observations after which a slow target counts
	// as usual, returnSlowness its estimate from then on: one more run of three times the
	// usual time is enough to make it slow again.
	speedRetention = 4 * time.Second
	returnSlowness = 1.05 * classStep
	// slowCheckInterval is the interval at which slow targets are checked for that,
	// slowReportDelay the time after which a slow target is reported. Chance makes usual
	// targets slow for a few runs.
	slowCheckInterval = 100 * time.Millisecond
	slowReportDelay   = time.Second
)

// targetSpeed is what is known of the speed of a target.
type targetSpeed struct {
	// class is the class in force, learned that of the slowness. They differ while the
	// target is cold, until coldUntil.
	class     speedClass
	learned   speedClass
	coldUntil time.Time
	// comparison is that of the target's service.
	comparison *speedComparison
	// slowness is the moving average of the logarithms of run times, relative to those
	// of other targets at the same time, observedAt when it last changed.
	slowness   float64
	observedAt time.Time
	// sum and weight are the weighted sum of the logarithms of actual to expected run
	// times since the last comparison, and their total weight.
	sum    float64
	weight float64
	// listed is set while the target is in the list of slow ones. slowSince is when it
	// came there, reported is set once it was reported.
	listed    bool
	slowSince time.Time
	reported  bool
}

// speedComparison compares the run times of the targets of a service. A cause that
// affects all targets, such as a slow home or estimates that are off, shifts the level
// and not the targets.
type speedComparison struct {
	// level is the logarithm of actual to expected run times on usual targets, known is
	// set once there was a comparison.
	level float64
	known bool
	// observed contains the targets with runs since the last comparison, the first of
	// which was at since.
	observed []*target
	since    time.Time
	sample   []float64
}

// classPenalty returns the term of a target's speed class in its score. Classes differ
// by more than the other terms that depend on the task can.
func (s *Scheduler) classPenalty(class speedClass) float64 {
	return float64(class) * (1 + s.config.RemotePenalty)
}

// observeEnd learns the speed of a target from the run time of a run.
func (s *Scheduler) observeEnd(r *run, runTime, expected time.Duration, now time.Time) {
	weight := 1.0
	if r.progressSeen {
		weight -= progressWeight
	}
	s.observeSpeed(r, max(runTime, time.Millisecond), expected, weight, now)
}

// observeProgress learns the speed of a target from the progress of a run, once for each
// run, when half of its expected time is over.
func (s *Scheduler) observeProgress(r *run, percent int, expected time.Duration, clockMillis int64, now time.Time) {
	if r.progressSeen || r.cold {
		return
	}
	elapsed := now.Sub(r.knownSince)
	if r.startClock != 0 && clockMillis != 0 {
		elapsed = time.Duration(clockMillis-r.startClock) * time.Millisecond
	}
	if elapsed < minProgressAge || 2*elapsed < expected {
		return
	}
	r.progressSeen = true
	s.observeSpeed(r, time.Duration(float64(elapsed)*100/(max(0, float64(percent))+0.5)), expected, progressWeight, now)
}

// observeSpeed adds a run time to the next comparison. Runs that continue from a
// checkpoint are shorter than expected for that reason.
func (s *Scheduler) observeSpeed(r *run, runTime, expected time.Duration, weight float64, now time.Time) {
	if r.orphan || expected <= 0 || (r.attempt > 1 && r.task.checkpoint != "") {
		return
	}
	comparison := r.target.speed.comparison
	comparison.add(r.target, math.Log(float64(runTime)/float64(expected)), weight, now)
	s.compareSpeeds(comparison, now)
}

// add adds the logarithm of an actual to an expected run time.
func (c *speedComparison) add(t *target, ratio, weight float64, now time.Time) {
	speed := &t.speed
	if c.known {
		usual := c.level + speed.slowness
		ratio = min(max(ratio, usual-maxDeviation), usual+maxDeviation)
	}
	if len(c.observed) == 0 {
		c.since = now
	}
	if speed.weight == 0 {
		c.observed = append(c.observed, t)
	}
	speed.sum += weight * ratio
	speed.weight += weight
	speed.observedAt = now
}

// compareSpeeds compares the targets with each other if it is time for that.
func (s *Scheduler) compareSpeeds(c *speedComparison, now time.Time) {
	elapsed := now.Sub(c.since)
	enough := len(c.observed) >= minCompared
	switch {
	case len(c.observed) >= maxCompared, elapsed >= comparisonTimeout:
	case elapsed < comparisonInterval, len(c.observed) < steadyCompared:
		return
	}
	if enough {
		c.updateLevel()
	}
	for _, t := range c.observed {
		speed := &t.speed
		if enough {
			gain := speed.weight / (speed.weight + formerWeight)
			speed.slowness += gain * (speed.sum/speed.weight - c.level - speed.slowness)
			s.classify(t, now)
		}
		speed.sum, speed.weight = 0, 0
	}
	clear(c.observed)
	c.observed = c.observed[:0]
}

// updateLevel moves the level to the median of the observed targets.
func (c *speedComparison) updateLevel() {
	c.sample = c.sample[:0]
	step := (len(c.observed) + maxSampled - 1) / maxSampled
	for i := 0; i < len(c.observed); i += step {
		speed := &c.observed[i].speed
		c.sample = append(c.sample, speed.sum/speed.weight)
	}
	slices.Sort(c.sample)
	median := c.sample[(len(c.sample)-1)/2]
	if !c.known {
		c.known, c.level = true, median
		return
	}
	c.level += min(1, float64(len(c.observed))/steadyCompared) * (median - c.level)
}

// classify puts a target into the class of its slowness.
func (s *Scheduler) classify(t *target, now time.Time) {
	t.speed.learned = nextClass(t.speed.learned, t.speed.slowness)
	if t.speed.learned > classUsual && !t.speed.listed {
		t.speed.listed, t.speed.slowSince = true, now
		s.slow = append(s.slow, t)
	}
	s.applyClass(t)
}

// applyClass puts the learned class of a target in force unless the target is cold.
func (s *Scheduler) applyClass(t *target) {
	if t.speed.class != classCold && t.speed.class != t.speed.learned {
		t.speed.class = t.speed.learned
		s.touch(t)
	}
}

// nextClass returns the class of a slowness, given the class so far.
func nextClass(class speedClass, slowness float64) speedClass {
	position := slowness / classStep
	switch {
	case position >= float64(class)+1+enterMargin:
		return min(speedClass(position), classSlowest)
	case position < float64(class)-leaveMargin:
		return speedClass(max(0, position+leaveMargin))
	}
	return class
}

// checkSlowTargets returns slow targets that were not observed for long to the usual
// class, and reports changes.
func (s *Scheduler) checkSlowTargets(now time.Time) {
	if now.Sub(s.slowCheckedAt) < slowCheckInterval {
		return
	}
	s.slowCheckedAt = now
	remaining := s.slow[:0]
	for _, t := range s.slow {
		if s.staysSlow(t, now) {
			remaining = append(remaining, t)
		}
	}
	clear(s.slow[len(remaining):])
	s.slow = remaining
}

// staysSlow updates a slow target and reports whether it remains in the list. One that
// was not observed for long does until its runs show that it is usual again.
func (s *Scheduler) staysSlow(t *target, now time.Time) bool {
	speed := &t.speed
	if s.targets[t.info.ID] != t {
		return false
	}
	if speed.learned > classUsual && now.Sub(speed.observedAt) > speedRetention {
		speed.learned, speed.slowness = classUsual, returnSlowness
		s.applyClass(t)
	}
	switch {
	case speed.learned > classUsual:
		if !speed.reported && now.Sub(speed.slowSince) >= slowReportDelay {
			speed.reported = true
			s.output.Targets = append(s.output.Targets, TargetEvent{Target: t.info.ID, Change: TargetSlow, RunTimeFactor: math.Exp(speed.slowness), Runs: len(t.runs)})
		}
	case !speed.reported || speed.slowness < leaveMargin*classStep:
		if speed.reported {
			s.recordChange(t, TargetNormal)
		}
		speed.listed, speed.reported = false, false
		return false
	}
	return true
}

// forgetSpeed forgets what was learned of a target that has restarted.
func (s *Scheduler) forgetSpeed(t *target) {
	t.speed.learned, t.speed.slowness = classUsual, 0
	s.applyClass(t)
}

// SlowTargets returns the number of targets that were learned to be slow.
func (s *Scheduler) SlowTargets() int {
	count := 0
	for _, t := range s.slow {
		if t.speed.learned > classUsual {
			count++
		}
	}
	return count
}
