package rattanrig

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

//go:generate go tool stringer -type Kind

// Kind is a kind of disturbance.
type Kind int

// Kinds of disturbances.
const (
	// InstanceKilled kills an instance, which starts again later.
	InstanceKilled Kind = iota
	// InstancePaused stops an instance's process for a while.
	InstancePaused
	// InstanceTerminated ends an instance by SIGTERM and starts it again.
	InstanceTerminated
	// TargetRestarted restarts a target under its ID.
	TargetRestarted
	// TargetSilent keeps a target from receiving requests.
	TargetSilent
	// AnswersLost makes a target leave some requests unanswered.
	AnswersLost
	// RequestsDelayed makes a target execute some requests late and unanswered.
	RequestsDelayed
	// RequestOutlivesTarget makes the next incarnation of a target execute a
	// request late.
	RequestOutlivesTarget
	// StoreAway makes the store unavailable to all instances or one.
	StoreAway
	// SignalsInSeries sends several signals to an instance, which may end it, and starts
	// it again.
	SignalsInSeries
	// DesiredStateChanged writes several desired states.
	DesiredStateChanged
	// CrowdAtInstance lets a crowd of callers that do not behave come to an instance.
	CrowdAtInstance
	// CrowdAtAll lets such a crowd come to all instances.
	CrowdAtAll
	// ZoneKilled kills all instances of a zone, which start again later. It is
	// played only if it is named.
	ZoneKilled
	// ZonePaused stops the processes of all instances of a zone for a while. It is
	// played only if it is named.
	ZonePaused
	// AllKilled kills all instances, which start again later. It is played only if
	// it is named.
	AllKilled
	// ZoneEvacuated makes the operator evacuate a zone for a while. It is played only
	// if it is named: all instances use evacuations then.
	ZoneEvacuated

	kindCount = int(ZoneEvacuated) + 1
	// usualKinds is the number of kinds that are played unless some are named.
	usualKinds = int(CrowdAtAll) + 1
)

// ParseKind returns the kind with the name, and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for kind := range kindCount {
		if Kind(kind).String() == name {
			return Kind(kind), true
		}
	}
	return 0, false
}

const (
	maxDownTime   = 2500 * time.Millisecond
	maxPauseTime  = 2500 * time.Millisecond
	maxSilence    = 2 * time.Second
	maxFaultTime  = 3 * time.Second
	maxOutage     = 4 * time.Second
	maxTargetDown = time.Second
	maxZoneAway   = 8 * time.Second
	// A request without an answer may be executed within minDelay to maxDelay.
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
	// maxRestartDelay is shorter, because a run must still be active then.
	maxRestartDelay = 4 * time.Second
	maxHoldTime     = 3 * time.Second
	// evacuationBound is how long after the request tasks may start in an evacuated
	// zone. The store may be away for maxOutage of it.
	evacuationBound = 6 * time.Second
	// maxEvacuation is longer, so that many evacuations outlast the bound.
	maxEvacuation = 12 * time.Second
	lostShare     = 0.2
	// A series has up to maxSignals signals or maxChanges changes.
	maxSignals     = 6
	maxSignalPause = 400 * time.Millisecond
	maxChanges     = 5
	maxChangePause = 300 * time.Millisecond
	// defaultBodyBytes is the least limit for bodies in the desired state.
	defaultBodyBytes = 20000
)

// disturb begins disturbances until the context ends, and waits until all of them
// have ended.
func (r *rig) disturb(ctx context.Context) {
	random := r.random(0)
	kinds := r.config.Kinds
	if len(kinds) == 0 {
		for kind := range usualKinds {
			kinds = append(kinds, Kind(kind))
		}
	}
	var running sync.WaitGroup
	for {
		pause := time.Duration(random.ExpFloat64() * float64(r.config.DisturbanceInterval))
		kind, stream := kinds[random.IntN(len(kinds))], random.Uint64()
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case <-time.After(pause):
		}
		running.Go(func() { r.begin(kind, r.random(stream)) })
	}
}

