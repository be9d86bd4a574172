package rattanscheduler

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// redirectDelay is how long a job waits for resources in its own zone
	// before it may be redirected.
	redirectDelay = 6 * time.Millisecond
	// redirectLatency is the time that a redirect costs besides the transmission of the
	// job, redirectBytesPerMilli the rate at which jobs are transmitted between zones:
	// 25 Mbit/s, the slowest link of the deployments in service.
	redirectLatency       = 4 * time.Millisecond
	redirectBytesPerMilli = 3000
	// redirectHeadroom is the number of copies of a waiting job for which
	// another zone must have room before the job is redirected there:
	// the room is known with a delay, and other zones redirect jobs there
	// too. If the job would otherwise be refused, one copy is enough.
	redirectHeadroom = 2
	// similarWait is the difference of waits up to which zones count as equal. Waits
	// are known with a delay of up to 0.4 s and to the millisecond.
	similarWait = 5 * time.Millisecond
	// minWaitForRoom is the least expected wait in a zone that has no room, so that one
	// with room is preferred.
	minWaitForRoom = 2 * similarWait
	// redirectTransit is the time within which a redirected job shows in the load of
	// the other zone.
	redirectTransit = 20 * time.Millisecond
	// sentRetention is how long redirected jobs are kept. It is longer than the age of
	// any load that is used.
	sentRetention = 600 * time.Millisecond
)

// RemoteZone is what is known of the room in another availability zone.
type RemoteZone struct {
	Zone         string
	FreeMilliCPU int
	// Rooms is the room by service. It is nil if the zone's home is of the former
	// version, and only the sum of the free capacity is known.
	Rooms []ServiceRoom
	// ReportedAt is when the zone's home stated this. Jobs that were redirected there
	// since are subtracted. If it is zero, none are.
	ReportedAt time.Time
}

// sentJob is a job that was redirected lately.
type sentJob struct {
	zone string
	at   time.Time
	need zoneNeed
}

// zoneNeed is what a job takes from a zone.
type zoneNeed struct {
	service  string
	priority int
	// mixed is set if the service has jobs of several priorities.
	mixed bool
	// demands are the tasks that start first, work is their expected processor time in
	// nanoseconds times thousandths of a core.
	demands []taskDemand
	work    float64
	// extraWork is what a zone without room gets done, after the reported wait, until the
	// last task of the job starts. sizeFactor is by how much jobs with tasks of this size
	// wait longer than others of their priority.
	extraWork  float64
	sizeFactor float64
}

// taskDemand is a number of tasks that can start at the same time.
type taskDemand struct {
	milliCPU int
	tasks    int
}

// largest returns the processor demand of the largest task.
func (n *zoneNeed) largest() int {
	largest := 0
	for _, demand := range n.demands {
		largest = max(largest, demand.milliCPU)
	}
	return largest
}

// zoneNeed returns what the job takes from another zone.
func (s *Scheduler) zoneNeed(j *job) zoneNeed {
	need := zoneNeed{service: j.submission.Service, priority: j.submission.Priority, sizeFactor: 1}
	for i := range j.submission.Job.Steps {
		if step := &j.submission.Job.Steps[i]; len(step.After) == 0 {
			need.demands = append(need.demands, taskDemand{milliCPU: step.Resources.MilliCPU, tasks: step.Count})
			need.work += float64(s.estimator.expectedRunTime(j, i)) * float64(step.Resources.MilliCPU*step.Count)
		}
	}
	need.extraWork = need.work
	if state, ok := s.services[need.service]; ok {
		need.mixed = state.mixedWith(need.priority)
		if state.expectsEnds() {
			state.followEnds(&need)
		}
	}
	return need
}

// room returns the room for a service, and whether it is known.
func (z *RemoteZone) room(service string) (room *ServiceRoom, known bool) {
	for i := range z.Rooms {
		if z.Rooms[i].Service == service {
			return &z.Rooms[i], true
		}
	}
	return nil, z.Rooms != nil && len(z.Rooms) < maxRooms
}

