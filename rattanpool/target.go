package rattanpool

import "time"

const (
	// speedSamples is the number of tasks after which a target's speed counts.
	speedSamples = 32
	// speedClip bounds what one task can say about the speed, in octaves, since
	// run times are heavy-tailed.
	speedClip = 2
	// speedStep is the step between speed classes, in octaves. The learned
	// speed of equal targets varies by about 0.13 octaves.
	speedStep = 0.5

	// outcomeDecay makes about the last ten outcomes count.
	outcomeDecay = 0.9

	leastBusyBackoff        = 10 * time.Millisecond
	mostBusyBackoff         = 500 * time.Millisecond
	leastUnreachableBackoff = 100 * time.Millisecond
	mostUnreachableBackoff  = 5 * time.Second
)

// health is the state of a target with regard to ejection.
type health uint8

const (
	healthGood health = iota
	// healthEjected targets wait for their back-off.
	healthEjected
	// healthProbing targets wait for a probe task or run one.
	healthProbing
	// healthReinstating targets get a limited number of tasks.
	healthReinstating
)

// target is a worker instance with its slots.
type target struct {
	Target
	service *service
	// position is the index in service.targets.
	position int
	rack     int
	removed  bool
	// round is the last SetTargets call that named the target.
	round uint64

	held         int
	cores        int
	memoryMB     int
	accelerators int

	// reservedFor is the only profile that may use the target, nil for all.
	reservedFor *profile

	// speed is the learned run time relative to the kind's, in octaves.
	speed  float64
	ran    int
	health health
	// limit is the most slots used while the target is reinstated.
	limit int
	// good and bad are decayed counts of outcomes.
	good, bad   float64
	consecutive int
	lastFailed  JobID
	looksBroken bool
	// suspectUntil is until when the target ranks last.
	suspectUntil time.Duration
	suspectTimer bool
	// ejections is the number of recent ejections.
	ejections  int
	probeAt    time.Duration
	reinstated time.Duration

	// backoff is the last back-off after a refusal, until when it ends.
	backoff time.Duration
	until   time.Duration
}

// inUse says that the target may get tasks as far as the instance list and its
// health are concerned.
func (t *target) inUse() bool {
	return !t.removed && !t.Leaving && (t.health == healthGood || t.health == healthReinstating)
}

// capacity returns the number of slots that may be used.
func (t *target) capacity() int {
	if t.health == healthReinstating {
		return min(t.limit, t.Slots)
	}
	return t.Slots
}

// failureRate returns the share of failures in the recent outcomes.
func (t *target) failureRate() float64 {
	if t.good+t.bad == 0 {
		return 0
	}
	return t.bad / (t.good + t.bad)
}

// fits says whether a task with the profile's needs fits beside the tasks that
// run already.
func (t *target) fits(p *profile) bool {
	return t.cores+p.cores <= t.Cores &&
		t.memoryMB+p.memoryMB <= t.MemoryMB &&
		t.accelerators+p.accelerators <= t.Accelerators
}

// couldFit returns the number of tasks with the profile's needs that the target
// runs at a time when it has no others.
func (t *Target) couldFit(p *profile) int {
	count := t.Slots
	if p.cores > 0 {
		count = min(count, t.Cores/p.cores)
	}
	if p.memoryMB > 0 {
		count = min(count, t.MemoryMB/p.memoryMB)
	}
	if p.accelerators > 0 {
		count = min(count, t.Accelerators/p.accelerators)
	}
	return count
}

func (t *target) hold(p *profile) {
	t.held++
	t.cores += p.cores
	t.memoryMB += p.memoryMB
	t.accelerators += p.accelerators
	t.service.held++
}

func (t *target) release(p *profile) {
	t.held--
	t.cores -= p.cores
	t.memoryMB -= p.memoryMB
	t.accelerators -= p.accelerators
	t.service.held--
}

// learnSpeed compares the run time of a task, in octaves, with that of its kind.
func (t *target) learnSpeed(k *kind, octaves float64) {
	if !k.learned() {
		return
	}
	octaves = min(max(octaves-k.octaves, -speedClip), speedClip)
	t.ran++
	t.speed += (octaves - t.speed) / float64(min(t.ran, speedSamples))
}

// class returns the rank class for tasks that any target fits and that need
// accelerators, classNone when the target cannot take a task now.
func (t *target) class(now time.Duration) rankClass {
	if t.held >= t.capacity() || now < t.until || !t.inUse() {
		return classNone
	}
	if now < t.suspectUntil {
		return classSuspect
	}
	return t.speedClass()
}

// classFor narrows a class that is not classNone down to a profile.
func (t *target) classFor(p *profile, class rankClass) rankClass {
	if !t.fits(p) || t.reservedFor != nil && t.reservedFor != p {
		return classNone
	}
	if p.accelerators == 0 && t.Accelerators > 0 && class < classAccelerated {
		return class + classAccelerated
	}
	return class
}

func (t *target) speedClass() rankClass {
	switch {
	case t.health == healthReinstating:
		return classSlow
	case t.ran < speedSamples:
		return classNormal
	case t.speed < -speedStep:
		return classFast
	case t.speed < speedStep:
		return classNormal
	case t.speed < 2*speedStep:
		return classSlow
	default:
		return classSlowest
	}
}
