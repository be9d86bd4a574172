package rattansystem_test

import (
	"context"
	"math"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

// Guards against jobs that fail at their deadline because the connection of a
// dispatch went silent: the task is queried and settled on a new connection.
func TestSilentTargetConnections(t *testing.T) {
	for _, silence := range []rattanstandin.Silence{rattanstandin.SilenceResponses, rattanstandin.SilenceBoth} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			system := startSystem(c, "buda")
			history := rattancheck.NewHistory()
			client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			keys, err := client.Keys(ctx, 20)
			c.Assert(err, qt.IsNil)
			// The first jobs leave idle connections behind; some of the others
			// are in progress when all connections go silent, and the rest is
			// dispatched on silent connections.
			var jobs sync.WaitGroup
			for i, key := range keys {
				sent := submission(key, 8, 50*time.Millisecond)
				history.Submitted(sent)
				jobs.Go(func() {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					asked := time.Now()
					answer, err := client.Do(ctx, sent)
					c.Check(err, qt.IsNil)
					c.Check(answer.State, qt.Equals, rattanjob.StateComplete, qt.Commentf("%+v", answer))
					history.Answered(key, asked, time.Now(), answer)
				})
			}
			time.Sleep(200 * time.Millisecond)
			for _, target := range system.Fleets[0].Targets {
				target.Silence(silence)
			}
			jobs.Wait()
			c.Assert(history.Check(system.Starts()), qt.HasLen, 0)
		})
	}
}

// leaveBound is the target value of section 2: a leaving target gets no new
// work after 3 s.
const leaveBound = 3 * time.Second

// Guards I6, also when the connections to the platform have gone silent. While
// the list is not read the check must fail.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence rattanstandin.Silence
		outage  rattanstandin.Outage
		late    bool
	}{
		{name: "sound"},
		{name: "silent connections", silence: rattanstandin.SilenceBoth},
		{name: "list not read", outage: rattanstandin.OutageUnavailable, late: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			system := startSystem(c, "buda")
			load := startLoad(system, "buda", 20, 4, 20*time.Millisecond)
			target := system.Fleets[0].Targets[0]
			waitFor(c, 5*time.Second, "starts at the target", func() bool { return !lastStart(system, target.Name()).IsZero() })
			system.Platform.SetFaults(rattanstandin.Faults{Outage: test.outage})
			if test.silence != rattanstandin.SilenceNone {
				system.Platform.SilenceConnections(test.silence)
			}
			left := time.Now()
			system.Platform.ChangeInstances(rattanstandin.InstanceChange{Leave: []string{target.Name()}})
			time.Sleep(leaveBound + 700*time.Millisecond)
			load.stop()
			last := lastStart(system, target.Name()).Sub(left)
			c.Logf("last start %v after the target began to leave", last)
			c.Check(last > leaveBound, qt.Equals, test.late)
			c.Check(load.history.Check(system.Starts()), qt.HasLen, 0)
		})
	}
}

// Guards against a home that drops its targets because the platform serves an
// empty or much shorter instance list for a while, and against a leaving target
// that gets new work because the list that says so is short.
func TestFaultyInstanceList(t *testing.T) {
	for _, test := range []struct {
		name    string
		missing float64
	}{
		{"empty", 1},
		{"half", 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			system := startSystem(c, "buda")
			load := startLoad(system, "buda", 20, 4, 20*time.Millisecond)
			time.Sleep(time.Second)
			load.next()
			system.Platform.SetFaults(rattanstandin.Faults{MissingInstanceRate: test.missing})
			targets := system.Fleets[0].Targets
			left := time.Now()
			target := targets[len(targets)-1]
			system.Platform.ChangeInstances(rattanstandin.InstanceChange{Leave: []string{target.Name()}})
			time.Sleep(leaveBound + 700*time.Millisecond)
			missing := lastStart(system, targets[0].Name())
			system.Platform.SetFaults(rattanstandin.Faults{})
			load.next()
			time.Sleep(leaveBound)
			load.stop()
			faulty := load.windows[1]
			c.Check(faulty.goodput() >= goodputBound*load.windows[0].goodput(), qt.IsTrue, qt.Commentf("%+v", faulty))
			c.Check(load.history.Check(system.Starts()), qt.HasLen, 0)
			// A list that leaves the target out says nothing of its leaving.
			from := left
			if test.missing == 1 {
				from = left.Add(leaveBound + 700*time.Millisecond)
			}
			c.Check(lastStart(system, target.Name()).Sub(from) <= leaveBound, qt.IsTrue)
			c.Check(missing.Sub(left) > leaveBound, qt.IsTrue, qt.Commentf("last start at a missing target %v after the fault", missing.Sub(left)))
		})
	}
}