// spare returns for how many further tasks of the largest size there is room after the
// given number of copies of a job, -1 if there is no room for those.
func (z *RemoteZone) spare(need *zoneNeed, copies int) int {
	room, known := z.room(need.service)
	if !known || need.largest() > classSizes[sizeClasses-1] {
		return z.spareSum(need, copies)
	}
	if room == nil {
		return -1
	}
	fits := room.Fits
	for _, demand := range need.demands {
		if fits.of(demand.milliCPU) < copies*demand.tasks {
			return -1
		}
		fits.take(demand.milliCPU, copies*demand.tasks)
	}
	return fits.of(need.largest())
}

// spareSum is the same as spare if only the sum of the free capacity is known.
func (z *RemoteZone) spareSum(need *zoneNeed, copies int) int {
	free := z.FreeMilliCPU
	for _, demand := range need.demands {
		free -= copies * demand.tasks * demand.milliCPU
	}
	if free < 0 {
		return -1
	}
	return free / max(1, need.largest())
}

// take subtracts the room of a redirected job, or adds its work to the waits if there is
// no room for it.
func (z *RemoteZone) take(need *zoneNeed) {
	room, _ := z.room(need.service)
	if room != nil && z.spare(need, 1) < 0 {
		room.addWork(need.priority, need.work)
	}
	for _, demand := range need.demands {
		z.FreeMilliCPU -= demand.tasks * demand.milliCPU
		if room != nil {
			room.Fits.take(demand.milliCPU, demand.tasks)
		}
	}
}

// newJobWait returns the expected wait of a new job: as reported or, where a service has
// several priorities, as redirects compare it.
func (z *RemoteZone) newJobWait(need *zoneNeed) time.Duration {
	if !need.mixed || z.spare(need, 1) >= 0 {
		return z.waitWithRoom(need)
	}
	wait, _ := z.waitForRoom(need)
	return wait
}

// waitWithRoom returns the expected wait of a new job for which there is room. Where a
// service has several priorities, the reported wait is that for the ends of runs, and a job
// that has room does not wait for these: the jobs that do are larger.
func (z *RemoteZone) waitWithRoom(need *zoneNeed) time.Duration {
	if need.mixed {
		return 0
	}
	return z.wait(need)
}

// wait returns the reported wait of a new job.
func (z *RemoteZone) wait(need *zoneNeed) time.Duration {
	if room, _ := z.room(need.service); room != nil {
		return room.wait(need.priority)
	}
	return 0
}

// waitForRoom returns the expected wait of a new job for which there is no room, false if
// it is not known. As much capacity becomes free as the job needs itself in the time that
// its work, or that of the runs which release it, would take on all targets.
func (z *RemoteZone) waitForRoom(need *zoneNeed) (time.Duration, bool) {
	room, _ := z.room(need.service)
	if room == nil || room.MilliCPU <= 0 {
		return 0, false
	}
	reported := time.Duration(need.sizeFactor * float64(room.wait(need.priority)))
	return reported + max(minWaitForRoom, time.Duration(need.extraWork/float64(room.MilliCPU))), true
}

// SetRemoteZones replaces what is known of the room in the other zones.
func (s *Scheduler) SetRemoteZones(zones []RemoteZone) {
	s.remoteZonesKnown = s.remoteZonesKnown || len(zones) > 0
	s.remoteZones = slices.Clone(zones)
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		zone.Rooms = slices.Clone(zone.Rooms)
		for k := range zone.Rooms {
			zone.Rooms[k].Waits = slices.Clone(zone.Rooms[k].Waits)
		}
		for k := range s.sent {
			sent := &s.sent[k]
			if sent.zone == zone.Zone && !zone.ReportedAt.IsZero() && zone.ReportedAt.Before(sent.at.Add(redirectTransit)) {
				zone.take(&sent.need)
			}
		}
	}
}

// redirect redirects jobs that have waited for resources, and have not started, to zones
// where they end clearly earlier.
func (s *Scheduler) redirect(now time.Time) {
	if s.evacuation != rattanwork.EvacuationNone || !s.mayRedirect() {
		return
	}
	for service, state := range s.services {
		if state.queue.jobs == 0 {
			continue
		}
		elsewhere := s.roomElsewhere(service)
		for _, waiting := range state.redirectable(&elsewhere, now) {
			s.redirectIfEarlier(waiting, now)
		}
	}
}

// waitingJob is a job that waits in this zone.
type waitingJob struct {
	state *serviceState
	job   *job
	// before is all work before the job, inClass that of its class.
	before  backlogSum
	inClass backlogSum
	waited  time.Duration
}

