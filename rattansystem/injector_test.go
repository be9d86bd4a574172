package rattansystem_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanpool"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
	"github.com/rattanlever/rattanlever/rattantarget"
)

// dispatchHook is called before and after each dispatch. The number counts the
// dispatches of all instances from 1. If the hook returns false before a dispatch,
// the dispatch is not sent, as if the process had been killed.
type dispatchHook func(instance int, number int, after bool) bool

// hookedRunner is the regular task runner with a hook around each dispatch.
type hookedRunner struct {
	rattanentry.TaskRunner
	instance      int
	dispatchCount *atomic.Int64
	hook          dispatchHook
}

func (r *hookedRunner) Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	number := int(r.dispatchCount.Add(1))
	if !r.hook(r.instance, number, false) {
		return rattantarget.Result{}, rattantarget.ErrUnresolved
	}
	result, err := r.TaskRunner.Run(ctx, dispatch)
	r.hook(r.instance, number, true)
	return result, err
}

// newHookedRunners returns a constructor of runners that share a counter of
// dispatches.
func newHookedRunners(hook dispatchHook) func() rattanentry.TaskRunner {
	var instanceCount, dispatchCount atomic.Int64
	return func() rattanentry.TaskRunner {
		return &hookedRunner{
			TaskRunner:    rattantarget.New(rattantarget.Options{}),
			instance:      int(instanceCount.Add(1)) - 1,
			dispatchCount: &dispatchCount,
			hook:          hook,
		}
	}
}

// injector applies the faults of a plan to a system.
type injector struct {
	system  *rattansystem.System
	zones   []string
	faults  []faultPlan
	running sync.WaitGroup
	// lifecycleMutex serializes the kills, shutdowns and restarts of instances.
	lifecycleMutex sync.Mutex
	// killed marks the faults, by index, that have killed an instance at a
	// dispatch. A plan has at most two faults.
	killed [2]atomic.Bool
	errs   chan error
	// shutdownEntry shuts down an instance, and changeConfiguration makes two
	// operators change the configuration concurrently. Nil selects the default.
	shutdownEntry       func(system *rattansystem.System, entry *rattansystem.Entry) error
	changeConfiguration func(system *rattansystem.System) []uint64
	// schedulerCount is the number of schedulers created. pauseCounts holds the
	// number of active pauses of each instance, in the order in which the instances
	// were started.
	schedulerCount atomic.Int64
	pauseCounts    [maxInstances]atomic.Int64

	mutex sync.Mutex
	// shutdownTimes holds the start times of shutdowns by the caller address of
	// the instance.
	shutdownTimes map[string]time.Time
	// revisions are the revisions whose creation was confirmed to operators.
	revisions []uint64
}

// maxInstances is the maximum number of instances in a history, including restarted
// ones.
const maxInstances = 32

// pausableScheduler blocks while its instance is paused. The home's lock stays held
// meanwhile, so requests that wait for the lock continue with an outdated time.
type pausableScheduler struct {
	rattanentry.Scheduler
	waitWhilePaused func()
}

func (s *pausableScheduler) Next(now time.Time) (rattanpool.Assignment, bool) {
	s.waitWhilePaused()
	return s.Scheduler.Next(now)
}

// newScheduler returns the regular scheduler wrapped in a pausableScheduler.
func (i *injector) newScheduler() rattanentry.Scheduler {
	instance := int(i.schedulerCount.Add(1)) - 1
	return &pausableScheduler{Scheduler: rattanpool.New(rattanpool.Config{}), waitWhilePaused: func() { i.waitWhilePaused(instance) }}
}