// lastStart returns the time of the last start at a target.
func lastStart(system *rattansystem.System, target string) time.Time {
	var last time.Time
	for id := range system.Starts() {
		for _, start := range system.Log.Times(id) {
			if start.Target == target && start.At.After(last) {
				last = start.At
			}
		}
	}
	return last
}

func waitFor(c *qt.C, timeout time.Duration, what string, condition func() bool) time.Duration {
	c.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > timeout {
			c.Fatalf("%s: not within %v", what, timeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

// load is a steady load of one availability zone's own callers. Its jobs are
// counted by the window in which they were sent.
type load struct {
	history *rattancheck.History
	done    chan struct{}
	jobs    sync.WaitGroup

	mutex   sync.Mutex
	windows []*window
}

// window counts the jobs that were sent in a time.
type window struct {
	sent, complete int
}

func (w *window) goodput() float64 {
	return float64(w.complete) / float64(w.sent)
}

// startLoad submits jobs at a rate through the instances of the zone.
func startLoad(system *rattansystem.System, zone string, perSecond, tasks int, runTime time.Duration) *load {
	made := &load{history: rattancheck.NewHistory(), done: make(chan struct{}), windows: []*window{{}}}
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(zone), Caller: "app"})
	made.jobs.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-made.done:
				return
			case <-ticker.C:
			}
			made.jobs.Go(func() { made.job(client, tasks, runTime) })
		}
	})
	return made
}

// job counts as served only if it is complete at the end, whatever the reason
// why it is not.
func (l *load) job(client *rattanclient.Client, tasks int, runTime time.Duration) {
	l.mutex.Lock()
	sentIn := l.windows[len(l.windows)-1]
	sentIn.sent++
	l.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 1)
	if err != nil {
		return
	}
	sent := submission(keys[0], tasks, runTime)
	l.history.Submitted(sent)
	asked := time.Now()
	answer, err := client.Do(ctx, sent)
	if err != nil {
		return
	}
	l.history.Answered(sent.Key, asked, time.Now(), answer)
	if answer.State == rattanjob.StateComplete {
		l.mutex.Lock()
		sentIn.complete++
		l.mutex.Unlock()
	}
}

// next begins another window.
func (l *load) next() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.windows = append(l.windows, &window{})
}

// stop ends the load and waits for the answers of all jobs.
func (l *load) stop() {
	close(l.done)
	l.jobs.Wait()
}

const (
	// inForceBound is the target value of section 2 for today's size.
	inForceBound = 2 * time.Second
	// goodputBound is the target value of section 2 for an outage of the
	// platform and for a partition, relative to the time before.
	goodputBound = 0.99
)

var threeZones = []string{"buda", "pest", "csepel"}

func revisions(system *rattansystem.System) (least uint64) {
	least = math.MaxUint64
	for _, entry := range system.Entries() {
		if !entry.Killed() {
			least = min(least, entry.Instance.Configuration.Document().Revision)
		}
	}
	return least
}

// revisionWatch finds instances whose revision falls. They are told apart by
// address, because an instance that is started again begins without a document.
type revisionWatch struct {
	highest  map[string]uint64
	reverted int
}

func (w *revisionWatch) observe(instance string, revision uint64) {
	if revision < w.highest[instance] {
		w.reverted++
	}
	w.highest[instance] = max(w.highest[instance], revision)
}

// run observes all instances at an interval until done is closed.
func (w *revisionWatch) run(system *rattansystem.System, interval time.Duration, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		for _, entry := range system.Entries() {
			w.observe(entry.Instance.CallerAddress(), entry.Instance.Configuration.Document().Revision)
		}
	}
}

// Guards the check of I8: an instance that reverts must be found.
func TestRevertedConfigurationIsFound(t *testing.T) {
	c := qt.New(t)
	watch := &revisionWatch{highest: map[string]uint64{}}
	for _, revision := range []uint64{1, 3, 3, 4} {
		watch.observe("a", revision)
		watch.observe("b", 2)
	}
	c.Assert(watch.reverted, qt.Equals, 0)
	watch.observe("a", 3)
	c.Assert(watch.reverted, qt.Equals, 1)
}

