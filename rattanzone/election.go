package rattanzone

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// settleTime is how long a starting instance looks for peers before it
	// claims a zone that it knows no home of.
	settleTime = 400 * time.Millisecond
	// rankDelay is how long each instance waits for the one before it.
	rankDelay = 250 * time.Millisecond
	// rankTimeout bounds the beats that find out which members answer.
	rankTimeout = 100 * time.Millisecond
	// barFirst is how long an instance that was deposed by a home which it
	// cannot reach does not compete with it; each time it doubles.
	barFirst   = 2 * time.Second
	barLongest = 8 * time.Second
)

// ErrNotReady says that an instance cannot take a zone over.
const ErrNotReady = errors.ConstError("cannot take over")

// electionRound looks for a home of the zone and claims it if this instance
// is the first of those that answer.
func (a *Agent) electionRound(now time.Time) {
	answering := a.probeZone()
	a.mutex.Lock()
	vacant := a.vacant
	rank := 0
	for _, view := range answering {
		if view.Sender.Precedes(&a.config.Self) {
			rank++
		}
	}
	wait := time.Duration(rank) * rankDelay
	known := a.homes[a.config.Self.Zone] != nil
	if !known {
		wait += settleTime
	}
	mayClaim := !vacant.IsZero() && !a.terminating && now.Sub(vacant) >= wait && !now.Before(a.barredUntil) && !a.heardByOthers(answering)
	a.mutex.Unlock()
	if mayClaim {
		a.claim("no home answers", now)
	}
}

// heardByOthers reports whether a member still hears the home that this
// instance misses.
func (a *Agent) heardByOthers(answering map[string]View) bool {
	b := a.homes[a.config.Self.Zone]
	if b == nil {
		return false
	}
	for _, view := range answering {
		for _, claim := range view.Claims {
			if claim.Zone == a.config.Self.Zone && claim.Fence >= b.claim.Fence && claim.Age < silenceLimit {
				return true
			}
		}
	}
	return false
}

// probeZone beats all members of the zone and the seeds, and returns the views
// of the members of the zone that answer and do not shut down.
func (a *Agent) probeZone() map[string]View {
	addresses := map[string]bool{}
	for _, m := range a.zoneMembers() {
		addresses[m.Address] = true
	}
	for _, seed := range a.config.Seeds() {
		addresses[seed] = true
	}
	delete(addresses, a.config.Self.Address)
	ctx, cancel := context.WithTimeout(a.ctx, rankTimeout)
	defer cancel()
	body := encode(a.view())
	var mutex sync.Mutex
	views := map[string]View{}
	var group sync.WaitGroup
	for address := range addresses {
		group.Go(func() {
			answer, err := a.config.Peers.Call(ctx, address, methodBeat, body)
			if err != nil {
				return
			}
			var view View
			if json.Unmarshal(answer, &view) != nil {
				return
			}
			a.merge(&view)
			if view.Sender.Zone != a.config.Self.Zone || view.Terminating || view.Sender.Name == a.config.Self.Name {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			views[view.Sender.Name] = view
		})
	}
	group.Wait()
	return views
}

// claim makes this instance the home of its zone.
func (a *Agent) claim(reason string, now time.Time) {
	a.mutex.Lock()
	if a.own != nil || a.terminating {
		a.mutex.Unlock()
		return
	}
	self := a.config.Self
	claim := Claim{Zone: self.Zone, Name: self.Name, Address: self.Address, Fence: a.nextFence(now)}
	a.homes[self.Zone] = &belief{claim: claim, heard: now}
	a.vacant = time.Time{}
	a.own = a.config.NewHome(claim.Fence)
	own := a.own
	a.lastZone = time.Time{}
	a.notify()
	a.mutex.Unlock()
	a.config.Journal.HomeChanged(claim, reason)
	own.UpdateTargets(a.config.Inventory.Zone(self.Zone), false)
	a.config.Inventory.Kick()
	a.homeRound(now)
}

// nextFence returns a token above all known ones that no other instance uses:
// the time in milliseconds, as steps, and the number of the instance below. It
// stays below 2^53, which JSON numbers hold exactly. The caller holds the
// mutex.
func (a *Agent) nextFence(now time.Time) int64 {
	number := instanceNumber(a.config.Self.Address)
	steps := now.UnixMilli()
	if b := a.homes[a.config.Self.Zone]; b != nil {
		steps = max(steps, b.claim.Fence/rattanhome.FencingTokenStep+rattanhome.MaxTokenIncrements+1)
	}
	return steps*rattanhome.FencingTokenStep + number
}

// instanceNumber returns the low bits of the instance's IP number.
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

// touchOwn keeps the own claim fresh.
func (a *Agent) touchOwn(load rattanhome.Load, fence int64, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b := a.homes[a.config.Self.Zone]
	if b != nil && b.claim.Fence == fence {
		b.heard = now
		b.claim.Load = load
	}
}

// checkOwn gives up a home that a target has deposed.
func (a *Agent) checkOwn() {
	own := a.Own()
	if own == nil {
		return
	}
	select {
	case <-own.Deposed():
	default:
		return
	}
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.own != own {
		return
	}
	a.own = nil
	a.vacant = now
	a.barred = min(max(barFirst, 2*a.barred), barLongest)
	a.barredUntil = now.Add(a.barred)
	a.notify()
}

// Resign hands the zone to another member before this instance stops.
func (a *Agent) Resign(ctx context.Context) {
	a.mutex.Lock()
	a.terminating = true
	own := a.own
	a.mutex.Unlock()
	if own == nil {
		return
	}
	for _, successor := range a.successors() {
		if a.handOver(ctx, successor) == nil {
			return
		}
	}
}

// successors returns the members of the zone that may become its home, the
// best first.
func (a *Agent) successors() []rattanwork.Member {
	now := a.config.Clock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var list []rattanwork.Member
	for _, m := range a.members {
		if m.Zone == a.config.Self.Zone && !m.terminating && now.Sub(m.heard) < silenceLimit {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(x, y rattanwork.Member) int {
		if x.Precedes(&y) {
			return -1
		}
		return 1
	})
	return list
}

// handOver asks a member to become the home in place of this instance.
func (a *Agent) handOver(ctx context.Context, successor rattanwork.Member) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	body, err := a.config.Peers.Call(ctx, successor.Address, methodTakeOver, encode(a.view()))
	if err != nil {
		return err
	}
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return errors.Annotatef(err, "view of %s", successor.Name)
	}
	a.merge(&view)
	return nil
}

// yield hands the zone to a member on a much more powerful machine.
func (a *Agent) yield() {
	list := a.successors()
	if len(list) == 0 || !muchMorePowerful(&list[0], &a.config.Self) {
		return
	}
	// On failure this instance stays the home and tries again.
	_ = a.handOver(a.ctx, list[0])
}

func muchMorePowerful(candidate, home *rattanwork.Member) bool {
	return candidate.MilliCPU > home.MilliCPU && candidate.MilliCPU*yieldDenominator >= home.MilliCPU*yieldNumerator
}

// A home yields to a machine with at least 3/2 of its processor share.
const (
	yieldNumerator   = 3
	yieldDenominator = 2
)

// onTakeOver claims the zone because its home shuts down.
func (a *Agent) onTakeOver(_ context.Context, sender string, body []byte) ([]byte, error) {
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, errors.Annotate(err, "view")
	}
	a.merge(&view)
	a.mutex.Lock()
	terminating := a.terminating
	a.mutex.Unlock()
	if terminating {
		return nil, ErrNotReady
	}
	a.claim("handed over by "+sender, a.config.Clock())
	return encode(a.view()), nil
}