// waitWhilePaused blocks while the instance is paused.
func (i *injector) waitWhilePaused(instance int) {
	for instance < maxInstances && i.pauseCounts[instance].Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// pause simulates SIGSTOP and SIGCONT for an instance, except that its timers keep
// running.
func (i *injector) pause(entry *rattansystem.Entry, duration time.Duration) {
	instance := slices.Index(i.system.Entries(), entry)
	i.system.Network.PauseInstance(entry.Name)
	i.pauseCounts[instance].Add(1)
	time.Sleep(duration)
	i.pauseCounts[instance].Add(-1)
	i.system.Network.ResumeInstance(entry.Name)
}

// onDispatch kills the dispatching instance if the plan has a fault at the dispatch.
func (i *injector) onDispatch(instance, number int, after bool) bool {
	i.waitWhilePaused(instance)
	for index, fault := range i.faults {
		if fault.Dispatch != number {
			continue
		}
		switch {
		case fault.Kind == faultKillBeforeDispatch && !after, fault.Kind == faultKillAfterDispatch && after:
			i.killOnce(index, instance)
			return false
		case fault.Kind == faultKillDuringDispatch && !after:
			go func() {
				time.Sleep(time.Millisecond)
				i.killOnce(index, instance)
			}()
		}
	}
	return true
}

func (i *injector) killOnce(index, instance int) {
	entries := i.system.Entries()
	if instance < len(entries) && !entries[instance].Killed() && i.killed[index].CompareAndSwap(false, true) {
		i.kill(entries[instance])
	}
}

// kill kills an instance unless it is the last running one of its zone, because no
// caller of the zone would get an answer after that.
func (i *injector) kill(entry *rattansystem.Entry) {
	i.lifecycleMutex.Lock()
	defer i.lifecycleMutex.Unlock()
	if i.hasOther(entry) {
		i.system.Kill(entry)
	}
}

// hasOther reports whether another instance of the zone is running.
func (i *injector) hasOther(entry *rattansystem.Entry) bool {
	return slices.ContainsFunc(i.system.Entries(entry.AvailabilityZone), func(other *rattansystem.Entry) bool {
		return other != entry && !other.Killed()
	})
}

// start starts a goroutine for each fault.
func (i *injector) start() {
	for _, fault := range i.faults {
		i.running.Go(func() {
			time.Sleep(fault.At)
			i.inject(fault)
		})
	}
}

func (i *injector) inject(fault faultPlan) {
	zone := i.zones[fault.Zone%len(i.zones)]
	switch fault.Kind {
	case faultKillHome, faultKillFrontend, faultKillHomeAndFrontend, faultShutdownHome, faultShutdownFrontend, faultRestartHome,
		faultShutdownRestartHome, faultShutdownRestartFrontend:
		i.injectEntryFault(fault, zone)
	case faultPauseHome, faultPauseFrontend:
		if entry := i.selectEntry(zone, fault.Kind == faultPauseHome); entry != nil {
			// About half of the pauses are longer than the lease of borrowed slots.
			i.pause(entry, 3*fault.Duration)
		}
	case faultHomeOutboundLost, faultFrontendOutboundLost:
		if entry := i.selectEntry(zone, fault.Kind == faultHomeOutboundLost); entry != nil {
			i.system.Network.BlockOutbound(entry.Name)
			time.Sleep(fault.Duration)
			i.system.Network.Heal()
		}
	case faultHomeInboundLost:
		if entry := i.selectEntry(zone, true); entry != nil {
			i.system.Network.BlockInbound(entry.Name)
			time.Sleep(fault.Duration)
			i.system.Network.Heal()
		}
	case faultConnectionsSilent:
		i.system.Network.SilenceConnections()
	case faultPlanRace:
		i.racePlanConfirmations(zone)
	case faultPartitionZone:
		i.system.Network.PartitionZone(zone)
		time.Sleep(fault.Duration)
		i.system.Network.Heal()
	case faultIsolateHome, faultIsolateFrontend:
		if entry := i.selectEntry(zone, fault.Kind == faultIsolateHome); entry != nil {
			i.system.Network.IsolateInstance(entry.Name)
			time.Sleep(fault.Duration)
			i.system.Network.Heal()
		}
	case faultConfigurationRace:
		i.recordRevisions(i.raceConfigurationChanges()...)
	case faultKillBeforeDispatch, faultKillDuringDispatch, faultKillAfterDispatch:
	case faultPlatformDown, faultPlatformClosed, faultPlatformHangs, faultPlatformSlow, faultPlatformResponsesLost, faultPlatformConnectionsSilent, faultPlanRaceResponsesLost:
		i.injectPlatformFault(fault, zone)
	default:
		i.injectTargetFault(fault)
	}
}

// selectEntry returns the home of the zone, or another running instance, or nil.
func (i *injector) selectEntry(zone string, wantHome bool) *rattansystem.Entry {
	owner := i.system.Home(zone)
	if wantHome {
		return owner
	}
	for _, entry := range i.system.Entries(zone) {
		if entry != owner && !entry.Killed() {
			return entry
		}
	}
	return nil
}

func (i *injector) injectEntryFault(fault faultPlan, zone string) {
	wantHome := fault.Kind != faultKillFrontend && fault.Kind != faultShutdownFrontend && fault.Kind != faultShutdownRestartFrontend
	entry := i.selectEntry(zone, wantHome)
	if entry == nil {
		return
	}
	switch fault.Kind {
	case faultShutdownHome, faultShutdownFrontend:
		i.shutdown(entry)
		return
	case faultShutdownRestartHome, faultShutdownRestartFrontend:
		i.shutdown(entry)
		i.restart(fault, zone, entry)
		return
	}
	i.kill(entry)
	if fault.Kind == faultKillHomeAndFrontend {
		if other := i.selectEntry(zone, false); other != nil {
			i.kill(other)
		}
	}
	if fault.Kind == faultRestartHome {
		i.restart(fault, zone, entry)
	}
}

// restart starts a killed instance again, unless it still runs or was already
// restarted, because instance names must be unique. An instance still runs if kill
// or shutdown skipped it as the last one of its zone.
func (i *injector) restart(fault faultPlan, zone string, entry *rattansystem.Entry) {
	i.lifecycleMutex.Lock()
	defer i.lifecycleMutex.Unlock()
	restarted := slices.ContainsFunc(i.system.Entries(zone), func(other *rattansystem.Entry) bool {
		return other != entry && other.Name == entry.Name && !other.Killed()
	})
	if !entry.Killed() || restarted {
		return
	}
	time.Sleep(fault.Duration / 4)
	if _, err := i.system.StartEntry(zone, entry.Name); err != nil {
		i.errs <- err
	}
}

// shutdown shuts down an instance unless it is the last running one of its zone.
func (i *injector) shutdown(entry *rattansystem.Entry) {
	i.lifecycleMutex.Lock()
	defer i.lifecycleMutex.Unlock()
	if !i.hasOther(entry) || entry.Killed() {
		return
	}
	i.mutex.Lock()
	if i.shutdownTimes == nil {
		i.shutdownTimes = map[string]time.Time{}
	}
	i.shutdownTimes[entry.Instance.CallerAddress()] = time.Now()
	i.mutex.Unlock()
	shutdownEntry := i.shutdownEntry
	if shutdownEntry == nil {
		shutdownEntry = (*rattansystem.System).Shutdown
	}
	if err := shutdownEntry(i.system, entry); err != nil {
		i.errs <- err
	}
}

// interruptedByShutdown reports whether a failed request was in progress when the
// shutdown of its instance began, which violates invariant I7.
func (i *injector) interruptedByShutdown(address string, sentAt time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	began, shutDown := i.shutdownTimes[address]
	return shutDown && sentAt.Before(began)
}

// recordRevisions adds revisions whose creation was confirmed to operators.
func (i *injector) recordRevisions(revisions ...uint64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.revisions = append(i.revisions, revisions...)
}

// recordedRevisions returns the recorded revisions in ascending order.
func (i *injector) recordedRevisions() []uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Sorted(slices.Values(i.revisions))
}

