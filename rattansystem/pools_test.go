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
	testPools = 3
	testQuota = 18
)

// startPools starts a zone of three pools with about 16 slots each and two
// instances without a pool.
func startPools(c *qt.C) *rattansystem.System {
	made := document()
	made.Callers["limited"] = rattanconfig.Caller{Weight: 1, Quota: testQuota}
	c.Cleanup(func() { c.Check(reportedViolations(), qt.HasLen, 0) })
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: testPools + 2,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 24, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 2, Echo: true}}},
		Document:       made,
		AdjustSettings: func(settings *rattansettings.Settings) { settings.Home.PoolSlots = 16 },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	waitFor(c, 20*time.Second, "a home of each pool", func() bool { return poolsOwned(system) })
	return system
}

// poolsOwned reports whether all running instances name the same home of each
// pool, and no home knows another number of pools.
func poolsOwned(system *rattansystem.System) bool {
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
	if len(epochs) != testPools {
		return false
	}
	for _, count := range epochs {
		if count != running {
			return false
		}
	}
	return true
}

// homeOf returns the running instance that owns the pool.
func homeOf(system *rattansystem.System, pool int) *rattansystem.Entry {
	for _, entry := range system.Entries() {
		own, _, owned := entry.Instance.Membership.Pool(time.Now())
		if owned && own == pool && !entry.Killed() {
			return entry
		}
	}
	return nil
}

// Guards I1 to I4 in a zone with several pools while the home of one pool dies:
// the jobs of the other pools complete, those of the dead home are answered as
// lost, and resubmissions through other fronts start nothing twice.
func TestPoolsOfOneZone(t *testing.T) {
	c := qt.New(t)
	system := startPools(c)
	history := rattancheck.NewHistory()
	victim := homeOf(system, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	clients := poolClients(system, victim)
	random := rand.New(rand.NewPCG(1, 1))
	var jobs sync.WaitGroup
	var mutex sync.Mutex
	answers := map[rattanjob.Reason]int{}
	for i := range 150 {
		if i == 60 {
			system.Kill(victim)
		}
		time.Sleep(20 * time.Millisecond)
		first, second := clients[random.IntN(len(clients))], clients[random.IntN(len(clients))]
		keys, err := first.Keys(ctx, 1)
		c.Assert(err, qt.IsNil)
		sent := submission(keys[0], 1+random.IntN(12), 40*time.Millisecond)
		history.Submitted(sent)
		for _, client := range []*rattanclient.Client{first, second} {
			jobs.Go(func() {
				asked := time.Now()
				answer, err := client.SubmitAndWait(ctx, sent)
				if !c.Check(err, qt.IsNil) {
					return
				}
				history.Answered(sent.Key, asked, time.Now(), answer)
				lost := answer.Reason == rattanjob.ReasonHomeLost && sent.Key.Epoch.Home.Instance == victim.Name
				c.Check(answer.State == rattanjob.StateComplete || lost, qt.IsTrue, qt.Commentf("%+v", answer))
				mutex.Lock()
				answers[answer.Reason]++
				mutex.Unlock()
			})
		}
	}
	jobs.Wait()
	c.Logf("answers by reason %v", answers)
	c.Check(history.Check(system.Starts()), qt.HasLen, 0)
	waitFor(c, 5*time.Second, "a new home of the pool", func() bool { return poolsOwned(system) })
	used := map[int]bool{}
	for id := range system.Starts() {
		for _, start := range system.Log.Times(id) {
			used[rattanentry.PoolOf(start.Target, testPools)] = true
		}
	}
	c.Check(used, qt.HasLen, testPools)
}

// poolClients returns a client of each instance but one.
func poolClients(system *rattansystem.System, but *rattansystem.Entry) []*rattanclient.Client {
	var clients []*rattanclient.Client
	for _, entry := range system.Entries() {
		if entry != but {
			clients = append(clients, rattanclient.New(rattanclient.Config{Addresses: []string{entry.Instance.CallerAddress()}, Caller: "app"}))
		}
	}
	return clients
}

// Guards the use of other pools' idle slots: a job of more tasks than its pool
// has slots must not need as many rounds as the pool alone, and the loans must
// not start a task twice.
func TestBurstBorrowsSlotsOfOtherPools(t *testing.T) {
	c := qt.New(t)
	system := startPools(c)
	home := homeOf(system, 1)
	waitFor(c, 10*time.Second, "lenders of the other pools", func() bool {
		return len(home.Instance.LoadExchange.Lenders(time.Now(), "planner")) == testPools-1
	})
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	key := keyOf(ctx, c, client, home.Name)
	own := home.Instance.Home.Load(time.Now()).Pool.Slots
	const tasks, runTime = 42, 400 * time.Millisecond
	rounds := (tasks + own - 1) / own
	sent := submission(key, tasks, runTime)
	history.Submitted(sent)
	asked := time.Now()
	answer, err := client.SubmitAndWait(ctx, sent)
	took := time.Since(asked)
	c.Assert(err, qt.IsNil)
	history.Answered(sent.Key, asked, time.Now(), answer)
	c.Assert(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
	c.Assert(history.Check(system.Starts()), qt.HasLen, 0)
	c.Logf("%d slots of %d, %d rounds alone, took %v", own, 48, rounds, took)
	c.Assert(rounds > 1, qt.IsTrue)
	c.Assert(took < time.Duration(rounds)*runTime, qt.IsTrue)
}

// keyOf returns a key that names the home.
func keyOf(ctx context.Context, c *qt.C, client *rattanclient.Client, home string) rattanjob.Key {
	for ctx.Err() == nil {
		keys, err := client.Keys(ctx, 2*testPools)
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

// Guards against quotas that are exceeded, or left unused, over the pools of a
// zone while demand moves between them and the aggregator dies: the parts add up
// to at most the quota and one slot for each home, and most of the quota moves to
// the only pool with demand.
func TestQuotaOverPools(t *testing.T) {
	c := qt.New(t)
	system := startPools(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exceeded := func() bool {
		sum := 0
		for pool := range testPools {
			sum += partOf(homeOf(system, pool))
		}
		return sum > testQuota+testPools
	}
	// Homes that start at the same time and do not know each other yet are not
	// connected, and each takes the whole quota.
	waitFor(c, 10*time.Second, "the homes to share the quota", func() bool { return !exceeded() })
	for _, pool := range []int{1, 2} {
		home := homeOf(system, pool)
		client := rattanclient.New(rattanclient.Config{Addresses: []string{home.Instance.CallerAddress()}, Caller: "limited"})
		asking, stop := context.WithCancel(ctx)
		key := keyOf(ctx, c, client, home.Name)
		// 100 tasks of 10 s keep the demand up while the parts move.
		go func() { _, _ = client.Submit(asking, submission(key, 100, 10*time.Second), 30*time.Second) }()
		took := waitFor(c, 15*time.Second, "the quota at the pool with demand", func() bool {
			c.Check(exceeded(), qt.IsFalse)
			return partOf(home) > testQuota*3/4
		})
		c.Logf("pool %d has most of the quota after %v", pool, took)
		_, err := client.Cancel(ctx, key)
		c.Assert(err, qt.IsNil)
		stop()
		if pool == 1 {
			system.Kill(homeOf(system, 0))
		}
	}
}

// partOf returns the part of the quota that a home may use; 0 without a home.
func partOf(home *rattansystem.Entry) int {
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
