package rattanscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	simulatedTargets = 20
	// simulatedRunTime is the mean run time of a task; two tasks of a submission
	// fit on a target.
	simulatedRunTime = 100 * time.Millisecond
	simulationStep   = time.Millisecond
	simulationTime   = 5 * time.Second
	// loadReportInterval is the interval at which zones learn how much capacity
	// is free in the others.
	loadReportInterval = 150 * time.Millisecond
	// redirectTime is the time from a redirect to the submission in the other
	// zone.
	redirectTime = 3 * time.Millisecond
)

// simulatedZone is a zone in virtual time. Its targets answer at once, and list
// the ends of runs when they occur.
type simulatedZone struct {
	*fakeZone
	name string
	// load is the part of the zone's capacity that its callers ask for.
	load     float64
	arriving float64
	runs     map[string][]simulatedRun
	sequence map[string]int64
}

type simulatedRun struct {
	start StartRequest
	endAt time.Time
}

// simulation is a set of zones that redirect jobs to each other.
type simulation struct {
	zones  []*simulatedZone
	random *rand.Rand
	now    time.Time
	// jobs contains all submitted jobs by ID.
	jobs      map[string]Submission
	redirects []redirect
	// onTime counts the jobs that met their objective, outcomes all that have
	// ended.
	onTime   int
	outcomes map[Outcome]int
}

// redirect is a job on its way to another zone.
type redirect struct {
	submission Submission
	zone       string
	arrivesAt  time.Time
}

func newSimulation(c *qt.C, seed uint64, loads []float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), jobs: map[string]Submission{}, outcomes: map[Outcome]int{}}
	for i, load := range loads {
		zone := newReconciledZone(c, simulatedTargets)
		s.zones = append(s.zones, &simulatedZone{
			fakeZone: zone, name: fmt.Sprint("zone", i), load: load, runs: map[string][]simulatedRun{}, sequence: map[string]int64{},
		})
		s.now = zone.now
	}
	return s
}

// run simulates the given time of traffic.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for step := 0; s.now.Before(end); step++ {
		s.now = s.now.Add(simulationStep)
		if step%int(loadReportInterval/simulationStep) == 0 {
			s.reportLoads()
		}
		s.deliverRedirects()
		for _, zone := range s.zones {
			zone.now = s.now
			s.submitArrivals(zone)
			s.listEnds(zone)
			zone.scheduler.Tick(s.now)
			s.apply(zone)
		}
	}
}

func (s *simulation) reportLoads() {
	for _, zone := range s.zones {
		var others []RemoteZone
		for _, other := range s.zones {
			if other != zone {
				others = append(others, RemoteZone{Zone: other.name, FreeMilliCPU: other.scheduler.FreeMilliCPU(s.now)})
			}
		}
		zone.scheduler.SetRemoteZones(others)
	}
}

// submitArrivals submits jobs of one to four tasks at the rate of the zone's load.
func (s *simulation) submitArrivals(zone *simulatedZone) {
	const meanTasks = 2.5
	jobsPerStep := zone.load * 2 * simulatedTargets * float64(simulationStep) / float64(simulatedRunTime) / meanTasks
	zone.arriving += s.random.ExpFloat64() * jobsPerStep
	for ; zone.arriving >= 1; zone.arriving-- {
		submission := zone.submission(fmt.Sprintf("%016x", len(s.jobs)), 1+s.random.IntN(4))
		submission.Redirectable = true
		s.jobs[submission.Job.ID] = submission
		zone.submitChecked(submission)
	}
}

func (s *simulation) deliverRedirects() {
	var later []redirect
	for _, r := range s.redirects {
		if s.now.Before(r.arrivesAt) {
			later = append(later, r)
			continue
		}
		for _, zone := range s.zones {
			if zone.name == r.zone {
				zone.now = s.now
				r.submission.Redirectable = false
				zone.submitChecked(r.submission)
			}
		}
	}
	s.redirects = later
}

// listEnds reports the runs that have ended since the last step.
func (s *simulation) listEnds(zone *simulatedZone) {
	for i := range simulatedTargets {
		id := testTarget(i).ID
		var listing rattanwork.Listing
		var active []simulatedRun
		for _, r := range zone.runs[id] {
			if s.now.Before(r.endAt) {
				active = append(active, r)
				listing.Running = append(listing.Running, rattanwork.Run{Task: r.start.Task, Attempt: r.start.Attempt})
				continue
			}
			zone.sequence[id]++
			listing.Ended = append(listing.Ended, rattanwork.End{Sequence: zone.sequence[id], Task: r.start.Task, Attempt: r.start.Attempt, Kind: rattanwork.EndDone})
		}
		if len(listing.Ended) > 0 {
			zone.runs[id] = active
			zone.scheduler.RunsListed(id, &listing, s.now, zone.voidBefore, s.now)
		}
	}
}

// apply executes the decisions of a zone.
func (s *simulation) apply(zone *simulatedZone) {
	output := zone.scheduler.Take()
	for _, start := range output.Starts {
		zone.scheduler.StartAnswered(start.Target.ID, start.Task, start.Attempt, rattanwork.StartAnswer{Result: rattanwork.StartAccepted}, s.now)
		runTime := time.Duration((0.5 + s.random.Float64()) * float64(simulatedRunTime))
		zone.runs[start.Target.ID] = append(zone.runs[start.Target.ID], simulatedRun{start: start, endAt: s.now.Add(runTime)})
	}
	for _, result := range output.Results {
		submission := s.jobs[result.JobID]
		if result.Outcome == Redirected {
			s.redirects = append(s.redirects, redirect{submission: submission, zone: result.Zone, arrivesAt: s.now.Add(redirectTime)})
			continue
		}
		s.outcomes[result.Outcome]++
		if result.Outcome == Succeeded && !s.now.After(submission.Objective) {
			s.onTime++
		}
	}
}

// TestOverloadedZoneUsesOthers guards against refusing or delaying jobs of a zone
// whose callers ask for more than it has, while the other zones have room.
func TestOverloadedZoneUsesOthers(t *testing.T) {
	// Callers are refused at most one job in a hundred while there is room, and
	// as few may miss their objective.
	const maxRefusedShare, maxLateShare = 0.01, 0.01
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(c, seed, []float64{1.5, 0.6, 0.6, 0.6, 0.6})
			s.run(simulationTime)
			total := 0
			for _, count := range s.outcomes {
				total += count
			}
			refused, late := float64(s.outcomes[Refused]+s.outcomes[Expired])/float64(total), float64(s.outcomes[Succeeded]-s.onTime)/float64(total)
			c.Logf("%d jobs: %v, %.4f refused or expired, %.4f late", total, s.outcomes, refused, late)
			c.Check(refused <= maxRefusedShare, qt.IsTrue)
			c.Check(late <= maxLateShare, qt.IsTrue)
		})
	}
}
