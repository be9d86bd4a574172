package rattanpool

import "time"

const (
	// minSpeedSamples is the number of tasks after which the speed estimate of
	// a target is used.
	minSpeedSamples = 32
	// maxSpeedDeviation clips the deviation of a single task, as a base-2
	// logarithm, because run times are heavy-tailed.
	maxSpeedDeviation = 2
	// speedStep is the distance between speed classes, as a base-2 logarithm.
	// The estimates for equally fast targets vary by about 0.13.
	speedStep = 0.5

	// outcomeDecay is the decay per outcome; it makes about the last ten
	// outcomes count.
	outcomeDecay = 0.9

	minBusyBackoff        = 10 * time.Millisecond
	maxBusyBackoff        = 500 * time.Millisecond
	minUnreachableBackoff = 100 * time.Millisecond
	maxUnreachableBackoff = 5 * time.Second
)

// health is the state of a target with respect to ejection.
type health uint8

const (
	healthGood health = iota
	// healthEjected targets wait for the end of their back-off.
	healthEjected
	// healthProbing targets wait for a probe task or run one.
	healthProbing
	// healthReinstating targets may use a limited number of slots.
	healthReinstating
)

// target is a worker instance with the state of its slots.
type target struct {
	Target
	service *service
	// position is the index in service.targets.
	position int
	// rack is the index in service.targetsPerRack.
	rack int
	// removed reports that the target is no longer listed.
	removed bool
	// generation identifies the last SetTargets call that listed the target.
	generation uint64

	busySlots        int
	usedCores        int
	usedMemoryMB     int
	usedAccelerators int

	// reservedFor is the only profile that may use the target; nil means no
	// reservation.
	reservedFor *resourceProfile

	// speed is the mean run time relative to that of the job kinds, as a base-2
	// logarithm.
	speed            float64
	speedSampleCount int
	health           health
	// slotLimit is the maximum number of occupied slots during reinstatement.
	slotLimit int
	// successes and failures are exponentially decayed counts of outcomes.
	successes, failures float64
	consecutiveFailures int
	lastFailedJob       JobID
	// failing reports whether most of the recent outcomes are failures.
	failing bool
	// suspectUntil is the time until which the target is ranked last.
	suspectUntil    time.Duration
	suspectTimerSet bool
	// ejections is the number of recent ejections.
	ejections    int
	probeAt      time.Duration
	reinstatedAt time.Duration

	// backoff is the duration of the last back-off after a refusal,
	// backoffUntil its end.
	backoff      time.Duration
	backoffUntil time.Duration
}

// inUse reports whether the target may be assigned tasks according to the
// instance list and its health.
func (t *target) inUse() bool {
	return !t.removed && !t.Leaving && (t.health == healthGood || t.health == healthReinstating)
}

// usableSlots returns the number of slots that may be occupied.
func (t *target) usableSlots() int {
	if t.health == healthReinstating {
		return min(t.slotLimit, t.Slots)
	}
	return t.Slots
}

// failureRate returns the share of failures in the recent outcomes.
func (t *target) failureRate() float64 {
	if t.successes+t.failures == 0 {
		return 0
	}
	return t.failures / (t.successes + t.failures)
}

// fits reports whether one more task of the profile fits beside the running
// tasks.
func (t *target) fits(p *resourceProfile) bool {
	return t.usedCores+p.cores <= t.Cores &&
		t.usedMemoryMB+p.memoryMB <= t.MemoryMB &&
		t.usedAccelerators+p.accelerators <= t.Accelerators
}

// maxConcurrentTasks returns how many tasks of the profile the target can run
// concurrently when it runs no others.
func (t *Target) maxConcurrentTasks(p *resourceProfile) int {
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

func (t *target) occupySlot(p *resourceProfile) {
	t.busySlots++
	t.usedCores += p.cores
	t.usedMemoryMB += p.memoryMB
	t.usedAccelerators += p.accelerators
	t.service.busySlots++
}

func (t *target) releaseSlot(p *resourceProfile) {
	t.busySlots--
	t.usedCores -= p.cores
	t.usedMemoryMB -= p.memoryMB
	t.usedAccelerators -= p.accelerators
	t.service.busySlots--
}

// recordSpeed compares the run time of a task, given as log2RunTime, with the
// mean of its kind.
func (t *target) recordSpeed(k *kind, log2 float64) {
	if !k.hasEstimate() {
		return
	}
	log2 = min(max(log2-k.meanLog2, -maxSpeedDeviation), maxSpeedDeviation)
	t.speedSampleCount++
	t.speed += (log2 - t.speed) / float64(min(t.speedSampleCount, minSpeedSamples))
}

// class returns the rank of the target for tasks that need accelerators and
// otherwise fit any target, or classNone when the target cannot take a task
// now.
func (t *target) class(now time.Duration) rankClass {
	if t.busySlots >= t.usableSlots() || now < t.backoffUntil || !t.inUse() {
		return classNone
	}
	if now < t.suspectUntil {
		return classSuspect
	}
	return t.speedClass()
}

// classFor adapts a class other than classNone to the needs of a profile.
func (t *target) classFor(p *resourceProfile, class rankClass) rankClass {
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
	case t.speedSampleCount < minSpeedSamples:
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
