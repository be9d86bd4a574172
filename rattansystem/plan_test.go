package rattansystem_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// faultKind is one fault of the list in section 2 of the design page.
type faultKind string

const (
	faultKillHome           faultKind = "kill home"
	faultKillBeforeDispatch faultKind = "kill home before a dispatch"
	faultKillDuringDispatch faultKind = "kill home during a dispatch"
	faultKillAfterDispatch  faultKind = "kill home after a dispatch"
	faultKillFront          faultKind = "kill front"
	faultKillTwo            faultKind = "kill home and front"
	faultShutdownHome       faultKind = "shut down home"
	faultShutdownFront      faultKind = "shut down front"
	faultRestartHome        faultKind = "restart home"
	faultCutZone            faultKind = "cut zone"
	faultIsolateHome        faultKind = "isolate home"
	faultIsolateFront       faultKind = "isolate front"
	faultPlatformDown       faultKind = "platform down"
	faultPlatformClosed     faultKind = "platform closes connections"
	faultPlatformHangs      faultKind = "platform hangs"
	faultPlatformSlow       faultKind = "platform slow"
	faultPlatformLoses      faultKind = "platform loses answers"
	faultPlatformSilent     faultKind = "platform connections silent"
	faultTargetFailsFast    faultKind = "target fails fast"
	faultTargetRefuses      faultKind = "target refuses"
	faultTargetSlow         faultKind = "target slow"
	faultTargetSilent       faultKind = "target connections silent"
	faultTargetMute         faultKind = "target responses lost"
	faultTargetDies         faultKind = "target dies"
	faultTargetLeaves       faultKind = "target leaves"
	faultTargetUnlisted     faultKind = "target leaves the list"
	faultConfigurationRace  faultKind = "configuration race"

	faultShutdownRestartHome  faultKind = "shut down home and start it again"
	faultShutdownRestartFront faultKind = "shut down front and start it again"
	faultPauseHome            faultKind = "pause home"
	faultPauseFront           faultKind = "pause front"
	faultMuteHome             faultKind = "messages of home lost"
	faultDeafenHome           faultKind = "messages to home lost"
	faultMuteFront            faultKind = "messages of front lost"
	faultLinksSilent          faultKind = "open links silent"
	faultTargetsFailFast      faultKind = "all targets of a zone fail fast"
	faultRackDies             faultKind = "half of the targets of a zone die"
	faultOperatorsRace        faultKind = "operators race through instances"
	faultOperatorsRaceLost    faultKind = "operators race and answers are lost"
)

var faultKinds = []faultKind{
	faultKillHome, faultKillBeforeDispatch, faultKillDuringDispatch, faultKillAfterDispatch,
	faultKillFront, faultKillTwo, faultShutdownHome, faultShutdownFront, faultRestartHome,
	faultCutZone, faultIsolateHome, faultIsolateFront,
	faultPlatformDown, faultPlatformClosed, faultPlatformHangs, faultPlatformSlow,
	faultPlatformLoses, faultPlatformSilent,
	faultTargetFailsFast, faultTargetRefuses, faultTargetSlow, faultTargetSilent,
	faultTargetMute, faultTargetDies, faultTargetLeaves, faultTargetUnlisted,
	faultConfigurationRace,
	faultShutdownRestartHome, faultShutdownRestartFront,
	faultPauseHome, faultPauseFront,
	faultMuteHome, faultDeafenHome, faultMuteFront, faultLinksSilent,
	faultTargetsFailFast, faultRackDies,
	faultOperatorsRace, faultOperatorsRaceLost,
}

// faultPlan is one fault at a time after the start of the load.
type faultPlan struct {
	Kind   faultKind
	At     time.Duration
	Lasts  time.Duration
	Zone   int
	Target int
	// Dispatch is the number of the dispatch at which a home is killed.
	Dispatch int
}

// requestKind is a further request of a job.
type requestKind string

const (
	requestResubmit  requestKind = "resubmit"
	requestOtherBody requestKind = "other body"
	requestStatus    requestKind = "status"
	requestCancel    requestKind = "cancel"
)

// requestPlan is a request beside the one that submits the job. A negative
// After places it before the submission.
type requestPlan struct {
	Kind  requestKind
	After time.Duration
	// Entry chooses the instance among all.
	Entry int
}