// Guards I8: each change is in force on all nine instances within 2 s and is
// never reverted, also when the connections to the platform have gone silent,
// when operators race, and for an instance that starts during an outage.
func TestConfigurationInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system := startSystem(c, threeZones...)
	done := make(chan struct{})
	watch := &revisionWatch{highest: map[string]uint64{}}
	var watching sync.WaitGroup
	watching.Go(func() { watch.run(system, time.Millisecond, done) })
	change := func(what string) {
		revision := raiseRevision(system, 2)
		c.Assert(revision > 0, qt.IsTrue, qt.Commentf("%s: change not made", what))
		took := waitFor(c, inForceBound, what, func() bool { return revisions(system) >= revision })
		c.Logf("%s: revision %d in force on %d instances after %v", what, revision, len(system.Addresses()), took)
	}
	for range 3 {
		change("plain change")
	}
	system.Platform.SilenceConnections(rattanstandin.SilenceBoth)
	change("silent connections")

	race := &injector{system: system}
	made := race.race()
	slices.Sort(made)
	c.Assert(slices.Compact(slices.Clone(made)), qt.DeepEquals, made, qt.Commentf("two operators made the same revision"))
	highest := raiseRevision(system, 3)
	waitFor(c, inForceBound, "racing operators", func() bool { return revisions(system) >= highest })

	system.Platform.SetFaults(rattanstandin.Faults{Outage: rattanstandin.OutageUnavailable})
	added, err := system.StartEntry("buda", "buda-entry-4")
	c.Assert(err, qt.IsNil)
	took := waitFor(c, 10*time.Second, "start during an outage", func() bool {
		return added.Instance.Operations.Condition(time.Now()) == rattanentry.ConditionCutOff
	})
	c.Logf("instance started during an outage is ready after %v", took)
	c.Assert(added.Instance.Configuration.Document().Revision, qt.Equals, highest)
	system.Platform.SetFaults(rattanstandin.Faults{})
	waitFor(c, 10*time.Second, "end of the outage", func() bool {
		return added.Instance.Operations.Condition(time.Now()) == rattanentry.ConditionServing
	})
	change("after the outage")
	close(done)
	watching.Wait()
	c.Assert(watch.reverted, qt.Equals, 0)
}

// Guards against waves of cancellations: each of 2,000 at once gets a true,
// final answer.
func TestWaveOfCancellations(t *testing.T) {
	c := qt.New(t)
	system := startSystem(c, "buda")
	history := rattancheck.NewHistory()
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	const jobs = 2000
	var keys []rattanjob.Key
	for len(keys) < jobs {
		more, err := client.Keys(ctx, 1000)
		c.Assert(err, qt.IsNil)
		keys = append(keys, more...)
	}
	// Half of the jobs are submitted before the wave, so that some run, some
	// wait and some are unknown when they are cancelled.
	var requests sync.WaitGroup
	for i, key := range keys {
		sent := submission(key, 1, 50*time.Millisecond)
		history.Submitted(sent)
		if i%2 == 1 {
			continue
		}
		requests.Go(func() { askOnce(ctx, history, client, sent) })
	}
	time.Sleep(100 * time.Millisecond)
	var final, cancelled atomic.Int64
	began := time.Now()
	for _, key := range keys {
		requests.Go(func() {
			asked := time.Now()
			answer, err := client.Cancel(ctx, key)
			c.Check(err, qt.IsNil)
			history.Requested(rattancheck.Request{Operation: rattancheck.OperationCancel, Key: key, Asked: asked, Received: time.Now(), Answered: err == nil, Answer: answer})
			if answer.State.Final() {
				final.Add(1)
			}
			if answer.State == rattanjob.StateCancelled {
				cancelled.Add(1)
			}
		})
	}
	requests.Wait()
	c.Logf("%d cancellations, %d final answers, %d cancelled, after %v", jobs, final.Load(), cancelled.Load(), time.Since(began))
	c.Assert(final.Load(), qt.Equals, int64(jobs))
	waitFor(c, 10*time.Second, "end of the jobs", func() bool { return system.Home("buda").Instance.Home.Jobs() == 0 })
	// Delayed submissions of cancelled jobs must not run.
	for i, key := range keys {
		if i%2 == 1 {
			requests.Go(func() { askOnce(ctx, history, client, submission(key, 1, 50*time.Millisecond)) })
		}
	}
	requests.Wait()
	c.Assert(history.Check(system.Starts()), qt.HasLen, 0)
}

