package rattanzone

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// startList returns a message with one start request for each of the tasks.
func startList(zone string, token, number int64, tasks ...string) *StartListMessage {
	message := &StartListMessage{Zone: zone, List: rattanhome.StartList{FencingToken: token, Number: number}}
	for _, task := range tasks {
		message.List.Starts = append(message.List.Starts, rattanhome.ListedStart{Task: task, Target: "t0", Attempt: 1})
	}
	return message
}

// TestStartRecordKeepsLastLists guards against two runs of a task: an older list takes
// the place of a newer one, or that of a successor the place of the last one of a home
// that was lost.
func TestStartRecordKeepsLastLists(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	record := &startRecord{}
	tasksOf := func(zone string, now time.Time) (tasks []string) {
		for _, start := range record.ofZone(zone, now) {
			tasks = append(tasks, start.Task)
		}
		return tasks
	}
	c.Check(record.replace(startList("a", 10, 2, "j.0", "k.0"), now), qt.IsTrue)
	c.Check(record.replace(startList("a", 10, 1, "i.0"), now), qt.IsFalse)
	c.Check(record.replace(startList("a", 10, 3, "k.0"), now), qt.IsTrue)
	c.Check(record.replace(startList("a", 20, 1, "l.0"), now.Add(time.Second)), qt.IsTrue)
	c.Check(record.replace(startList("b", 10, 1, "m.0"), now), qt.IsTrue)
	c.Check(tasksOf("a", now), qt.ContentEquals, []string{"k.0", "l.0"})
	c.Check(record.ofFormerHomes("a", 20, now), qt.HasLen, 1, qt.Commentf("the list of the present home is named to it"))
	c.Check(record.ofFormerHomes("a", 10, now), qt.HasLen, 0)
	zone, starts := record.ofJob("m", "a", now)
	c.Check(zone, qt.Equals, "b")
	c.Check(starts, qt.DeepEquals, []rattanscheduler.OutstandingStart{{Task: "m.0", Target: "t0", Attempt: 1, Remaining: rattanscheduler.LateStartBound}})
	for _, job := range []string{"k", "m.0", ""} {
		zone, _ = record.ofJob(job, "a", now)
		c.Check(zone, qt.Equals, "", qt.Commentf(job))
	}
	expired := now.Add(rattanscheduler.LateStartBound)
	c.Check(tasksOf("a", expired.Add(-1)), qt.ContentEquals, []string{"k.0", "l.0"})
	c.Check(tasksOf("a", expired), qt.ContentEquals, []string{"l.0"})
	zone, _ = record.ofJob("m", "a", expired)
	c.Check(zone, qt.Equals, "")
}

// TestStartRecordIsBounded guards against lists without limit, and against a new one
// that is forgotten for an old one.
func TestStartRecordIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	record := &startRecord{}
	for i := range int64(2 * maxStartLists) {
		record.replace(startList("a", i+1, 1, fmt.Sprintf("%d.0", i)), now.Add(time.Duration(i)))
	}
	c.Check(record.lists, qt.HasLen, maxStartLists)
	c.Check(record.ofZone("a", now.Add(time.Second)), qt.HasLen, maxStartLists)
	for token := range record.lists {
		c.Check(token.fencingToken > maxStartLists, qt.IsTrue, qt.Commentf("%d is kept for a newer one", token.fencingToken))
	}
	record.replace(startList("a", 1000, 1), now.Add(time.Minute))
	c.Check(record.lists, qt.HasLen, 1)
}

// TestOddStartListsAreRefused guards against believing a list that no home sends.
func TestOddStartListsAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, body := range []string{
		"", "null", "[]", "{}", strings.Repeat("[", 1_000_000), `{"Zone":"a","List":{"FencingToken":0,"Number":1}}`,
		`{"Zone":"a","List":{"FencingToken":9223372036854775807,"Number":1}}`, `{"Zone":"","List":{"FencingToken":1,"Number":1}}`,
		`{"Zone":"a","List":{"FencingToken":1,"Number":0}}`, `{"Zone":"a","List":{"FencingToken":1,"Number":1,"Starts":["t"]}}`,
	} {
		_, err := decodeStartList([]byte(body))
		c.Check(err, qt.ErrorIs, ErrMalformedStartList, qt.Commentf("%.200s", body))
	}
	long := startList("a", 1, 1)
	for range 2 * rattanhome.MaxListedStarts {
		long.List.Starts = append(long.List.Starts, rattanhome.ListedStart{Task: "t", Target: "a", Attempt: 1})
	}
	long.List.Starts[0].Attempt = maxAttempt + 1
	message, err := decodeStartList(mustMarshal(long))
	c.Assert(err, qt.IsNil)
	c.Check(message.List.Starts, qt.HasLen, rattanhome.MaxListedStarts)
	c.Check(message.List.Starts[0].Attempt, qt.Equals, 1)
}