// wait returns how long the job is expected to wait. Without expected ends of runs, that is
// at least until the work before it is done, and until as much capacity is free as it needs
// itself, and a job that has waited for long already is expected to wait as long again.
func (w *waitingJob) wait(now time.Time) time.Duration {
	demand := w.state.waitDemand(w.job)
	if demand.byEnds {
		return w.state.admissionWait(demand, w.before, w.inClass, 0, now)
	}
	return max(w.state.pool.timeFor(w.before.work+w.job.entry.work), w.waited)
}

// roomElsewhere returns, for each size class, an upper bound of the room in any one zone.
// Thousands of jobs may wait, and most of them fit nowhere.
func (s *Scheduler) roomElsewhere(service string) FitCounts {
	var most FitCounts
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		room, known := zone.room(service)
		for class := range most {
			switch {
			case room != nil:
				most[class] = max(most[class], room.Fits[class])
			case known:
			case class == 0:
				most[class] = math.MaxInt
			default:
				most[class] = max(most[class], zone.FreeMilliCPU/classSizes[class-1])
			}
		}
	}
	return most
}

// redirectable returns the jobs of the service that have waited for redirectDelay and
// may fit elsewhere, in the order in which they start.
func (s *serviceState) redirectable(elsewhere *FitCounts, now time.Time) []waitingJob {
	var list []waitingJob
	ahead := backlogSum{}
	s.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		inClass := backlogSum{}
		class.blocksIn(keys, func(block *jobBlock, _ bool) {
			for i := range block.entries {
				entry := &block.entries[i]
				if !keys.contains(entry.key) {
					continue
				}
				if waited := now.Sub(entry.job.submittedAt); waited >= redirectDelay && elsewhere.mayFit(entry.demand.MilliCPU, redirectHeadroom*entry.tasks) {
					list = append(list, waitingJob{state: s, job: entry.job, before: ahead, inClass: inClass, waited: waited})
				}
				ahead.add(entry.backlogSum)
				inClass.add(entry.backlogSum)
			}
		})
	})
	return list
}

// redirectIfEarlier redirects a waiting job if it ends clearly earlier in another zone.
func (s *Scheduler) redirectIfEarlier(waiting waitingJob, now time.Time) {
	if zone := s.earlierZone(waiting.job, waiting.wait(now), now); zone >= 0 {
		s.finishJob(waiting.job, ending{outcome: Redirected, reason: reasonEarlierElsewhere, zone: s.reserveZone(waiting.job, zone, now)}, now)
	}
}

// reasonEarlierElsewhere is the reason for redirecting a job that waits.
const reasonEarlierElsewhere = "another zone has room"

// earlierZone returns the index of another zone where a job ends clearly earlier than here,
// given its wait here, or -1 if there is none.
func (s *Scheduler) earlierZone(j *job, wait time.Duration, now time.Time) int {
	if !j.redirectable() || s.awaitsReconciliation(j, now) {
		return -1
	}
	zone, waitThere := s.chooseZone(j, redirectHeadroom, now)
	if zone < 0 || wait <= j.redirectCost()+waitThere {
		return -1
	}
	return zone
}

// redirectCost returns by how much later a job starts if it is redirected.
func (j *job) redirectCost() time.Duration {
	return redirectLatency + time.Duration(len(j.submission.Job.Spec)/redirectBytesPerMilli)*time.Millisecond
}

// mayRedirect reports whether another zone has room for any waiting job.
func (s *Scheduler) mayRedirect() bool {
	least := math.MaxInt / redirectHeadroom
	for _, state := range s.services {
		least = min(least, state.queue.minMilliCPU())
	}
	return slices.ContainsFunc(s.remoteZones, func(zone RemoteZone) bool {
		return zone.FreeMilliCPU >= redirectHeadroom*least
	})
}

// reserveRemoteZone reserves room for a job in another zone and returns the
// zone, or "" if the job may not be redirected or fits into no zone.
func (s *Scheduler) reserveRemoteZone(j *job, now time.Time) string {
	best := s.bestRemoteZone(j, now)
	if best < 0 {
		return ""
	}
	return s.reserveZone(j, best, now)
}

// reserveZone reserves room for a job in the zone with the index and returns the
// zone.
func (s *Scheduler) reserveZone(j *job, index int, now time.Time) string {
	zone, need := &s.remoteZones[index], s.zoneNeed(j)
	zone.take(&need)
	s.forgetSent(now)
	s.sent = append(s.sent, sentJob{zone: zone.Zone, at: now, need: need})
	return zone.Zone
}