// begin plays one disturbance to its end.
func (r *rig) begin(kind Kind, random *rand.Rand) {
	switch kind {
	case CrowdAtInstance:
		i := r.instances[random.IntN(len(r.instances))]
		r.began(kind, i.Name)
		r.crowd([]*instance{i}, random)
	case CrowdAtAll:
		r.began(kind, "")
		r.crowd(r.instances, random)
	case DesiredStateChanged:
		r.began(kind, "")
		r.changeDesiredState(random)
	case InstanceKilled, InstancePaused, InstanceTerminated, SignalsInSeries:
		i := r.instances[random.IntN(len(r.instances))]
		// An instance that is already disturbed is left alone.
		if !i.disturbing.TryLock() {
			return
		}
		defer i.disturbing.Unlock()
		r.began(kind, i.Name)
		r.disturbInstance(kind, i, random)
	case ZoneKilled, ZonePaused:
		r.disturbZones(kind, r.config.Zones[random.IntN(len(r.config.Zones))], random)
	case AllKilled:
		r.disturbZones(kind, allZones, random)
	case StoreAway:
		r.began(kind, "")
		r.disturbStore(random)
	case ZoneEvacuated:
		r.evacuate(random.IntN(len(r.config.Zones)), random)
	default:
		target := r.targets[random.IntN(len(r.targets))]
		if !target.disturbing.TryLock() {
			return
		}
		defer target.disturbing.Unlock()
		r.began(kind, target.name)
		r.disturbTarget(kind, target, random)
		r.record("%v %s ends", kind, target.name)
	}
}

func (r *rig) began(kind Kind, name string) {
	r.record("%v %s begins", kind, name)
	r.count(func(report *Report) { report.Disturbances++ })
}

// upTo returns a random duration of at most the limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// allZones stands for all zones.
const allZones = ""

// disturbZones disturbs all instances of a zone, or of all, at the same time, unless
// one of them is already disturbed.
func (r *rig) disturbZones(kind Kind, zone string, random *rand.Rand) {
	var list []*instance
	for _, i := range r.instances {
		if zone != allZones && i.Zone != zone {
			continue
		}
		if !i.disturbing.TryLock() {
			return
		}
		defer i.disturbing.Unlock()
		list = append(list, i)
	}
	r.began(kind, zone)
	signal := syscall.SIGKILL
	if kind == ZonePaused {
		signal = syscall.SIGSTOP
	}
	for _, i := range list {
		i.signal(signal)
	}
	time.Sleep(upTo(random, maxZoneAway))
	for _, i := range list {
		if kind == ZonePaused {
			i.signal(syscall.SIGCONT)
			continue
		}
		i.end(syscall.SIGKILL)
		if err := i.start(); err != nil {
			r.violate("%s does not start: %v", i.Name, err)
		}
	}
	r.record("%v %s ends", kind, zone)
}

// evacuate evacuates a zone for a while, unless it is evacuated. The checker reports
// what starts there after the bound.
func (r *rig) evacuate(index int, random *rand.Rand) {
	if !r.evacuating[index].TryLock() {
		return
	}
	defer r.evacuating[index].Unlock()
	zone := r.config.Zones[index]
	r.began(ZoneEvacuated, zone)
	r.deployment.Store.Evacuate(zone)
	r.deployment.Checker.ZoneEvacuated(zone, evacuationBound)
	time.Sleep(upTo(random, maxEvacuation))
	r.deployment.Checker.EvacuationEnds(zone)
	r.deployment.Store.EndEvacuation(zone)
	r.record("%v %s ends", ZoneEvacuated, zone)
}

func (r *rig) disturbInstance(kind Kind, i *instance, random *rand.Rand) {
	if !i.Alive() {
		r.violate("%s has ended by itself", i.Name)
	}
	switch kind {
	case InstancePaused:
		i.signal(syscall.SIGSTOP)
		time.Sleep(upTo(random, maxPauseTime))
		i.signal(syscall.SIGCONT)
	case SignalsInSeries:
		r.sendSignals(i, random)
	case InstanceTerminated:
		if i.end(syscall.SIGTERM) {
			r.violate("%s has not ended %v after SIGTERM", i.Name, gracePeriod)
		}
	default:
		i.end(syscall.SIGKILL)
	}
	if kind != InstancePaused {
		time.Sleep(upTo(random, maxDownTime))
		if err := i.start(); err != nil {
			r.violate("%s does not start: %v", i.Name, err)
		}
	}
	r.record("%v %s ends", kind, i.Name)
}