// TestStartListsReachSuccessorAndOtherZones guards against two runs of a task whose home
// is lost at once: its successor, an instance of its zone that asks another zone, or the
// home of that zone starts the task elsewhere.
func TestStartListsReachSuccessorAndOtherZones(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	list := mustMarshal(startList("z", rattanhome.FencingTokenStep, 1, z.submission().Job.ID+".0.0.0"))
	receive := func(agent *Agent) {
		_, err := agent.handleStartList(context.Background(), "lost", list)
		z.Assert(err, qt.IsNil)
	}
	other := z.newAgent("other", "y", "t1")
	receive(other)
	result, err := z.claim(other).Submit(context.Background(), z.submission())
	z.Assert(err, qt.IsNil)
	z.Check(result.Outcome, qt.Equals, rattanscheduler.Redirected)
	z.Check(result.Zone, qt.Equals, "z")
	z.Check(result.MayHaveStarted, qt.IsTrue)

	successors := map[string]func(agent *Agent) *rattanhome.Home{
		"told":          func(agent *Agent) *rattanhome.Home { receive(agent); return z.claim(agent) },
		"asks a zone":   func(agent *Agent) *rattanhome.Home { z.beat(agent, other); return z.claim(agent) },
		"told too late": func(agent *Agent) *rattanhome.Home { home := z.claim(agent); receive(agent); return home },
	}
	for name, claim := range successors {
		z.targets = &answerlessTargets{startedAt: map[string]int{}}
		home := claim(z.newAgent(name, "z", "t2"))
		go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
		z.awaitRequests(1)
		z.targets.mutex.Lock()
		z.Check(z.targets.startedAt["t0"] > 0, qt.IsTrue, qt.Commentf("%s: %v", name, z.targets.startedAt))
		z.targets.mutex.Unlock()
		home.Close()
	}
}

// TestHomeElectedWithoutToldInstanceLearnsFromIt guards against two runs of a task: the
// instance that was told of its start did not answer while the next home was elected.
func TestHomeElectedWithoutToldInstanceLearnsFromIt(t *testing.T) {
	for _, zone := range []string{"z", "y"} {
		z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
		told := z.newAgent("told", zone, "t1")
		list := mustMarshal(startList("z", rattanhome.FencingTokenStep, 1, z.submission().Job.ID+".0.0.0"))
		_, err := told.handleStartList(context.Background(), "lost", list)
		z.Assert(err, qt.IsNil)
		elected := z.newAgent("elected", "z", "t2")
		home := z.claim(elected)
		z.beat(elected, told)
		go func() { _, _ = home.Submit(context.Background(), z.submission()) }()
		z.awaitRequests(1)
		z.targets.mutex.Lock()
		z.Check(z.targets.startedAt["t0"] > 0, qt.IsTrue, qt.Commentf("told in zone %s: %v", zone, z.targets.startedAt))
		z.targets.mutex.Unlock()
		home.Close()
	}
}

// TestListsToOtherZonesAreSpaced guards against a message to each zone for each start,
// against the first list of a burst that waits, and against a last one that is never sent.
func TestListsToOtherZonesAreSpaced(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	lists := &remoteLists{}
	offer := func(after time.Duration, body string, wantSend bool, wantSchedule time.Duration) {
		c.Helper()
		send, schedule := lists.offer([]byte(body), now.Add(after))
		c.Check(send, qt.Equals, wantSend)
		c.Check(schedule, qt.Equals, wantSchedule)
	}
	offer(0, "1", true, 0)
	offer(remoteListInterval/4, "2", false, remoteListInterval*3/4)
	offer(remoteListInterval/2, "3", false, 0)
	offer(2*remoteListInterval, "4", false, 0)
	c.Check(string(lists.take(now.Add(2*remoteListInterval))), qt.Equals, "4")
	offer(2*remoteListInterval+1, "5", false, remoteListInterval-1)
	c.Check(string(lists.take(now.Add(3*remoteListInterval))), qt.Equals, "5")
	offer(4*remoteListInterval, "6", true, 0)
}

// blockedPeers accept no message until they are released.
type blockedPeers struct {
	noPeers
	release chan struct{}
	mutex   sync.Mutex
	bodies  []string
}

func (b *blockedPeers) Notify(_ context.Context, _, _ string, body []byte) error {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bodies = append(b.bodies, string(body))
	return nil
}

