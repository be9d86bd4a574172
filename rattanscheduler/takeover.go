package rattanscheduler

import "time"

// awaitsReconciliation reports whether a job must wait because an earlier home
// may have started its tasks. A resubmitted job waits until all targets have
// listed their runs. Any other job may have been submitted before through an
// instance that was lost, so it waits for the targets that are expected to
// answer.
func (s *Scheduler) awaitsReconciliation(j *job, now time.Time) bool {
	return (j.submission.Resumed && s.reconciling(now)) || s.awaitsEarlierHome(j, now) || s.awaitsListings(now)
}

// reconciling reports whether some target may run tasks of an earlier home that
// this home does not know of.
func (s *Scheduler) reconciling(now time.Time) bool {
	return !now.After(s.reconcileUntil) && (!s.targetsCurrent || s.hasUnlistedTargets())
}

// awaitsEarlierHome reports whether a job that was submitted to an earlier home may
// still run on a target that has not listed its runs. A home that was cut off from
// this one, together with some targets, hands its jobs over whenever that ends.
func (s *Scheduler) awaitsEarlierHome(j *job, now time.Time) bool {
	if j.submission.EarlierHomes == 0 || !now.After(s.reconcileUntil) {
		return false
	}
	return now.Sub(j.submittedAt) <= depositionTime+s.longestLease() && s.hasUnlistedTargets()
}

// hasUnlistedTargets reports whether some target has not listed its runs to this
// home.
func (s *Scheduler) hasUnlistedTargets() bool {
	for _, t := range s.targets {
		if !t.reconciled {
			return true
		}
	}
	return false
}

// awaitsListings reports whether this home has just taken over and has not read
// the inventory yet, or some target that is expected to answer has not listed its
// runs yet.
func (s *Scheduler) awaitsListings(now time.Time) bool {
	elapsed := now.Sub(s.config.TakeoverTime)
	if elapsed > s.longestLease() {
		return false
	}
	if !s.targetsCurrent && elapsed <= inventoryReadTime {
		return true
	}
	for _, t := range s.targets {
		if !t.reconciled && !t.unresponsive {
			return true
		}
	}
	return false
}

// inventoryReadTime is how long a new home waits for the inventory, which may
// contain targets that it does not know of. It is longer than a read takes, unless
// the store is away.
const inventoryReadTime = 200 * time.Millisecond

// awaitListings makes resumed jobs wait for the listings of all targets until
// the leases that an earlier home may have granted have expired. An earlier
// home grants leases until a target has heard of this one, so the wait begins
// anew when a target becomes known.
func (s *Scheduler) awaitListings(now time.Time) {
	lastGrant := s.config.TakeoverTime.Add(depositionTime)
	if lastGrant.Before(now) {
		lastGrant = now
	}
	s.reconcileUntil = lastGrant.Add(s.longestLease())
}

// depositionTime bounds how long an earlier home that this one cannot reach
// grants leases after the claim: each target that has heard of this home refuses
// the next renewal.
const depositionTime = 700 * time.Millisecond

// longestLease returns the time after which all leases granted by the earlier
// home have certainly expired.
func (s *Scheduler) longestLease() time.Duration {
	return s.config.MaxLease * leaseMarginPercent / 100
}

// leaseMarginPercent covers targets whose clock runs 2% slow and the
// transmission time of the last renewal.
const leaseMarginPercent = 115
