package rattanscheduler

import (
	"math"
	"time"
)

// While tasks wait, almost all capacity is used by runs, and what is free is in parts
// that are too small. A job can start only as runs end, so the expected wait follows
// from when they do, not from the sum of the capacity.

const (
	// releaseInterval is the resolution of expected ends, and releaseIntervals how many
	// of them a schedule covers: about 4 s. Later ends count as at the end of that.
	releaseInterval  = 16 * time.Millisecond
	releaseIntervals = 256
	// minTrackedShare is the part of the used capacity of which the expected ends must
	// be known.
	minTrackedShare = 0.5
)

// releaseSchedule adds up when running tasks are expected to release processor
// capacity. It is kept incrementally: a start and an end of a run change one interval.
type releaseSchedule struct {
	// milliCPU is the capacity released in the intervals from first on, as a ring: that
	// of interval i is at index i modulo releaseIntervals.
	milliCPU [releaseIntervals]int64
	// residual is the sum over the same runs of capacity times the time that an overdue
	// run is expected to take still, in milliseconds.
	residual [releaseIntervals]int64
	first    int64
	// overdue and overdueResidual are the same sums of the runs that should have ended.
	overdue         int64
	overdueResidual int64
	// total is the capacity of all runs in the schedule, runs their number.
	total int64
	runs  int
	// rate is the sum over the same runs of capacity divided by expected run time, in
	// millionths of a core for each millisecond: what they release on average.
	rate int64
}

// release is a run's part of a schedule.
type release struct {
	schedule *releaseSchedule
	interval int64
	milliCPU int64
	residual int64
	rate     int64
}

func intervalOf(at time.Time) int64 {
	return at.UnixNano() / int64(releaseInterval)
}

// advance makes runs overdue that should have ended before now.
func (s *releaseSchedule) advance(now time.Time) {
	current := intervalOf(now)
	if current-s.first >= releaseIntervals {
		s.first = max(s.first, current-releaseIntervals)
	}
	for ; s.first < current; s.first++ {
		i := s.first % releaseIntervals
		s.overdue += s.milliCPU[i]
		s.overdueResidual += s.residual[i]
		s.milliCPU[i], s.residual[i] = 0, 0
	}
}

// add adds a run that uses the capacity for the expected time from now on.
func (s *releaseSchedule) add(milliCPU int, expected time.Duration, now time.Time) release {
	s.advance(now)
	r := release{schedule: s, milliCPU: int64(milliCPU), residual: int64(milliCPU) * (expected / overdueFraction).Milliseconds()}
	r.rate = r.milliCPU * 1000 / max(1, expected.Milliseconds())
	r.interval = min(max(intervalOf(now.Add(expected)), s.first), s.first+releaseIntervals-1)
	s.milliCPU[r.interval%releaseIntervals] += r.milliCPU
	s.residual[r.interval%releaseIntervals] += r.residual
	s.total += r.milliCPU
	s.runs++
	s.rate += r.rate
	return r
}

// overdueFraction is the part of its expected run time that an overdue run is expected
// to take still: run times differ from the expected ones by up to half.
const overdueFraction = 2

// remove removes a run that has ended.
func (r *release) remove() {
	s := r.schedule
	if s == nil {
		return
	}
	if r.interval < s.first {
		s.overdue -= r.milliCPU
		s.overdueResidual -= r.residual
	} else {
		s.milliCPU[r.interval%releaseIntervals] -= r.milliCPU
		s.residual[r.interval%releaseIntervals] -= r.residual
	}
	s.total -= r.milliCPU
	s.runs--
	s.rate -= r.rate
	r.schedule = nil
}

// backlogSum is an amount of waiting work.
type backlogSum struct {
	// work is the expected processor time in nanoseconds times thousandths of a core,
	// milliCPU the demand of all tasks together.
	work     float64
	milliCPU int
}

// wait returns after which time all tasks of the backlog can have got released
// capacity, in which its own tasks release theirs again. used is the capacity that runs
// use on usable targets.
func (s *releaseSchedule) wait(backlog backlogSum, used int, now time.Time) time.Duration {
	return s.waitUpTo(math.MaxInt64, backlog, used, now)
}

