package rattansystem_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// faultKind is the kind of an injected fault, from the list of faults in
// docs/design.md, section 2. A frontend is an instance of the zone other than the
// home.
type faultKind string

const (
	faultKillHome                  faultKind = "kill home"
	faultKillBeforeDispatch        faultKind = "kill home before a dispatch"
	faultKillDuringDispatch        faultKind = "kill home during a dispatch"
	faultKillAfterDispatch         faultKind = "kill home after a dispatch"
	faultKillFrontend              faultKind = "kill frontend"
	faultKillHomeAndFrontend       faultKind = "kill home and frontend"
	faultShutdownHome              faultKind = "shut down home"
	faultShutdownFrontend          faultKind = "shut down frontend"
	faultRestartHome               faultKind = "restart home"
	faultPartitionZone             faultKind = "partition zone"
	faultIsolateHome               faultKind = "isolate home"
	faultIsolateFrontend           faultKind = "isolate frontend"
	faultPlatformDown              faultKind = "platform down"
	faultPlatformClosed            faultKind = "platform closes connections"
	faultPlatformHangs             faultKind = "platform hangs"
	faultPlatformSlow              faultKind = "platform slow"
	faultPlatformResponsesLost     faultKind = "platform responses lost"
	faultPlatformConnectionsSilent faultKind = "platform connections silent"
	faultTargetFailsFast           faultKind = "target fails fast"
	faultTargetRefuses             faultKind = "target refuses"
	faultTargetSlow                faultKind = "target slow"
	faultTargetConnectionsSilent   faultKind = "target connections silent"
	faultTargetResponsesLost       faultKind = "target responses lost"
	faultTargetKilled              faultKind = "target killed"
	faultTargetLeaves              faultKind = "target leaves"
	faultTargetUnlisted            faultKind = "target removed from the list"
	faultConfigurationRace         faultKind = "concurrent configuration changes"

	faultShutdownRestartHome     faultKind = "shut down and restart home"
	faultShutdownRestartFrontend faultKind = "shut down and restart frontend"
	faultPauseHome               faultKind = "pause home"
	faultPauseFrontend           faultKind = "pause frontend"
	faultHomeOutboundLost        faultKind = "outbound messages of home lost"
	faultHomeInboundLost         faultKind = "inbound messages of home lost"
	faultFrontendOutboundLost    faultKind = "outbound messages of frontend lost"
	faultConnectionsSilent       faultKind = "open connections of instances silent"
	faultTargetsFailFast         faultKind = "all targets of a zone fail fast"
	faultHalfOfTargetsKilled     faultKind = "half of the targets of a zone killed"
	faultPlanRace                faultKind = "concurrent plan confirmations"
	faultPlanRaceResponsesLost   faultKind = "concurrent plan confirmations with lost responses"
)

var faultKinds = []faultKind{
	faultKillHome, faultKillBeforeDispatch, faultKillDuringDispatch, faultKillAfterDispatch,
	faultKillFrontend, faultKillHomeAndFrontend, faultShutdownHome, faultShutdownFrontend, faultRestartHome,
	faultPartitionZone, faultIsolateHome, faultIsolateFrontend,
	faultPlatformDown, faultPlatformClosed, faultPlatformHangs, faultPlatformSlow,
	faultPlatformResponsesLost, faultPlatformConnectionsSilent,
	faultTargetFailsFast, faultTargetRefuses, faultTargetSlow, faultTargetConnectionsSilent,
	faultTargetResponsesLost, faultTargetKilled, faultTargetLeaves, faultTargetUnlisted,
	faultConfigurationRace,
	faultShutdownRestartHome, faultShutdownRestartFrontend,
	faultPauseHome, faultPauseFrontend,
	faultHomeOutboundLost, faultHomeInboundLost, faultFrontendOutboundLost, faultConnectionsSilent,
	faultTargetsFailFast, faultHalfOfTargetsKilled,
	faultPlanRace, faultPlanRaceResponsesLost,
}

// faultPlan is one fault. At is the time after the start of the load.
type faultPlan struct {
	Kind     faultKind
	At       time.Duration
	Duration time.Duration
	Zone     int
	Target   int
	// Dispatch is the number of the dispatch at which the home is killed.
	Dispatch int
}

// requestKind is the kind of an additional request for a job.
type requestKind string

const (
	requestResubmit  requestKind = "resubmit"
	requestOtherBody requestKind = "other body"
	requestStatus    requestKind = "status"
	requestCancel    requestKind = "cancel"
)

