package rattanbench

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanspread"
)

// Times of the shells around the decisions that a spread exercises.
const (
	spreadCallTimeout  = time.Second
	spreadGossip       = time.Second
	spreadWatchWait    = time.Second
	spreadWatchMargin  = 400 * time.Millisecond
	spreadWatchRetry   = 250 * time.Millisecond
	spreadListInterval = time.Second
	// spreadSilence is the time from the first call on a silent link until the
	// link is closed and replaced.
	spreadSilence = 2 * time.Second
	// spreadsAtOnce bounds the processors that a run takes.
	spreadsAtOnce = 4
	// spreadWarmUp lets the watchers of cut-off zones find their stand-ins.
	spreadWarmUp = 10 * time.Second
)

// spreadInterval is the interval of 25,000 changes a day.
const spreadInterval = 24 * time.Hour / 25_000

// SpreadOptions describe a spread of configuration changes over members in
// virtual time.
type SpreadOptions struct {
	Members int
	Changes int
	// Interval is the time between changes.
	Interval time.Duration
	// Loss is the share of calls whose request or reply is lost.
	Loss float64
	// SilentLinks is the share of the links, and of the connections to the
	// platform, that have gone silent when a change is made.
	SilentLinks float64
	// CutOff is the share of members that cannot reach the platform: zone by
	// zone, the watchers of a zone first.
	CutOff float64
	Seed   uint64
}

// Spread is the result of one simulated spread.
type Spread struct {
	SpreadOptions
	// Median and Worst are times from a change until it was in force on all
	// members.
	Median, Worst time.Duration
	// Messages and Bytes are those that a member sends for one change on
	// average: notifications, pulls and their replies. Heartbeats, which are
	// sent anyway, are not counted.
	Messages, Bytes float64
	// Reverted is the number of times that a member's revision fell.
	Reverted int
}

// SimulatePropagations runs spreads over 9, 30, 100 and 300 members at 25,000 changes a day:
// without faults, with lost messages and silent links, with a fifth of the
// members cut off from the platform, and with all of that, for each seed.
func SimulatePropagations(seeds ...uint64) []Spread {
	var options []SpreadOptions
	for _, size := range []struct{ members, changes int }{{9, 300}, {30, 100}, {100, 30}, {300, 10}} {
		for _, faults := range []SpreadOptions{
			{},
			{Loss: 0.01, SilentLinks: 0.05},
			{CutOff: 0.2},
			{Loss: 0.01, SilentLinks: 0.05, CutOff: 0.2},
		} {
			faults.Members, faults.Changes, faults.Interval = size.members, size.changes, spreadInterval
			for _, faults.Seed = range seeds {
				options = append(options, faults)
			}
		}
	}
	spreads := make([]Spread, len(options))
	running := make(chan struct{}, spreadsAtOnce)
	var runs sync.WaitGroup
	for i := range options {
		runs.Go(func() {
			running <- struct{}{}
			spreads[i] = RunSpread(options[i])
			<-running
		})
	}
	runs.Wait()
	return spreads
}

// RunSpread simulates changes of the configuration that reach members through
// their zones' watchers, notifications and heartbeats. Members decide with
// rattanspread and rattanconfig; links and the platform are simulated.
func RunSpread(options SpreadOptions) Spread {
	s := newSpreadRun(options)
	for change := range options.Changes {
		s.at(spreadWarmUp+time.Duration(change)*options.Interval, s.publish)
	}
	end := spreadWarmUp + time.Duration(options.Changes)*options.Interval + time.Minute
	for len(s.events) > 0 && s.events[0].at <= end {
		event, _ := heap.Pop(&s.events).(spreadEvent)
		s.now = event.at
		event.run()
	}
	return s.result()
}

// WritePropagations writes the results as a table.
func WritePropagations(w io.Writer, spreads []Spread) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "members\tloss\tsilent links\tcut off\tseed\tmedian\tworst\tmessages per change\tbytes per change")
	for _, s := range spreads {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%d\t%v\t%v\t%.1f\t%.0f\n", s.Members, s.Loss, s.SilentLinks, s.CutOff, s.Seed,
			s.Median.Round(time.Millisecond), s.Worst.Round(time.Millisecond), s.Messages, s.Bytes)
	}
	return errors.Annotate(table.Flush(), "write the spreads")
}

type spreadEvent struct {
	at     time.Duration
	number int
	run    func()
}

type spreadEvents []spreadEvent

func (e spreadEvents) Len() int { return len(e) }
func (e spreadEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].number < e[b].number)
}
func (e spreadEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *spreadEvents) Push(x any) {
	event, _ := x.(spreadEvent)
	*e = append(*e, event)
}

