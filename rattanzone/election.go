package rattanzone

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// discoveryTime is how long a starting instance looks for peers before it
	// claims a zone whose home it does not know. It exceeds the interval at
	// which a home sends heartbeats to all members, as the directory may list
	// nobody just after the zone was cut off from it.
	discoveryTime = 800 * time.Millisecond
	// peerDiscoveryTime is the same if some member of the zone answers and
	// knows no home either, directoryDiscoveryTime if the directory has been
	// read too.
	peerDiscoveryTime      = 400 * time.Millisecond
	directoryDiscoveryTime = 200 * time.Millisecond
	// rankDelay is the time that an instance waits before it claims the zone,
	// for each answering member that is preferred to it as home.
	rankDelay = 250 * time.Millisecond
	// probeTimeout bounds the heartbeats that find out which members answer.
	probeTimeout = 100 * time.Millisecond
	// minElectionBackoff is how long an instance stays out of the election
	// after it was deposed by a home that it cannot reach. The time doubles
	// with each further deposition, up to maxElectionBackoff.
	minElectionBackoff = 2 * time.Second
	maxElectionBackoff = 8 * time.Second
)

// ErrShuttingDown reports that an instance cannot take over the zone because it
// is shutting down.
const ErrShuttingDown = errors.ConstError("cannot take over the zone: instance is shutting down")

// runElection looks for a home of the zone. If none is found, it claims the
// zone once the delay for the rank of this instance among the answering members
// has passed.
func (a *Agent) runElection(now time.Time) {
	views := a.probeZone()
	a.mutex.Lock()
	missingSince := a.homeMissingSince
	rank := 0
	for _, view := range views {
		if view.Sender.Precedes(&a.config.Self) {
			rank++
		}
	}
	wait := time.Duration(rank) * rankDelay
	homeKnown := a.homes[a.config.Self.Zone] != nil
	switch {
	case homeKnown:
	case len(views) == 0:
		wait += discoveryTime
	case a.directoryRead:
		wait += directoryDiscoveryTime
	default:
		wait += peerDiscoveryTime
	}
	mayClaim := !missingSince.IsZero() && !a.terminating && now.Sub(missingSince) >= wait && !now.Before(a.electionBackoffUntil) && a.mayStartJobs(now) && !a.homeReachableByPeer(views)
	a.mutex.Unlock()
	if mayClaim {
		a.claimZone("no home answers", now)
	}
}

// homeReachableByPeer reports whether another member has recently heard from
// the home that does not answer this instance.
func (a *Agent) homeReachableByPeer(views map[string]View) bool {
	home := a.homes[a.config.Self.Zone]
	if home == nil {
		return false
	}
	for _, view := range views {
		for _, claim := range view.Claims {
			if claim.Zone == a.config.Self.Zone && claim.FencingToken >= home.claim.FencingToken && claim.Age < silenceTimeout {
				return true
			}
		}
	}
	return false
}

// probeZone sends a heartbeat to all members of the zone, to the seeds, and to the
// homes of other zones, which may know of start requests of the former home. It
// returns the views of the members of the zone that answer and are not shutting down.
func (a *Agent) probeZone() map[string]View {
	addresses := map[string]bool{}
	for _, m := range a.zoneMembers() {
		addresses[m.Address] = true
	}
	for _, seed := range a.config.Seeds() {
		addresses[seed] = true
	}
	for _, address := range a.remoteHomes(a.config.Clock()) {
		addresses[address] = true
	}
	delete(addresses, a.config.Self.Address)
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	body := mustMarshal(a.view())
	var mutex sync.Mutex
	views := map[string]View{}
	var group sync.WaitGroup
	for address := range addresses {
		group.Go(func() {
			answer, err := a.config.Peers.Call(ctx, address, methodHeartbeat, body)
			if err != nil {
				return
			}
			view, err := decodeView(answer)
			if err != nil {
				return
			}
			a.merge(view)
			if view.Sender.Zone != a.config.Self.Zone || view.Terminating || view.Sender.Name == a.config.Self.Name {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			views[view.Sender.Name] = *view
		})
	}
	group.Wait()
	return views
}

// claimZone makes this instance the home of its zone.
func (a *Agent) claimZone(reason string, now time.Time) {
	a.mutex.Lock()
	if a.localHome != nil || a.terminating {
		a.mutex.Unlock()
		return
	}
	self := a.config.Self
	claim := Claim{Zone: self.Zone, Name: self.Name, Address: self.Address, FencingToken: a.nextFencingToken(now)}
	a.homes[self.Zone] = &homeRecord{claim: claim, lastHeard: now}
	a.homeMissingSince = time.Time{}
	a.localHome = a.config.NewHome(claim.FencingToken)
	localHome := a.localHome
	a.lastZoneHeartbeat = time.Time{}
	a.notifyHomeChange()
	a.mutex.Unlock()
	a.config.Journal.HomeChanged(claim, reason)
	a.tellNewHome(localHome, now)
	localHome.UpdateTargets(a.config.Inventory.ZoneTargets(self.Zone, now), false)
	a.config.Inventory.RequestRefresh(now)
	a.sendHomeHeartbeats(now)
}

// nextFencingToken returns a token that is higher than all known ones and that
// no other instance uses. The high part is the time in milliseconds, in units
// of rattanhome.FencingTokenStep; the low part is the number of the instance.
// The high part also exceeds that of the previous home by more than
// rattanhome.MaxTokenIncrements, the number of times that home may have raised
// its token. The token stays below 2^53, so that JSON numbers represent it
// exactly. The caller holds the mutex.
func (a *Agent) nextFencingToken(now time.Time) int64 {
	number := instanceNumber(a.config.Self.Address)
	step := now.UnixMilli()
	if home := a.homes[a.config.Self.Zone]; home != nil {
		step = max(step, home.claim.FencingToken/rattanhome.FencingTokenStep+rattanhome.MaxTokenIncrements+1)
	}
	return step*rattanhome.FencingTokenStep + number
}

// instanceNumber returns the low bits of the IPv4 address in HOST:PORT form, 0
// if the host is not an IPv4 address.
func instanceNumber(address string) int64 {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return 0
	}
	return (int64(ip[2])<<8 | int64(ip[3])) % rattanhome.FencingTokenStep
}