// requestPlan is an additional request for a job. A negative Offset places it before
// the submission.
type requestPlan struct {
	Kind   requestKind
	Offset time.Duration
	// Entry is the index of the instance, modulo the number of instances.
	Entry int
}

// jobPlan is one job with its additional requests.
type jobPlan struct {
	At      time.Duration
	Kind    string
	Entry   int
	Tasks   int
	RunTime time.Duration
	// DeclaredRunTime is the run time in the submission; 0 omits it.
	DeclaredRunTime time.Duration
	// HasStraggler makes the first task run for stragglerRunTime.
	HasStraggler bool
	Deadline     time.Duration
	Requests     []requestPlan
}

// stragglerRunTime is much longer than the run times of other tasks, which are at
// most 120 ms.
const stragglerRunTime = 1500 * time.Millisecond

// historyPlan describes one run: the system, its load and its faults.
type historyPlan struct {
	Zones   int
	Entries int
	Targets int
	Slots   int
	Jobs    []jobPlan
	// WaveJobs is the number of jobs that are submitted and cancelled together.
	WaveJobs int
	WaveAt   time.Duration
	Faults   []faultPlan
}

// String describes the plan without the details of its jobs.
func (p historyPlan) String() string {
	return fmt.Sprintf("%d zones of %d entries and %d targets of %d slots, %d jobs, wave of %d, faults %+v",
		p.Zones, p.Entries, p.Targets, p.Slots, len(p.Jobs), p.WaveJobs, p.Faults)
}

func drawMilliseconds(t *rapid.T, minimum, maximum int, label string) time.Duration {
	return time.Duration(rapid.IntRange(minimum, maximum).Draw(t, label)) * time.Millisecond
}

var requestPlans = rapid.Custom(func(t *rapid.T) requestPlan {
	kinds := []requestKind{requestResubmit, requestResubmit, requestStatus, requestOtherBody, requestCancel}
	return requestPlan{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "request"),
		Offset: drawMilliseconds(t, -10, 150, "after"),
		Entry:  rapid.IntRange(0, 100).Draw(t, "entry"),
	}
})

var jobPlans = rapid.Custom(func(t *rapid.T) jobPlan {
	deadlines := []time.Duration{0, 0, 0, 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}
	return jobPlan{
		At:              drawMilliseconds(t, 0, 700, "at"),
		Kind:            rapid.SampledFrom([]string{"list", "list", "list", "rush", "rush", "rush", "unknown", "orphan"}).Draw(t, "kind"),
		Entry:           rapid.IntRange(0, 100).Draw(t, "entry"),
		Tasks:           rapid.IntRange(1, 12).Draw(t, "tasks"),
		RunTime:         drawMilliseconds(t, 0, 120, "run time"),
		DeclaredRunTime: rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 2 * time.Second}).Draw(t, "declared"),
		HasStraggler:    rapid.IntRange(0, 9).Draw(t, "straggles") == 9,
		Deadline:        rapid.SampledFrom(deadlines).Draw(t, "deadline"),
		Requests:        rapid.SliceOfN(requestPlans, 0, 4).Draw(t, "requests"),
	}
})

var faultPlans = rapid.Custom(func(t *rapid.T) faultPlan {
	return faultPlan{
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "fault"),
		At:       drawMilliseconds(t, 50, 600, "at"),
		Duration: drawMilliseconds(t, 100, 900, "lasts"),
		Zone:     rapid.IntRange(0, 2).Draw(t, "zone"),
		Target:   rapid.IntRange(0, 8).Draw(t, "target"),
		Dispatch: rapid.IntRange(1, 60).Draw(t, "dispatch"),
	}
})

var historyPlans = rapid.Custom(func(t *rapid.T) historyPlan {
	// Rapid prefers short lists, so two faults are required in half of the
	// plans: combinations of two faults are the most important cases.
	minFaults := 2
	if rapid.Bool().Draw(t, "single") {
		minFaults = 1
	}
	return historyPlan{
		Zones:    rapid.IntRange(1, 3).Draw(t, "zones"),
		Entries:  rapid.IntRange(2, 3).Draw(t, "entries"),
		Targets:  rapid.IntRange(1, 4).Draw(t, "targets"),
		Slots:    rapid.IntRange(2, 8).Draw(t, "slots"),
		Jobs:     rapid.SliceOfN(jobPlans, 20, 40).Draw(t, "jobs"),
		WaveJobs: rapid.SampledFrom([]int{0, 0, 0, 0, 200, 400}).Draw(t, "wave"),
		WaveAt:   drawMilliseconds(t, 100, 500, "wave at"),
		Faults:   rapid.SliceOfN(faultPlans, minFaults, 2).Draw(t, "faults"),
	}
})