// racePlanConfirmations makes two operators concurrently confirm plans for the same
// revision through different instances of the zone.
func (i *injector) racePlanConfirmations(zone string) {
	addresses := i.system.Addresses(zone)
	if len(addresses) == 0 {
		return
	}
	var operators sync.WaitGroup
	for operator, address := range []string{addresses[0], addresses[len(addresses)-1]} {
		operators.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			client := rattanclient.New(rattanclient.Config{Addresses: []string{address}, Operator: "operator"})
			intent := fmt.Sprintf(`{"Kind":"SetShare","Name":"counter","Share":{"Weight":%d}}`, operator+1)
			var reply rattanentry.PlanReply
			body, err := client.Post(ctx, "/v1/plans", []byte(intent))
			if err != nil || json.Unmarshal(body, &reply) != nil {
				return
			}
			body, err = client.Post(ctx, "/v1/plans/"+reply.Plan.ID+"/confirm", nil)
			if err == nil && json.Unmarshal(body, &reply) == nil {
				i.recordRevisions(reply.Plan.ConfirmedRevision)
			}
		})
	}
	operators.Wait()
}

func (i *injector) injectPlatformFault(fault faultPlan, zone string) {
	switch fault.Kind {
	case faultPlatformDown:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable})
	case faultPlatformClosed:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageClosed})
	case faultPlatformHangs:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageSilent})
	case faultPlatformSlow:
		i.system.Platform.SetFaults(rattanstandin.Faults{Latency: rattanjson.Duration(fault.Duration)})
	case faultPlatformResponsesLost:
		i.system.Platform.SetFaults(rattanstandin.Faults{LostResponseRate: 0.5})
		i.recordRevisions(i.raceConfigurationChanges()...)
	case faultPlanRaceResponsesLost:
		i.system.Platform.SetFaults(rattanstandin.Faults{LostResponseRate: 0.5})
		i.racePlanConfirmations(zone)
	case faultPlatformConnectionsSilent:
		i.system.Platform.SilenceConnections(rattanstandin.SilenceBoth)
	}
	time.Sleep(fault.Duration)
	i.system.Platform.SetFaults(rattanstandin.Faults{})
}