// askOnce submits once and records the request.
func askOnce(ctx context.Context, history *rattancheck.History, client *rattanclient.Client, sent rattanjob.Submission) {
	asked := time.Now()
	answer, err := client.Submit(ctx, sent, 20*time.Second)
	history.Requested(rattancheck.Request{
		Operation: rattancheck.OperationSubmit, Key: sent.Key, Body: sent.Digest(),
		Asked: asked, Received: time.Now(), Answered: err == nil, Answer: answer,
	})
}

// faultWindowVariable is the length of the windows of the goodput tests, for
// example 10m, which is the length that the target value states. Windows longer
// than the default need a longer -timeout.
const faultWindowVariable = "RATTAN_FAULT_WINDOW"

const (
	// defaultFaultWindow covers the detection of silence (2 s) and the
	// platform's timeouts (2 s).
	defaultFaultWindow = 4 * time.Second
	// maxBaseline bounds the time over which goodput is measured before the
	// fault.
	maxBaseline = time.Minute
)

// faultWindow returns the time over which goodput is measured during a fault.
func faultWindow(c *qt.C) time.Duration {
	text := os.Getenv(faultWindowVariable)
	if text == "" {
		return defaultFaultWindow
	}
	window, err := time.ParseDuration(text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", faultWindowVariable))
	return window
}

// Guards against a zone that needs anything outside of it: cut off from the
// other zones and from the platform, it serves its own callers as before.
func TestZoneCutOffServesItsOwnCallers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system := startSystem(c, threeZones...)
	loads := map[string]*load{}
	for _, zone := range threeZones {
		loads[zone] = startLoad(system, zone, 40, 4, 20*time.Millisecond)
	}
	window := faultWindow(c)
	time.Sleep(min(window, maxBaseline))
	for _, each := range loads {
		each.next()
	}
	system.Network.Cut("pest")
	time.Sleep(window)
	for zone, each := range loads {
		each.stop()
		before, during := each.windows[0], each.windows[1]
		c.Logf("%s: %d of %d jobs complete before, %d of %d during the cut", zone, before.complete, before.sent, during.complete, during.sent)
		c.Check(during.goodput() >= goodputBound*before.goodput(), qt.IsTrue)
	}
	system.Network.Heal()
	for _, each := range loads {
		c.Check(each.history.Check(system.Starts()), qt.HasLen, 0)
	}
}

// Guards the platform's limits: its calls are within 150 writes/s and 400
// reads/s and do not grow with the task rate.
func TestPlatformCallsUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	system := startSystem(c, threeZones...)
	rates := func(jobs int) rattanstandin.Counts {
		var loads []*load
		for _, zone := range threeZones {
			loads = append(loads, startLoad(system, zone, jobs, 20, 10*time.Millisecond))
		}
		system.Platform.ResetCounts()
		startsBefore := system.Log.Starts()
		time.Sleep(defaultFaultWindow)
		counts := system.Platform.Counts()
		starts := float64(system.Log.Starts()-startsBefore) / defaultFaultWindow.Seconds()
		for _, each := range loads {
			each.stop()
		}
		c.Logf("%.0f starts/s: %.1f reads/s (peak %d), %.1f writes/s (peak %d)", starts,
			counts.Reads.PerSecond, counts.Reads.PeakSecond, counts.Writes.PerSecond, counts.Writes.PeakSecond)
		return counts
	}
	low, high := rates(2), rates(40)
	for _, counts := range []rattanstandin.Counts{low, high} {
		c.Check(counts.Reads.PeakSecond <= 400, qt.IsTrue)
		c.Check(counts.Writes.PeakSecond <= 150, qt.IsTrue)
	}
	// Independent of the task rate: the twentyfold rate makes no more calls
	// than one instance makes in a window of its own accord.
	allowance := float64(len(system.Entries())) / defaultFaultWindow.Seconds()
	c.Check(high.Reads.PerSecond <= low.Reads.PerSecond+allowance, qt.IsTrue)
	c.Check(high.Writes.PerSecond <= low.Writes.PerSecond+allowance, qt.IsTrue)
}