// seriesSignals are the signals of a series. A process that is paused gets the others when
// it continues.
var seriesSignals = []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP, syscall.SIGTERM}

// sendSignals sends signals in series to an instance and ends its process.
func (r *rig) sendSignals(i *instance, random *rand.Rand) {
	for range 1 + random.IntN(maxSignals) {
		signal := seriesSignals[random.IntN(len(seriesSignals))]
		r.record("%s gets %v", i.Name, signal)
		i.signal(signal)
		time.Sleep(upTo(random, maxSignalPause))
	}
	i.signal(syscall.SIGCONT)
	if i.end(syscall.SIGTERM) {
		r.violate("%s has not ended %v after SIGTERM", i.Name, gracePeriod)
	}
}

// changeDesiredState writes several desired states, each of which changes the limit for
// bodies only.
func (r *rig) changeDesiredState(random *rand.Rand) {
	for range 1 + random.IntN(maxChanges) {
		if err := r.putDesiredState(defaultBodyBytes + random.IntN(defaultBodyBytes)); err != nil {
			r.violate("desired state: %v", err)
		}
		time.Sleep(upTo(random, maxChangePause))
	}
}

func (r *rig) disturbTarget(kind Kind, target *disturbedTarget, random *rand.Rand) {
	switch kind {
	case TargetSilent:
		target.SetFaults(rattansite.TargetFaults{Silent: true})
		time.Sleep(upTo(random, maxSilence))
	case AnswersLost:
		target.SetFaults(rattansite.TargetFaults{LostAnswerRate: lostShare})
		time.Sleep(upTo(random, maxFaultTime))
	case RequestsDelayed:
		target.SetFaults(rattansite.TargetFaults{DelayRate: lostShare, Delay: minDelay, MaxDelay: maxDelay})
		time.Sleep(upTo(random, maxFaultTime))
	case RequestOutlivesTarget:
		hold := rattansite.Hold{Call: rattansite.CallStart, MinDuration: maxRestartDelay, Restarts: 1}
		if random.IntN(4) == 0 {
			hold = rattansite.Hold{Call: rattansite.CallRenewal, MinAcknowledged: 1, Restarts: 1, AtRunEnd: true}
		}
		target.HoldNext(hold)
		for deadline := time.Now().Add(maxHoldTime); target.HeldCalls() == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		target.CancelHolds()
		r.record("%s keeps %d calls back", target.name, target.HeldCalls())
		time.Sleep(minDelay + upTo(random, maxRestartDelay-minDelay))
		r.restart(target, random)
	default:
		r.restart(target, random)
	}
	target.SetFaults(rattansite.TargetFaults{})
}

// restart crashes a target and lets it return.
func (r *rig) restart(target *disturbedTarget, random *rand.Rand) {
	target.Crash()
	time.Sleep(upTo(random, maxTargetDown))
	target.Return()
	r.record("%s has returned", target.name)
}

func (r *rig) disturbStore(random *rand.Rand) {
	outages := []rattansite.Outage{rattansite.OutageRefusing, rattansite.OutageSilent, rattansite.OutageLosingResponses}
	outage := outages[random.IntN(len(outages))]
	set := r.deployment.Store.SetOutage
	if i := random.IntN(2 * len(r.instances)); i < len(r.instances) {
		set = func(outage rattansite.Outage) { r.deployment.Store.SetOutageAt(r.instances[i].StoreAddress, outage) }
	}
	set(outage)
	time.Sleep(upTo(random, maxOutage))
	set(rattansite.OutageNone)
	r.record("%v ends", StoreAway)
}