// jobPlan is one job.
type jobPlan struct {
	At      time.Duration
	Kind    string
	Entry   int
	Tasks   int
	RunTime time.Duration
	// Declared is the run time that the submission states; 0 states none.
	Declared time.Duration
	// Straggles makes the first task run for stragglerRunTime.
	Straggles bool
	Deadline  time.Duration
	Requests  []requestPlan
}

// stragglerRunTime is many times as long as that of other tasks.
const stragglerRunTime = 1500 * time.Millisecond

// historyPlan is one run: the system, its load and its faults.
type historyPlan struct {
	Zones   int
	Entries int
	Targets int
	Slots   int
	Jobs    []jobPlan
	// Wave is the number of jobs that are submitted and cancelled at once.
	Wave   int
	WaveAt time.Duration
	Faults []faultPlan
}

// String prints the parts that matter when a run fails.
func (p historyPlan) String() string {
	return fmt.Sprintf("%d zones of %d entries and %d targets of %d slots, %d jobs, wave of %d, faults %+v",
		p.Zones, p.Entries, p.Targets, p.Slots, len(p.Jobs), p.Wave, p.Faults)
}

func milliseconds(t *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

var requestPlans = rapid.Custom(func(t *rapid.T) requestPlan {
	kinds := []requestKind{requestResubmit, requestResubmit, requestStatus, requestOtherBody, requestCancel}
	return requestPlan{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "request"),
		After: milliseconds(t, -10, 150, "after"),
		Entry: rapid.IntRange(0, 100).Draw(t, "entry"),
	}
})

var jobPlans = rapid.Custom(func(t *rapid.T) jobPlan {
	deadlines := []time.Duration{0, 0, 0, 20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}
	return jobPlan{
		At:        milliseconds(t, 0, 700, "at"),
		Kind:      rapid.SampledFrom([]string{"list", "list", "list", "rush", "rush", "rush", "unknown", "orphan"}).Draw(t, "kind"),
		Entry:     rapid.IntRange(0, 100).Draw(t, "entry"),
		Tasks:     rapid.IntRange(1, 12).Draw(t, "tasks"),
		RunTime:   milliseconds(t, 0, 120, "run time"),
		Declared:  rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, 2 * time.Second}).Draw(t, "declared"),
		Straggles: rapid.IntRange(0, 9).Draw(t, "straggles") == 9,
		Deadline:  rapid.SampledFrom(deadlines).Draw(t, "deadline"),
		Requests:  rapid.SliceOfN(requestPlans, 0, 4).Draw(t, "requests"),
	}
})

var faultPlans = rapid.Custom(func(t *rapid.T) faultPlan {
	return faultPlan{
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "fault"),
		At:       milliseconds(t, 50, 600, "at"),
		Lasts:    milliseconds(t, 100, 900, "lasts"),
		Zone:     rapid.IntRange(0, 2).Draw(t, "zone"),
		Target:   rapid.IntRange(0, 8).Draw(t, "target"),
		Dispatch: rapid.IntRange(1, 60).Draw(t, "dispatch"),
	}
})

var historyPlans = rapid.Custom(func(t *rapid.T) historyPlan {
	// Lists are mostly short, and pairs of faults matter most.
	leastFaults := 2
	if rapid.Bool().Draw(t, "single") {
		leastFaults = 1
	}
	return historyPlan{
		Zones:   rapid.IntRange(1, 3).Draw(t, "zones"),
		Entries: rapid.IntRange(2, 3).Draw(t, "entries"),
		Targets: rapid.IntRange(1, 4).Draw(t, "targets"),
		Slots:   rapid.IntRange(2, 8).Draw(t, "slots"),
		Jobs:    rapid.SliceOfN(jobPlans, 20, 40).Draw(t, "jobs"),
		Wave:    rapid.SampledFrom([]int{0, 0, 0, 0, 200, 400}).Draw(t, "wave"),
		WaveAt:  milliseconds(t, 100, 500, "wave at"),
		Faults:  rapid.SliceOfN(faultPlans, leastFaults, 2).Draw(t, "faults"),
	}
})