// refreshLocalClaim updates the time and the load of the claim of the local
// home.
func (a *Agent) refreshLocalClaim(load rattanhome.Load, fencingToken int64, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	home := a.homes[a.config.Self.Zone]
	if home != nil && home.claim.FencingToken == fencingToken {
		home.lastHeard = now
		home.claim.Load = load
	}
}

// stepDownIfDeposed gives up the local home if a target has reported a higher
// fencing token, and starts the election backoff.
func (a *Agent) stepDownIfDeposed() {
	localHome := a.LocalHome()
	if localHome == nil {
		return
	}
	select {
	case <-localHome.Deposed():
	default:
		return
	}
	now := a.config.Clock()
	a.closeHome(localHome, now)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.localHome != localHome {
		return
	}
	a.localHome = nil
	a.homeMissingSince = now
	a.electionBackoff = min(max(minElectionBackoff, 2*a.electionBackoff), maxElectionBackoff)
	a.electionBackoffUntil = now.Add(a.electionBackoff)
	a.notifyHomeChange()
}

// Resign hands the zone over to another member before this instance stops. It asks
// no further member once ctx has ended.
func (a *Agent) Resign(ctx context.Context) {
	a.mutex.Lock()
	a.terminating = true
	localHome := a.localHome
	a.mutex.Unlock()
	if localHome == nil {
		return
	}
	for _, successor := range a.successors() {
		if ctx.Err() != nil || a.handOver(ctx, successor) == nil {
			return
		}
	}
}

// successors returns the members of the zone that could become its home, best
// first. Members on slow machines are left out, unless there are no others.
func (a *Agent) successors() []rattanwork.Member {
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var members, slowMembers []rattanwork.Member
	for _, m := range a.members {
		switch {
		case m.Zone != a.config.Self.Zone || m.terminating || now.Sub(m.lastHeard) >= silenceTimeout:
		case m.slow:
			slowMembers = append(slowMembers, m.Member)
		default:
			members = append(members, m.Member)
		}
	}
	if len(members) == 0 {
		members = slowMembers
	}
	slices.SortFunc(members, func(x, y rattanwork.Member) int {
		if x.Precedes(&y) {
			return -1
		}
		return 1
	})
	return members
}

// handOver asks a member to become the home in place of this instance.
func (a *Agent) handOver(ctx context.Context, successor rattanwork.Member) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	body, err := a.config.Peers.Call(ctx, successor.Address, methodTakeOver, mustMarshal(a.view()))
	if err != nil {
		return err
	}
	view, err := decodeView(body)
	if err != nil {
		return errors.Annotate(err, successor.Name)
	}
	a.merge(view)
	return nil
}

// handOverIfMorePowerful hands the zone over to a member on a much more
// powerful machine, if there is one.
func (a *Agent) handOverIfMorePowerful() {
	successors := a.successors()
	if len(successors) == 0 || !muchMorePowerful(&successors[0], &a.config.Self) {
		return
	}
	// On failure this instance stays the home and tries again.
	_ = a.handOver(a.ctx, successors[0])
}

func muchMorePowerful(candidate, home *rattanwork.Member) bool {
	return candidate.MilliCPU > home.MilliCPU && candidate.MilliCPU*handOverDenominator >= home.MilliCPU*handOverNumerator
}

// A home hands over to a machine with at least 3/2 of its own processor share.
const (
	handOverNumerator   = 3
	handOverDenominator = 2
)

// handleTakeOver claims the zone at the request of its current home.
func (a *Agent) handleTakeOver(_ context.Context, sender string, body []byte) ([]byte, error) {
	view, err := decodeView(body)
	if err != nil {
		return nil, err
	}
	a.merge(view)
	a.mutex.Lock()
	terminating := a.terminating
	a.mutex.Unlock()
	if terminating {
		return nil, ErrShuttingDown
	}
	a.claimZone("handed over by "+sender, a.config.Clock())
	return mustMarshal(a.view()), nil
}
