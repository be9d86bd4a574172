package rattansystem_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

const (
	poolCount   = 3
	callerQuota = 18
)

// startSystemWithPools starts a zone with three pools of about 16 slots each and two
// instances that own no pool.
func startSystemWithPools(c *qt.C) *rattansystem.System {
	document := testDocument()
	document.Callers["limited"] = rattanconfig.Caller{Weight: 1, Quota: callerQuota}
	c.Cleanup(func() { c.Check(reportedViolations(), qt.HasLen, 0) })
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: poolCount + 2,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 24, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 2, Echo: true}}},
		Document:       document,
		AdjustSettings: func(settings *rattansettings.Settings) { settings.Home.PoolSlots = 16 },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	waitFor(c, 20*time.Second, "a home of each pool", func() bool { return allPoolsOwned(system) })
	return system
}

// allPoolsOwned reports whether all running instances agree on the number of pools
// and on the home of each pool.
func allPoolsOwned(system *rattansystem.System) bool {
	epochs := map[rattanjob.EpochID]int{}
	running := 0
	for _, entry := range system.Entries() {
		if entry.Killed() {
			continue
		}
		running++
		for _, owner := range entry.Instance.Membership.Owners(time.Now()) {
			epochs[owner.Epoch.ID]++
		}
	}
	if len(epochs) != poolCount {
		return false
	}
	for _, count := range epochs {
		if count != running {
			return false
		}
	}
	return true
}

// poolHome returns the running instance that owns the pool.
func poolHome(system *rattansystem.System, pool int) *rattansystem.Entry {
	for _, entry := range system.Entries() {
		own, _, owned := entry.Instance.Membership.Pool(time.Now())
		if owned && own == pool && !entry.Killed() {
			return entry
		}
	}
	return nil
}

