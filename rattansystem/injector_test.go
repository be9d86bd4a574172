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

// dispatchHook is called around each dispatch; a false result drops the
// dispatch, as the death of the process before it would.
type dispatchHook func(instance int, number int, after bool) bool

// hookedRunner is the product's runner with a hook around each dispatch.
type hookedRunner struct {
	rattanentry.TaskRunner
	instance int
	number   *atomic.Int64
	hook     dispatchHook
}

func (r *hookedRunner) Run(ctx context.Context, dispatch rattantarget.Dispatch) (rattantarget.Result, error) {
	number := int(r.number.Add(1))
	if !r.hook(r.instance, number, false) {
		return rattantarget.Result{}, rattantarget.ErrUnresolved
	}
	result, err := r.TaskRunner.Run(ctx, dispatch)
	r.hook(r.instance, number, true)
	return result, err
}

// hookRunners returns a constructor of runners with a common count of
// dispatches.
func hookRunners(hook dispatchHook) func() rattanentry.TaskRunner {
	var instances, number atomic.Int64
	return func() rattanentry.TaskRunner {
		return &hookedRunner{
			TaskRunner: rattantarget.New(rattantarget.Options{}),
			instance:   int(instances.Add(1)) - 1,
			number:     &number,
			hook:       hook,
		}
	}
}

// injector applies the faults of a plan to a system.
type injector struct {
	system *rattansystem.System
	zones  []string
	faults []faultPlan
	work   sync.WaitGroup
	// killing orders the deaths of instances.
	killing sync.Mutex
	// fired has the faults at a dispatch that have happened.
	fired [2]atomic.Bool
	errs  chan error
	// leave shuts an instance down and operate lets two operators race; nil
	// means the sound way.
	leave   func(system *rattansystem.System, entry *rattansystem.Entry) error
	operate func(system *rattansystem.System) []uint64
	// schedulers is the number of schedulers made, and stalled has the pauses
	// of each instance, in the order of their start.
	schedulers atomic.Int64
	stalled    [maxInstances]atomic.Int64

	mutex sync.Mutex
	// leaving has the time at which the shutdown of an instance began, by its
	// address for callers.
	leaving map[string]time.Time
	// made are the revisions that operators were told they made.
	made []uint64
}

// maxInstances bounds the instances of a history, restarted ones included.
const maxInstances = 32

// stallingScheduler keeps the home locked while its instance is paused, so
// that requests which were held up before the lock go on with an old time.
type stallingScheduler struct {
	rattanentry.Scheduler
	stall func()
}

func (s *stallingScheduler) Next(now time.Time) (rattanpool.Assignment, bool) {
	s.stall()
	return s.Scheduler.Next(now)
}

// newScheduler returns the product's scheduler with pauses.
func (i *injector) newScheduler() rattanentry.Scheduler {
	instance := int(i.schedulers.Add(1)) - 1
	return &stallingScheduler{Scheduler: rattanpool.New(rattanpool.Config{}), stall: func() { i.stall(instance) }}
}

