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
	zone    string
	service string
	at      time.Time
	demands []taskDemand
}

// taskDemand is a number of tasks that can start at the same time.
type taskDemand struct {
	milliCPU int
	tasks    int
}

// initialDemands returns the tasks of the job that start first.
func (j *job) initialDemands() []taskDemand {
	demands := make([]taskDemand, 0, len(j.submission.Job.Steps))
	for i := range j.submission.Job.Steps {
		if step := &j.submission.Job.Steps[i]; len(step.After) == 0 {
			demands = append(demands, taskDemand{milliCPU: step.Resources.MilliCPU, tasks: step.Count})
		}
	}
	return demands
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
func (z *RemoteZone) spare(service string, demands []taskDemand, copies int) int {
	room, known := z.room(service)
	if !known {
		return z.spareSum(demands, copies)
	}
	if room == nil {
		return -1
	}
	fits, largest := room.Fits, 0
	for _, demand := range demands {
		if fits.of(demand.milliCPU) < copies*demand.tasks {
			return -1
		}
		fits.take(demand.milliCPU, copies*demand.tasks)
		largest = max(largest, demand.milliCPU)
	}
	return fits.of(largest)
}

// spareSum is the same as spare if only the sum of the free capacity is known.
func (z *RemoteZone) spareSum(demands []taskDemand, copies int) int {
	free, largest := z.FreeMilliCPU, 1
	for _, demand := range demands {
		free -= copies * demand.tasks * demand.milliCPU
		largest = max(largest, demand.milliCPU)
	}
	if free < 0 {
		return -1
	}
	return free / largest
}

// take subtracts the room of a redirected job.
func (z *RemoteZone) take(service string, demands []taskDemand) {
	room, _ := z.room(service)
	for _, demand := range demands {
		z.FreeMilliCPU -= demand.tasks * demand.milliCPU
		if room != nil {
			room.Fits.take(demand.milliCPU, demand.tasks)
		}
	}
}

// wait returns the expected wait of a new job.
func (z *RemoteZone) wait(submission *Submission) time.Duration {
	if room, _ := z.room(submission.Service); room != nil {
		return room.wait(submission.Priority)
	}
	return 0
}

// SetRemoteZones replaces what is known of the room in the other zones.
func (s *Scheduler) SetRemoteZones(zones []RemoteZone) {
	s.remoteZones = slices.Clone(zones)
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		zone.Rooms = slices.Clone(zone.Rooms)
		for _, sent := range s.sent {
			if sent.zone == zone.Zone && !zone.ReportedAt.IsZero() && zone.ReportedAt.Before(sent.at.Add(redirectTransit)) {
				zone.take(sent.service, sent.demands)
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
	for _, state := range s.services {
		for _, waiting := range state.expectedWaits(now) {
			s.redirectIfEarlier(waiting, now)
		}
	}
}

// expectedWait is how long a job is expected to wait in this zone.
type expectedWait struct {
	job  *job
	wait time.Duration
}

// expectedWaits returns the jobs of the service that have waited for redirectDelay, in
// the order in which they start. Each one waits at least until the work before it is
// done, and until as much capacity is free as it needs itself. A job that has waited for
// long already is expected to wait as long again.
func (s *serviceState) expectedWaits(now time.Time) []expectedWait {
	var list []expectedWait
	ahead := 0.0
	s.queue.passes(now.UnixNano(), func(class *jobClass, keys keyRange) {
		class.blocksIn(keys, func(block *jobBlock, _ bool) {
			for i := range block.entries {
				entry := &block.entries[i]
				if !keys.contains(entry.key) {
					continue
				}
				ahead += entry.work
				if waited := now.Sub(entry.job.submittedAt); waited >= redirectDelay {
					wait := time.Duration(ahead / float64(max(1, s.pool.expectedMilliCPU())))
					list = append(list, expectedWait{job: entry.job, wait: max(wait, waited)})
				}
			}
		})
	})
	return list
}

// redirectIfEarlier redirects a waiting job if it ends clearly earlier in another zone.
func (s *Scheduler) redirectIfEarlier(waiting expectedWait, now time.Time) {
	j := waiting.job
	if s.awaitsReconciliation(j, now) {
		return
	}
	zone := s.bestRemoteZone(j, redirectHeadroom, now)
	if zone < 0 || waiting.wait <= j.redirectCost()+s.remoteZones[zone].wait(&j.submission) {
		return
	}
	s.finishJob(j, ending{outcome: Redirected, reason: "another zone has room", zone: s.reserveZone(j, zone, now)}, now)
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
	best := s.bestRemoteZone(j, 1, now)
	if best < 0 {
		return ""
	}
	return s.reserveZone(j, best, now)
}

// reserveZone reserves room for a job in the zone with the index and returns the
// zone.
func (s *Scheduler) reserveZone(j *job, index int, now time.Time) string {
	zone, demands := &s.remoteZones[index], j.initialDemands()
	zone.take(j.submission.Service, demands)
	s.sent = slices.DeleteFunc(s.sent, func(sent sentJob) bool { return now.Sub(sent.at) > sentRetention })
	s.sent = append(s.sent, sentJob{zone: zone.Zone, service: j.submission.Service, at: now, demands: demands})
	return zone.Zone
}

// zoneToLeaveFor returns the index of the zone to which a job that has started here is
// redirected, or -1 if there is none.
func (s *Scheduler) zoneToLeaveFor(j *job, now time.Time) int {
	if !j.submission.Redirectable && !j.submission.Resumed && !j.submission.Redirected {
		return -1
	}
	return s.chooseZone(j, 1, now)
}

// bestRemoteZone returns the index of the zone to which a job that has not started is
// redirected, or -1 if the job may not be redirected or no zone has room for the given
// number of copies of it.
func (s *Scheduler) bestRemoteZone(j *job, copies int, now time.Time) int {
	if !j.submission.Redirectable || j.mayHaveStarted() {
		return -1
	}
	return s.chooseZone(j, copies, now)
}

// chooseZone returns the index of a zone that has room for the given number of copies of
// the job and where it ends in time, or -1 if there is none. Among the zones where it
// ends earliest, it is chosen at random by the ID of the job, in proportion to their
// spare room: otherwise, all homes would choose the same zone at the same time.
func (s *Scheduler) chooseZone(j *job, copies int, now time.Time) int {
	if len(s.remoteZones) == 0 {
		return -1
	}
	demands, latest := j.initialDemands(), s.latestArrival(j)
	spares := make([]int, len(s.remoteZones))
	least := time.Duration(math.MaxInt64)
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		spares[i] = zone.spare(j.submission.Service, demands, copies)
		wait := zone.wait(&j.submission)
		if slices.Contains(j.submission.Tried, zone.Zone) || now.Add(j.redirectCost()+wait).After(latest) {
			spares[i] = -1
		}
		if spares[i] >= 0 {
			least = min(least, wait)
		}
	}
	total := 0
	for i, spare := range spares {
		if spare >= 0 && s.remoteZones[i].wait(&j.submission) <= least+similarWait {
			total += spare + 1
		} else {
			spares[i] = -1
		}
	}
	return pick(spares, total, j.submission.Job.ID)
}

// latestArrival returns the time until which a job must start in another zone so that
// its answer still has value.
func (s *Scheduler) latestArrival(j *job) time.Time {
	_, latest := s.adjustedDeadlines(j)
	if j.submission.Deadline.Before(latest) {
		latest = j.submission.Deadline
	}
	return latest.Add(-time.Duration(s.estimator.ratio(j) * float64(j.criticalPath)))
}

// pick returns the index of one of the entries that are not negative, each with a
// probability in proportion to the entry plus one, or -1 if there is none. total is the
// sum of these.
func pick(entries []int, total int, key string) int {
	if total == 0 {
		return -1
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	rest := int(hash.Sum64() % uint64(total))
	for i, entry := range entries {
		if entry < 0 {
			continue
		}
		if rest -= entry + 1; rest < 0 {
			return i
		}
	}
	return -1
}