// forgetSent forgets the jobs that were redirected long ago. They are sorted by time, and
// thousands may be redirected at once.
func (s *Scheduler) forgetSent(now time.Time) {
	old := 0
	for old < len(s.sent) && now.Sub(s.sent[old].at) > sentRetention {
		old++
	}
	s.sent = slices.Delete(s.sent, 0, old)
}

// zoneToLeaveFor returns the index of the zone to which a job that has started here is
// redirected, or -1 if there is none.
func (s *Scheduler) zoneToLeaveFor(j *job, now time.Time) int {
	if !j.submission.Redirectable && !j.submission.Resumed && !j.submission.Redirected {
		return -1
	}
	zone, _ := s.chooseZone(j, 1, now)
	return zone
}

// bestRemoteZone returns the index of the zone to which a job is redirected that would be
// refused, or -1 if the job may not be redirected or no zone has room for it.
func (s *Scheduler) bestRemoteZone(j *job, now time.Time) int {
	if !j.redirectable() {
		return -1
	}
	zone, _ := s.chooseZone(j, 1, now)
	return zone
}

// redirectable reports whether the job may be redirected as one that has not started.
func (j *job) redirectable() bool {
	return j.submission.Redirectable && !j.mayHaveStarted()
}

// chooseZone returns the index of a zone that has room for the given number of copies of
// the job and where it ends in time, and its wait there, or -1 if there is none. One copy may also wait for
// room, if it meets its objective all the same. Among the zones where the job starts
// earliest, one is chosen at random by the ID of the job, in proportion to the spare room:
// otherwise, all homes would choose the same zone at the same time.
func (s *Scheduler) chooseZone(j *job, copies int, now time.Time) (index int, wait time.Duration) {
	if len(s.remoteZones) == 0 {
		return -1, 0
	}
	need := s.zoneNeed(j)
	objective, lateUntil := s.latestStarts(j)
	arrival := now.Add(j.redirectCost())
	choices := make([]zoneChoice, len(s.remoteZones))
	least := time.Duration(math.MaxInt64)
	for i := range s.remoteZones {
		zone, choice := &s.remoteZones[i], &choices[i]
		if slices.Contains(j.submission.Tried, zone.Zone) {
			continue
		}
		if spare := zone.spare(&need, copies); spare >= 0 {
			choice.wait = zone.waitWithRoom(&need)
			if !arrival.Add(choice.wait).After(lateUntil) {
				choice.weight = spare + 1
			}
		} else if wait, known := zone.waitForRoom(&need); known && copies == 1 && !arrival.Add(wait).After(objective) {
			choice.wait, choice.weight = wait, 1
		}
		if choice.weight > 0 {
			least = min(least, choice.wait)
		}
	}
	if index = pick(choices, least+similarWait, j.submission.Job.ID); index >= 0 {
		wait = choices[index].wait
	}
	return index, wait
}

// latestStarts returns the times until which a job must start in another zone to meet its
// objective, and so that its answer has any value.
func (s *Scheduler) latestStarts(j *job) (objective, lateUntil time.Time) {
	objective, lateUntil = s.adjustedDeadlines(j)
	if j.submission.Deadline.Before(lateUntil) {
		lateUntil = j.submission.Deadline
	}
	runTime := time.Duration(s.estimator.ratio(j) * float64(j.criticalPath))
	return objective.Add(-runTime), lateUntil.Add(-runTime)
}

// zoneChoice is a zone to which a job may be redirected.
type zoneChoice struct {
	wait time.Duration
	// weight is 0 if the zone does not suit.
	weight int
}

// pick returns the index of one of the choices whose wait is not longer than the given
// one, with a probability in proportion to the weights, or -1 if there is none.
func pick(choices []zoneChoice, longest time.Duration, key string) int {
	total := 0
	for i := range choices {
		if choices[i].wait > longest {
			choices[i].weight = 0
		}
		total += choices[i].weight
	}
	if total == 0 {
		return -1
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	rest := int(hash.Sum64() % uint64(total))
	for i := range choices {
		if rest -= choices[i].weight; rest < 0 {
			return i
		}
	}
	return -1
}