// TestBlockedInstanceDelaysNoStart guards against starts that wait for an instance that
// reads nothing, and against one that misses the last list.
func TestBlockedInstanceDelaysNoStart(t *testing.T) {
	c := qt.New(t)
	peers := &blockedPeers{release: make(chan struct{})}
	agent := New(Config{
		Self: rattanwork.Member{Name: "home", Zone: "z"}, Peers: peers, Journal: quietJournal{},
		DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: time.Now,
	})
	agent.recordSender(&View{Sender: rattanwork.Member{Name: "next", Zone: "z", Address: "next"}}, time.Now())
	begun := time.Now()
	for number := range int64(3) {
		agent.Tell(rattanhome.StartList{FencingToken: 1, Number: number + 1})
	}
	c.Check(time.Since(begun) < 100*tellTimeout, qt.IsTrue)
	close(peers.release)
	sent := func() []string {
		peers.mutex.Lock()
		defer peers.mutex.Unlock()
		return peers.bodies
	}
	for deadline := time.Now().Add(5 * time.Second); len(sent()) < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(sent(), qt.HasLen, 2)
	c.Check(sent()[1], qt.Contains, `"Number":3`)
}

// TestStartListsGoToWhoMustKnow guards against starts that nobody knows of who is left:
// the successor and the other zones, or a second member where there is no other zone.
func TestStartListsGoToWhoMustKnow(t *testing.T) {
	for zones, wantMembers := range [][]string{{"m1", "m2"}, {"m1"}, {"m1"}} {
		c, now := qt.New(t), time.Now()
		agent := New(Config{
			Self: rattanwork.Member{Name: "home", Zone: "z"}, Peers: noPeers{}, Journal: quietJournal{},
			DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: time.Now,
		})
		for _, name := range []string{"m3", "m1", "m2"} {
			agent.recordSender(&View{Sender: rattanwork.Member{Name: name, Zone: "z", Address: name}}, now)
		}
		var wantRemote []string
		for i := range zones {
			name := fmt.Sprint("h", i)
			agent.mergeClaim(Claim{Zone: fmt.Sprint("y", i), Name: name, Address: name, FencingToken: 1}, name, now)
			wantRemote = append(wantRemote, name)
		}
		members, remote := agent.toldAddresses(now)
		c.Check(members, qt.DeepEquals, wantMembers)
		c.Check(remote, qt.ContentEquals, wantRemote)
	}
}

// TestOnlyListsOfFormerHomesBindLocalHome guards against tasks that wait for the target
// of another zone, or for one that this home has asked itself.
func TestOnlyListsOfFormerHomesBindLocalHome(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	agent := z.newAgent("home", "z", "t1")
	home := z.claim(agent)
	receive := func(list *StartListMessage) int {
		_, err := agent.handleStartList(context.Background(), "sender", mustMarshal(list))
		z.Assert(err, qt.IsNil)
		return len(home.OutstandingStarts())
	}
	z.Check(receive(startList("y", home.FencingToken()-1, 1, "j.0.0.0")), qt.Equals, 0)
	z.Check(receive(startList("z", home.FencingToken(), 1, "j.0.0.0")), qt.Equals, 0)
	z.Check(receive(startList("z", home.FencingToken()-1, 1, "k.0.0.0")), qt.Not(qt.Equals), 0)
}

// TestWaitingListReachesOtherZones guards against a last list that is never sent.
func TestWaitingListReachesOtherZones(t *testing.T) {
	c := qt.New(t)
	peers := &blockedPeers{release: make(chan struct{})}
	close(peers.release)
	agent := New(Config{
		Self: rattanwork.Member{Name: "home", Zone: "z"}, Peers: peers, Journal: quietJournal{},
		DesiredState: &DesiredStateWatcher{}, Inventory: NewInventory(nil), Clock: time.Now,
	})
	agent.mergeClaim(Claim{Zone: "y", Name: "other", Address: "other", FencingToken: 1}, "other", time.Now())
	for number := range int64(3) {
		agent.Tell(rattanhome.StartList{FencingToken: 1, Number: number + 1})
	}
	lastSent := func() string {
		peers.mutex.Lock()
		defer peers.mutex.Unlock()
		return strings.Join(peers.bodies, "")
	}
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(lastSent(), `"Number":3`) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	c.Check(lastSent(), qt.Contains, `"Number":3`)
}

// TestKeptStartsAreNamedToZoneWithoutHome guards against an instance that asks for the
// starts of its former home in vain because it knows the homes of other zones.
func TestKeptStartsAreNamedToZoneWithoutHome(t *testing.T) {
	z := &outstandingZones{C: qt.New(t), targets: &answerlessTargets{startedAt: map[string]int{}}}
	other := z.newAgent("other", "y", "t1")
	other.startRecord.replace(startList("z", 1, 1, "j.0.0.0"), time.Now())
	for claimed, want := range map[string]int{"y": 1, "z": 0} {
		view := &View{Sender: rattanwork.Member{Name: "asking", Zone: "z"}, Claims: []Claim{{Zone: claimed, Name: "n", FencingToken: 2}}}
		other.mutex.Lock()
		z.Check(other.keptFor(view, time.Now()), qt.HasLen, want)
		other.mutex.Unlock()
	}
}