// TestHomeFailureWithSeveralPools guards against violations of the invariants I1 to
// I4 in a zone with several pools when the home of one pool is killed: the jobs of
// other pools must complete, those of the killed home may be answered with HomeLost,
// and resubmissions through other instances must not start a task twice.
func TestHomeFailureWithSeveralPools(t *testing.T) {
	c := qt.New(t)
	system := startSystemWithPools(c)
	history := rattancheck.NewHistory()
	killedHome := poolHome(system, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	clients := clientsExcept(system, killedHome)
	random := rand.New(rand.NewPCG(1, 1))
	var jobs sync.WaitGroup
	var mutex sync.Mutex
	answers := map[rattanjob.Reason]int{}
	for i := range 150 {
		if i == 60 {
			system.Kill(killedHome)
		}
		time.Sleep(20 * time.Millisecond)
		first, second := clients[random.IntN(len(clients))], clients[random.IntN(len(clients))]
		keys, err := first.Keys(ctx, 1)
		c.Assert(err, qt.IsNil)
		submission := newSubmission(keys[0], 1+random.IntN(12), 40*time.Millisecond)
		history.Submitted(submission)
		for _, client := range []*rattanclient.Client{first, second} {
			jobs.Go(func() {
				sentAt := time.Now()
				answer, err := client.SubmitAndWait(ctx, submission)
				if !c.Check(err, qt.IsNil) {
					return
				}
				history.Answered(submission.Key, sentAt, time.Now(), answer)
				lost := answer.Reason == rattanjob.ReasonHomeLost && submission.Key.Epoch.Home.Instance == killedHome.Name
				c.Check(answer.State == rattanjob.StateComplete || lost, qt.IsTrue, qt.Commentf("%+v", answer))
				mutex.Lock()
				answers[answer.Reason]++
				mutex.Unlock()
			})
		}
	}
	jobs.Wait()
	c.Logf("answers by reason %v", answers)
	c.Check(history.Check(system.StartsPerTask()), qt.HasLen, 0)
	waitFor(c, 5*time.Second, "a new home of the pool", func() bool { return allPoolsOwned(system) })
	usedPools := map[int]bool{}
	for id := range system.StartsPerTask() {
		for _, start := range system.StartLog.TaskStarts(id) {
			usedPools[rattanentry.PoolOf(start.Target, poolCount)] = true
		}
	}
	c.Check(usedPools, qt.HasLen, poolCount)
}

// clientsExcept returns a client for each instance except one.
func clientsExcept(system *rattansystem.System, excluded *rattansystem.Entry) []*rattanclient.Client {
	var clients []*rattanclient.Client
	for _, entry := range system.Entries() {
		if entry != excluded {
			clients = append(clients, rattanclient.New(rattanclient.Config{Addresses: []string{entry.Instance.CallerAddress()}, Caller: "app"}))
		}
	}
	return clients
}

// TestBurstBorrowsSlotsOfOtherPools guards against a job with more tasks than its
// pool has slots that takes as long as without borrowed slots of other pools, and
// against loans that start a task twice.
func TestBurstBorrowsSlotsOfOtherPools(t *testing.T) {
	c := qt.New(t)
	system := startSystemWithPools(c)
	home := poolHome(system, 1)
	waitFor(c, 10*time.Second, "lenders of the other pools", func() bool {
		return len(home.Instance.LoadExchange.Lenders(time.Now(), "planner")) == poolCount-1
	})
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	key := keyForHome(ctx, c, client, home.Name)
	ownSlots := home.Instance.Home.Load(time.Now()).Pool.Slots
	const tasks, runTime = 42, 400 * time.Millisecond
	rounds := (tasks + ownSlots - 1) / ownSlots
	submission := newSubmission(key, tasks, runTime)
	history.Submitted(submission)
	elapsed := completeJob(ctx, c, client, history, submission)
	c.Assert(history.Check(system.StartsPerTask()), qt.HasLen, 0)
	c.Logf("%d of %d slots, %d rounds without borrowed slots, took %v", ownSlots, 48, rounds, elapsed)
	c.Assert(rounds > 1, qt.IsTrue)
	c.Assert(elapsed < time.Duration(rounds)*runTime, qt.IsTrue)
}

// keyForHome returns a key that the given home issued.
func keyForHome(ctx context.Context, c *qt.C, client *rattanclient.Client, home string) rattanjob.Key {
	for ctx.Err() == nil {
		keys, err := client.Keys(ctx, 2*poolCount)
		c.Assert(err, qt.IsNil)
		for _, key := range keys {
			if key.Epoch.Home.Instance == home {
				return key
			}
		}
	}
	c.Fatalf("no key of %s", home)
	return rattanjob.Key{}
}

// TestQuotaAcrossPools guards against a quota that is exceeded or left unused across
// the pools of a zone when demand moves between pools and the aggregator is killed.
// The shares must add up to at most the quota plus one slot for each home, and most
// of the quota must move to the only pool with demand.
func TestQuotaAcrossPools(t *testing.T) {
	c := qt.New(t)
	system := startSystemWithPools(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exceeded := func() bool {
		total := 0
		for pool := range poolCount {
			total += quotaShare(poolHome(system, pool))
		}
		return total > callerQuota+poolCount
	}
	// Homes that start at the same time and do not know each other yet each use
	// the whole quota.
	waitFor(c, 10*time.Second, "the homes to share the quota", func() bool { return !exceeded() })
	for _, pool := range []int{1, 2} {
		home := poolHome(system, pool)
		client := rattanclient.New(rattanclient.Config{Addresses: []string{home.Instance.CallerAddress()}, Caller: "limited"})
		submitCtx, cancelSubmit := context.WithCancel(ctx)
		key := keyForHome(ctx, c, client, home.Name)
		// 100 tasks of 10 s keep up the demand until the shares have moved.
		go func() { _, _ = client.Submit(submitCtx, newSubmission(key, 100, 10*time.Second), 30*time.Second) }()
		elapsed := waitFor(c, 15*time.Second, "most of the quota at the pool with demand", func() bool {
			c.Check(exceeded(), qt.IsFalse)
			return quotaShare(home) > callerQuota*3/4
		})
		c.Logf("pool %d has most of the quota after %v", pool, elapsed)
		_, err := client.Cancel(ctx, key)
		c.Assert(err, qt.IsNil)
		cancelSubmit()
		if pool == 1 {
			system.Kill(poolHome(system, 0))
		}
	}
}

// quotaShare returns the part of the quota that a home may use, or 0 if home is nil.
func quotaShare(home *rattansystem.Entry) int {
	if home == nil {
		return 0
	}
	for _, caller := range home.Instance.LoadExchange.Callers(time.Now(), home.Instance.Configuration.Document()) {
		if caller.Name == "limited" {
			return caller.Quota
		}
	}
	return 0
}