// stall waits while the instance is paused.
func (i *injector) stall(instance int) {
	for instance < maxInstances && i.stalled[instance].Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// pause stops an instance as SIGSTOP would, except that its clock goes on.
func (i *injector) pause(entry *rattansystem.Entry, lasts time.Duration) {
	instance := slices.Index(i.system.Entries(), entry)
	i.system.Network.Pause(entry.Name)
	i.stalled[instance].Add(1)
	time.Sleep(lasts)
	i.stalled[instance].Add(-1)
	i.system.Network.Resume(entry.Name)
}

// hook kills the dispatching instance where the plan says so.
func (i *injector) hook(instance, number int, after bool) bool {
	i.stall(instance)
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
	if instance < len(entries) && !entries[instance].Killed() && i.fired[index].CompareAndSwap(false, true) {
		i.kill(entries[instance])
	}
}

// kill kills an instance unless it is the last one of its zone, without which
// no caller of the zone could be answered.
func (i *injector) kill(entry *rattansystem.Entry) {
	i.killing.Lock()
	defer i.killing.Unlock()
	if i.others(entry) {
		i.system.Kill(entry)
	}
}

// others reports whether another instance of the zone runs.
func (i *injector) others(entry *rattansystem.Entry) bool {
	return slices.ContainsFunc(i.system.Entries(entry.AvailabilityZone), func(other *rattansystem.Entry) bool {
		return other != entry && !other.Killed()
	})
}

// start begins to apply the faults.
func (i *injector) start() {
	for _, fault := range i.faults {
		i.work.Go(func() {
			time.Sleep(fault.At)
			i.inject(fault)
		})
	}
}

func (i *injector) inject(fault faultPlan) {
	zone := i.zones[fault.Zone%len(i.zones)]
	switch fault.Kind {
	case faultKillHome, faultKillFront, faultKillTwo, faultShutdownHome, faultShutdownFront, faultRestartHome,
		faultShutdownRestartHome, faultShutdownRestartFront:
		i.injectEntry(fault, zone)
	case faultPauseHome, faultPauseFront:
		if entry := i.pick(zone, fault.Kind == faultPauseHome); entry != nil {
			// Longer than the lease of borrowed slots in half of the cases.
			i.pause(entry, 3*fault.Lasts)
		}
	case faultMuteHome, faultMuteFront:
		if entry := i.pick(zone, fault.Kind == faultMuteHome); entry != nil {
			i.system.Network.Mute(entry.Name)
			time.Sleep(fault.Lasts)
			i.system.Network.Heal()
		}
	case faultDeafenHome:
		if entry := i.pick(zone, true); entry != nil {
			i.system.Network.Deafen(entry.Name)
			time.Sleep(fault.Lasts)
			i.system.Network.Heal()
		}
	case faultLinksSilent:
		i.system.Network.Silence()
	case faultOperatorsRace:
		i.racePlans(zone)
	case faultCutZone:
		i.system.Network.Cut(zone)
		time.Sleep(fault.Lasts)
		i.system.Network.Heal()
	case faultIsolateHome, faultIsolateFront:
		if entry := i.pick(zone, fault.Kind == faultIsolateHome); entry != nil {
			i.system.Network.Isolate(entry.Name)
			time.Sleep(fault.Lasts)
			i.system.Network.Heal()
		}
	case faultConfigurationRace:
		i.record(i.race()...)
	case faultKillBeforeDispatch, faultKillDuringDispatch, faultKillAfterDispatch:
	case faultPlatformDown, faultPlatformClosed, faultPlatformHangs, faultPlatformSlow, faultPlatformLoses, faultPlatformSilent, faultOperatorsRaceLost:
		i.injectPlatform(fault, zone)
	default:
		i.injectTarget(fault)
	}
}

// pick returns a running instance of the zone: its home, or another one.
func (i *injector) pick(zone string, home bool) *rattansystem.Entry {
	owner := i.system.Home(zone)
	if home {
		return owner
	}
	for _, entry := range i.system.Entries(zone) {
		if entry != owner && !entry.Killed() {
			return entry
		}
	}
	return nil
}

func (i *injector) injectEntry(fault faultPlan, zone string) {
	home := fault.Kind != faultKillFront && fault.Kind != faultShutdownFront && fault.Kind != faultShutdownRestartFront
	entry := i.pick(zone, home)
	if entry == nil {
		return
	}
	switch fault.Kind {
	case faultShutdownHome, faultShutdownFront:
		i.shutdown(entry)
		return
	case faultShutdownRestartHome, faultShutdownRestartFront:
		i.shutdown(entry)
		i.restart(fault, zone, entry)
		return
	}
	i.kill(entry)
	if fault.Kind == faultKillTwo {
		if other := i.pick(zone, false); other != nil {
			i.kill(other)
		}
	}
	if fault.Kind == faultRestartHome {
		i.restart(fault, zone, entry)
	}
}

// restart starts a killed instance again. The last instance of a zone is
// spared by kill and shutdown; a second one of its name would break the rule
// that instance names are unique, and so would two restarts.
func (i *injector) restart(fault faultPlan, zone string, entry *rattansystem.Entry) {
	i.killing.Lock()
	defer i.killing.Unlock()
	again := slices.ContainsFunc(i.system.Entries(zone), func(other *rattansystem.Entry) bool {
		return other != entry && other.Name == entry.Name && !other.Killed()
	})
	if !entry.Killed() || again {
		return
	}
	time.Sleep(fault.Lasts / 4)
	if _, err := i.system.StartEntry(zone, entry.Name); err != nil {
		i.errs <- err
	}
}

// shutdown shuts an instance down unless it is the last one of its zone.
func (i *injector) shutdown(entry *rattansystem.Entry) {
	i.killing.Lock()
	defer i.killing.Unlock()
	if !i.others(entry) || entry.Killed() {
		return
	}
	i.mutex.Lock()
	if i.leaving == nil {
		i.leaving = map[string]time.Time{}
	}
	i.leaving[entry.Instance.CallerAddress()] = time.Now()
	i.mutex.Unlock()
	leave := i.leave
	if leave == nil {
		leave = (*rattansystem.System).Shutdown
	}
	if err := leave(i.system, entry); err != nil {
		i.errs <- err
	}
}

// cutOff reports whether a request that failed was in progress when the
// shutdown of its instance began, which is a broken I7.
func (i *injector) cutOff(address string, asked time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	began, left := i.leaving[address]
	return left && asked.Before(began)
}

// record keeps the revisions that operators were told they made.
func (i *injector) record(made ...uint64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.made = append(i.made, made...)
}

// revisionsMade returns the revisions that operators made, in order.
func (i *injector) revisionsMade() []uint64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return slices.Sorted(slices.Values(i.made))
}