// waitUpTo returns the same if it is not longer than the limit, and otherwise some time
// that is longer than the limit.
func (s *releaseSchedule) waitUpTo(limit time.Duration, backlog backlogSum, used int, now time.Time) time.Duration {
	if backlog.milliCPU == 0 {
		return 0
	}
	s.advance(now)
	scale := float64(used) / float64(s.total)
	need := float64(backlog.milliCPU)
	step := float64(releaseInterval)
	runSteps := max(1, int(backlog.work/need/step))
	overdueSteps, overdueEach := s.overdueEnds()
	var released [releaseIntervals]float64
	sum := 0.0
	for i := range released {
		if time.Duration(i)*releaseInterval > limit {
			return time.Duration(i) * releaseInterval
		}
		more := float64(s.milliCPU[(s.first+int64(i))%releaseIntervals])
		if i < overdueSteps {
			more += overdueEach
		}
		more *= scale
		if i >= runSteps {
			more += released[i-runSteps]
		}
		if sum+more >= need {
			return time.Duration((float64(i) + (need-sum)/more) * step)
		}
		released[i] = more
		sum += more
	}
	return time.Duration(need / max(1, sum) * releaseIntervals * step)
}

// overdueEnds returns over how many intervals the ends of overdue runs are spread, which
// is twice the mean time that they are expected to take still, and the capacity that
// they release in each.
func (s *releaseSchedule) overdueEnds() (intervals int, milliCPU float64) {
	if s.overdue <= 0 {
		return 0, 0
	}
	spread := 2 * time.Duration(s.overdueResidual/s.overdue) * time.Millisecond
	intervals = max(1, int(spread/releaseInterval))
	return intervals, float64(s.overdue) / float64(intervals)
}

// turnover returns the time in which as much capacity is released as runs use, if each
// one that ends is followed by one like it.
func (s *releaseSchedule) turnover() time.Duration {
	return time.Duration(float64(s.total) * 1000 / float64(max(1, s.rate)) * float64(time.Millisecond))
}

// expectsEnds reports whether the expected wait of jobs follows from the expected ends
// of runs: several priorities share the targets, and most of these ends are known.
func (state *serviceState) expectsEnds() bool {
	return state.queue.mixed && float64(state.releases.total) >= minTrackedShare*float64(state.pool.usedMilliCPU()) && state.releases.total > 0
}

// usedMilliCPU returns the processor capacity that runs use on the usable targets.
func (p *targetPool) usedMilliCPU() int {
	return p.capacityMilliCPU - p.freeMilliCPU
}

func (b *backlogSum) add(other backlogSum) {
	b.work += other.work
	b.milliCPU += other.milliCPU
}

// Tasks of one size do not get all capacity that is released: a part of it is in rooms
// that are too small for them, and smaller tasks take others. Small tasks get more than
// their turn. How the waits of jobs differ from the expected ones for that reason is
// learned for each priority and size, and for each priority as a whole, since other zones
// do not tell which size of job they ask for.

const (
	// waitWeight is the weight of a new observation, minWaitFactor and maxWaitFactor
	// bound the learned factor.
	waitWeight    = 1.0 / 16
	minWaitFactor = 0.25
	maxWaitFactor = 4.0
	// sizesPerDoubling is the number of sizes that are told apart between a demand and
	// its double.
	sizesPerDoubling = 8
	// allSizes stands for the jobs of all sizes of a priority.
	allSizes = -1
)

// waitKey is a priority and size of tasks.
type waitKey struct {
	priority int
	size     int
}

// waitKey returns what the error of the job's expected wait depends on, as of the last
// time at which tasks of it were ready.
func (j *job) waitKey() waitKey {
	return waitKeyOf(j.submission.Priority, j.entry.demand.MilliCPU)
}

func waitKeyOf(priority, milliCPU int) waitKey {
	return waitKey{priority, int(sizesPerDoubling * math.Log2(float64(max(1, milliCPU))))}
}

// waitRatio holds moving averages of the expected and actual waits.
type waitRatio struct {
	expected float64
	actual   float64
}

// factor returns by how much the actual waits are longer than the expected ones. Few
// short waits tell little, hence the tolerance of admission is added to both.
func (r waitRatio) factor() float64 {
	tolerance := float64(overloadTolerance)
	return min(max((r.actual+tolerance)/(r.expected+tolerance), minWaitFactor), maxWaitFactor)
}

func (r *waitRatio) observe(expected, actual time.Duration) {
	r.expected += waitWeight * (float64(expected) - r.expected)
	r.actual += waitWeight * (float64(actual) - r.actual)
}

// observeWait records the wait of a job whose tasks have all started, or which ends
// before that.
func (state *serviceState) observeWait(j *job, now time.Time) {
	if j.expectedWait == 0 {
		return
	}
	expected, actual := j.expectedWait, now.Sub(j.submittedAt)
	j.expectedWait = 0
	key := j.waitKey()
	// A job that ends before its tasks have started would have waited longer.
	if j.outcome != Open && float64(actual) < state.waits[key].factor()*float64(expected) {
		return
	}
	for _, learned := range [...]waitKey{key, {key.priority, allSizes}} {
		ratio := state.waits[learned]
		ratio.observe(expected, actual)
		state.waits[learned] = ratio
	}
}