func (i *injector) injectTargetFault(fault faultPlan) {
	fleet := i.system.Fleets[fault.Zone%len(i.system.Fleets)]
	targets := []*rattanstandin.Target{fleet.Targets[fault.Target%len(fleet.Targets)]}
	switch fault.Kind {
	case faultTargetsFailFast:
		targets = fleet.Targets
	case faultHalfOfTargetsKilled:
		targets = fleet.Targets[:(len(fleet.Targets)+1)/2]
	}
	for _, target := range targets {
		i.applyTargetFault(fault.Kind, target)
	}
	time.Sleep(fault.Duration)
	for _, target := range targets {
		target.SetBehaviour(rattanstandin.Behaviour{})
		if err := target.Restart(); err != nil {
			i.errs <- err
		}
	}
	i.system.Platform.SetInstances(fleet.Instances()...)
}

func (i *injector) applyTargetFault(kind faultKind, target *rattanstandin.Target) {
	switch kind {
	case faultTargetFailsFast, faultTargetsFailFast:
		target.SetBehaviour(rattanstandin.Behaviour{FailFast: true})
	case faultTargetRefuses:
		target.SetBehaviour(rattanstandin.Behaviour{Refuse: true})
	case faultTargetSlow:
		target.SetBehaviour(rattanstandin.Behaviour{SlowFactor: 10})
	case faultTargetConnectionsSilent:
		target.SilenceConnections(rattanstandin.SilenceBoth)
	case faultTargetResponsesLost:
		target.SilenceConnections(rattanstandin.SilenceResponses)
	case faultTargetKilled, faultHalfOfTargetsKilled:
		target.Kill()
	case faultTargetLeaves:
		i.system.Platform.ChangeInstances(rattanstandin.InstanceChange{Leave: []string{target.Name()}})
	case faultTargetUnlisted:
		i.system.Platform.ChangeInstances(rattanstandin.InstanceChange{Remove: []string{target.Name()}})
	}
}

// raceConfigurationChanges makes two operators concurrently change the configuration
// by compare-and-swap and returns the revisions that they created.
func (i *injector) raceConfigurationChanges() []uint64 {
	if i.changeConfiguration != nil {
		return i.changeConfiguration(i.system)
	}
	var mutex sync.Mutex
	var revisions []uint64
	var operators sync.WaitGroup
	for operator := range 2 {
		operators.Go(func() {
			for range 3 {
				revision := changeCallerWeight(i.system, float64(operator+1))
				mutex.Lock()
				revisions = append(revisions, revision)
				mutex.Unlock()
			}
		})
	}
	operators.Wait()
	return slices.DeleteFunc(revisions, func(revision uint64) bool { return revision == 0 })
}

// changeCallerWeight changes the configuration by compare-and-swap and returns the
// new revision, or 0 if the change failed.
func changeCallerWeight(system *rattansystem.System, weight float64) uint64 {
	client := rattanplatform.New(rattanplatform.Options{Address: system.Platform.Address(), Timeout: 300 * time.Millisecond})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entry, err := client.Get(ctx, rattanconfig.PlatformKey)
	if err != nil {
		return 0
	}
	var document rattanconfig.Document
	if json.Unmarshal(entry.Value, &document) != nil {
		return 0
	}
	document.Revision++
	document.Callers["counter"] = rattanconfig.Caller{Weight: weight}
	value, err := json.Marshal(document)
	if err != nil {
		return 0
	}
	if _, err = client.Put(ctx, rattanconfig.PlatformKey, value, entry.Revision, rattanplatform.NoLease); err != nil {
		return 0
	}
	return document.Revision
}