func (e *spreadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// spreadMember is one light member.
type spreadMember struct {
	member  rattanmember.Member
	index   int
	rank    int
	cutOff  bool
	others  []rattanmember.Member
	history rattanconfig.History
	pulls   rattanspread.PullQueue[*spreadMember]
	// reached is when the platform gave the instance list.
	reached time.Duration
	// waiting is set while a watch waits for a change after revision seen.
	waiting func()
	seen    uint64
}

// spreadLink is the silence of a link since a change.
type spreadLink struct {
	change    int
	firstCall time.Duration
	silent    bool
}

type spreadRun struct {
	options   SpreadOptions
	random    *rand.Rand
	now       time.Duration
	number    int
	events    spreadEvents
	members   []*spreadMember
	byAddress map[string]*spreadMember
	links     map[[2]int]*spreadLink
	document  rattanconfig.Document
	published []time.Duration
	inForce   []time.Duration
	behind    []int
	messages  int
	bytes     int
	reverted  int
}

func newSpreadRun(options SpreadOptions) *spreadRun {
	s := &spreadRun{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(options.Members))),
		byAddress: map[string]*spreadMember{},
		links:     map[[2]int]*spreadLink{},
		document:  spreadDocument(),
	}
	zones := 5
	if options.Members < 10 {
		zones = 3
	}
	for i := range options.Members {
		added := &spreadMember{index: i, rank: i / zones, history: rattanconfig.History{Limit: 1000}}
		added.member = rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(i + 1)},
			AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
			PeerAddress:      fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		}
		added.history.Install(s.document)
		s.members = append(s.members, added)
		s.byAddress[added.member.PeerAddress] = added
	}
	s.cutOff(zones)
	for _, m := range s.members {
		for _, other := range s.members {
			if other != m {
				m.others = append(m.others, other.member)
			}
		}
		s.after(s.jitter(spreadGossip), func() { s.gossip(m) })
		s.after(s.jitter(spreadWatchRetry), func() { s.watch(m) })
		s.after(s.jitter(spreadListInterval), func() { s.list(m) })
	}
	return s
}

// cutOff cuts the members of the first zones off from the platform.
func (s *spreadRun) cutOff(zones int) {
	remaining := int(s.options.CutOff * float64(s.options.Members))
	for zone := range zones {
		for index := zone; index < len(s.members) && remaining > 0; index += zones {
			s.members[index].cutOff = true
			remaining--
		}
	}
}

// spreadDocument returns a document to change.
func spreadDocument() rattanconfig.Document {
	document := rattanconfig.Document{Revision: 1, Callers: map[string]rattanconfig.Caller{}}
	for i := range 20 {
		document.Callers[fmt.Sprintf("team-%03d", i)] = rattanconfig.Caller{Weight: 1, Quota: 100}
	}
	return document
}

func (s *spreadRun) at(at time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, spreadEvent{at: at, number: s.number, run: run})
}

func (s *spreadRun) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

func (s *spreadRun) jitter(most time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(most)))
}

// latency is that of one message, 0.5 to 1.5 ms.
func (s *spreadRun) latency() time.Duration {
	return 500*time.Microsecond + s.jitter(time.Millisecond)
}

func (s *spreadRun) time() time.Time { return time.Unix(1_000, 0).Add(s.now) }

// publish makes the next change in the platform.
func (s *spreadRun) publish() {
	next := s.document.Clone()
	next.Revision++
	name := fmt.Sprintf("team-%03d", next.Revision%20)
	caller := next.Callers[name]
	caller.Weight = float64(next.Revision)
	next.Callers[name] = caller
	next.RequestID = fmt.Sprintf("request-%d", next.Revision)
	s.document = next
	s.published = append(s.published, s.now)
	s.inForce = append(s.inForce, 0)
	s.behind = append(s.behind, len(s.members))
	for _, m := range s.members {
		if wake := m.waiting; wake != nil && s.random.Float64() >= s.options.SilentLinks {
			m.waiting = nil
			s.after(s.latency(), wake)
		}
	}
}

// watch is the loop of a member that watches the configuration.
func (s *spreadRun) watch(m *spreadMember) {
	again := func() { s.watch(m) }
	switch {
	case !rattanspread.ReadsFromPlatform(s.time(), m.rank, time.Unix(1_000, 0).Add(m.reached)):
		s.after(spreadWatchRetry, again)
	case m.cutOff:
		s.after(spreadWatchWait+2*spreadWatchMargin, again)
	case m.seen < s.document.Revision:
		s.after(2*s.latency(), func() { s.read(m) })
	default:
		s.wait(m)
	}
}

// wait holds a watch until a change, or until the client's bound if the
// connection goes silent meanwhile.
func (s *spreadRun) wait(m *spreadMember) {
	bound, done := spreadWatchWait, false
	once := func(run func()) func() {
		return func() {
			if !done {
				done, m.waiting = true, nil
				run()
			}
		}
	}
	m.waiting = once(func() { s.read(m) })
	if s.random.Float64() < s.options.SilentLinks {
		bound += spreadWatchMargin
	}
	s.after(bound, once(func() { s.watch(m) }))
}

func (s *spreadRun) read(m *spreadMember) {
	m.seen = s.document.Revision
	s.install(m, s.document)
	s.watch(m)
}

// list reads the instance list, whose age tells a stand-in when to watch.
func (s *spreadRun) list(m *spreadMember) {
	if !m.cutOff && rattanspread.ReadsFromPlatform(s.time(), m.rank, time.Unix(1_000, 0).Add(m.reached)) {
		m.reached = s.now
	}
	s.after(spreadListInterval, func() { s.list(m) })
}