// racePlans lets two operators confirm plans for the same revision through
// different instances of the zone.
func (i *injector) racePlans(zone string) {
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
				i.record(reply.Plan.ConfirmedRevision)
			}
		})
	}
	operators.Wait()
}

func (i *injector) injectPlatform(fault faultPlan, zone string) {
	switch fault.Kind {
	case faultPlatformDown:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable})
	case faultPlatformClosed:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageClosed})
	case faultPlatformHangs:
		i.system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageSilent})
	case faultPlatformSlow:
		i.system.Platform.SetFaults(rattanstandin.Faults{Latency: rattanjson.Duration(fault.Lasts)})
	case faultPlatformLoses:
		i.system.Platform.SetFaults(rattanstandin.Faults{LostAnswers: 0.5})
		i.record(i.race()...)
	case faultOperatorsRaceLost:
		i.system.Platform.SetFaults(rattanstandin.Faults{LostAnswers: 0.5})
		i.racePlans(zone)
	case faultPlatformSilent:
		i.system.Platform.SilenceConnections(rattanstandin.SilenceBoth)
	}
	time.Sleep(fault.Lasts)
	i.system.Platform.SetFaults(rattanstandin.Faults{})
}

func (i *injector) injectTarget(fault faultPlan) {
	fleet := i.system.Fleets[fault.Zone%len(i.system.Fleets)]
	targets := []*rattanstandin.Target{fleet.Targets[fault.Target%len(fleet.Targets)]}
	switch fault.Kind {
	case faultTargetsFailFast:
		targets = fleet.Targets
	case faultRackDies:
		targets = fleet.Targets[:(len(fleet.Targets)+1)/2]
	}
	for _, target := range targets {
		i.breakTarget(fault.Kind, target)
	}
	time.Sleep(fault.Lasts)
	for _, target := range targets {
		target.SetBehaviour(rattanstandin.Behaviour{})
		if err := target.Revive(); err != nil {
			i.errs <- err
		}
	}
	i.system.Platform.SetInstances(fleet.Instances()...)
}

func (i *injector) breakTarget(kind faultKind, target *rattanstandin.Target) {
	switch kind {
	case faultTargetFailsFast, faultTargetsFailFast:
		target.SetBehaviour(rattanstandin.Behaviour{FailFast: true})
	case faultTargetRefuses:
		target.SetBehaviour(rattanstandin.Behaviour{Refuse: true})
	case faultTargetSlow:
		target.SetBehaviour(rattanstandin.Behaviour{SlowFactor: 10})
	case faultTargetSilent:
		target.Silence(rattanstandin.SilenceBoth)
	case faultTargetMute:
		target.Silence(rattanstandin.SilenceResponses)
	case faultTargetDies, faultRackDies:
		target.Kill()
	case faultTargetLeaves:
		i.system.Platform.ChangeInstances(rattanstandin.InstanceChange{Leave: []string{target.Name()}})
	case faultTargetUnlisted:
		i.system.Platform.ChangeInstances(rattanstandin.InstanceChange{Remove: []string{target.Name()}})
	}
}

// race lets two operators change the configuration at the same time by
// compare-and-swap, and returns the revisions that they made.
func (i *injector) race() []uint64 {
	if i.operate != nil {
		return i.operate(i.system)
	}
	var mutex sync.Mutex
	var made []uint64
	var operators sync.WaitGroup
	for operator := range 2 {
		operators.Go(func() {
			for range 3 {
				revision := raiseRevision(i.system, float64(operator+1))
				mutex.Lock()
				made = append(made, revision)
				mutex.Unlock()
			}
		})
	}
	operators.Wait()
	return slices.DeleteFunc(made, func(revision uint64) bool { return revision == 0 })
}

// raiseRevision makes one change of the configuration by compare-and-swap and
// returns the revision that it made, or 0 if it made none.
func raiseRevision(system *rattansystem.System, weight float64) uint64 {
	client := rattanplatform.New(rattanplatform.Options{Address: system.Platform.Address(), Timeout: 300 * time.Millisecond})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entry, err := client.Get(ctx, rattanconfig.PlatformKey)
	if err != nil {
		return 0
	}
	var changed rattanconfig.Document
	if json.Unmarshal(entry.Value, &changed) != nil {
		return 0
	}
	changed.Revision++
	changed.Callers["counter"] = rattanconfig.Caller{Weight: weight}
	value, err := json.Marshal(changed)
	if err != nil {
		return 0
	}
	if _, err = client.Put(ctx, rattanconfig.PlatformKey, value, entry.Revision, rattanplatform.NoLease); err != nil {
		return 0
	}
	return changed.Revision
}