// gossip sends a heartbeat to a random member.
func (s *spreadRun) gossip(m *spreadMember) {
	other := s.byAddress[m.others[s.random.IntN(len(m.others))].PeerAddress]
	s.call(m, other, func() { s.learn(other, m) }, func(ok bool) {
		if ok {
			s.learn(m, other)
		}
	})
	s.after(spreadGossip, func() { s.gossip(m) })
}

// learn takes in the payload of a peer.
func (s *spreadRun) learn(m, peer *spreadMember) {
	if m.member.AvailabilityZone == peer.member.AvailabilityZone {
		m.reached = max(m.reached, peer.reached)
	}
	if peer.history.Current().Revision <= m.history.Current().Revision {
		return
	}
	if number, begin := m.pulls.Offer(s.time(), peer); begin {
		s.pull(m, peer, number)
	}
}

// pull gets the changes from a peer.
func (s *spreadRun) pull(m, peer *spreadMember, number int) {
	from := m.history.Current()
	s.count(map[string]uint64{"Revision": from.Revision})
	var delta rattanconfig.Delta
	found := false
	s.call(m, peer, func() {
		if delta, found = peer.history.DeltaSince(from.Revision); found {
			s.count(delta)
		}
	}, func(ok bool) {
		if ok && found {
			if document, err := rattanconfig.Apply(from, delta); err == nil {
				s.install(m, document)
			}
		}
		s.release(m, number, true)
	})
	s.after(rattanspread.PullTimeout, func() { s.release(m, number, false) })
}

func (s *spreadRun) release(m *spreadMember, number int, ended bool) {
	if next, found := m.pulls.Release(s.time(), number, ended); found {
		s.learn(m, next)
	}
}

// install puts a document in force and notifies other members.
func (s *spreadRun) install(m *spreadMember, document rattanconfig.Document) {
	before := m.history.Current().Revision
	if !m.history.Install(document) {
		return
	}
	if document.Revision < before {
		s.reverted++
	}
	for revision := before + 1; revision <= document.Revision; revision++ {
		change := revision - 2
		if s.behind[change]--; s.behind[change] == 0 {
			s.inForce[change] = s.now
		}
	}
	payload, _ := json.Marshal(rattanspread.HeartbeatPayload{
		Revision:         document.Revision,
		AvailabilityZone: m.member.AvailabilityZone,
		ListHash:         1 << 63,
		ListAge:          rattanjson.Duration(s.now - m.reached),
	})
	for _, receiver := range rattanspread.NotificationReceivers(s.random, m.member.AvailabilityZone, slices.Clone(m.others)) {
		s.count(rattanspread.ChangeNotification{PeerAddress: m.member.PeerAddress, Payload: payload})
		other := s.byAddress[receiver.PeerAddress]
		s.call(m, other, func() { s.learn(other, m) }, func(bool) {})
	}
}

func (s *spreadRun) count(message any) {
	data, _ := json.Marshal(message)
	s.messages++
	s.bytes += len(data)
}

// call delivers a request and its reply, unless the link is silent or one of
// them is lost; the caller then finds out at the timeout.
func (s *spreadRun) call(from, to *spreadMember, arrive func(), replied func(ok bool)) {
	lost := s.random.Float64() < s.options.Loss
	switch requestLost := s.random.IntN(2) == 0; {
	case s.silent(from, to) || (lost && requestLost):
		s.after(spreadCallTimeout, func() { replied(false) })
	case lost:
		s.after(s.latency(), arrive)
		s.after(spreadCallTimeout, func() { replied(false) })
	default:
		s.after(s.latency(), func() {
			arrive()
			s.after(s.latency(), func() { replied(true) })
		})
	}
}

// silent reports whether a link has gone silent with the last change and was
// not yet replaced, and takes in that it is used.
func (s *spreadRun) silent(from, to *spreadMember) bool {
	if len(s.published) == 0 || s.options.SilentLinks == 0 {
		return false
	}
	pair := [2]int{min(from.index, to.index), max(from.index, to.index)}
	link := s.links[pair]
	if link == nil || link.change != len(s.published) {
		link = &spreadLink{change: len(s.published), silent: s.random.Float64() < s.options.SilentLinks, firstCall: s.now}
		s.links[pair] = link
	}
	return link.silent && s.now < link.firstCall+spreadSilence
}

func (s *spreadRun) result() Spread {
	result := Spread{SpreadOptions: s.options, Reverted: s.reverted}
	var times []time.Duration
	for change, published := range s.published {
		took := time.Duration(1<<63 - 1)
		if s.behind[change] == 0 {
			took = s.inForce[change] - published
		}
		times = append(times, took)
	}
	slices.Sort(times)
	result.Median, result.Worst = times[len(times)/2], times[len(times)-1]
	perMember := float64(s.options.Members * s.options.Changes)
	result.Messages = float64(s.messages) / perMember
	result.Bytes = float64(s.bytes) / perMember
	return result
}
