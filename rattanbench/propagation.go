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

// Intervals and timeouts of the simulated instances and their connections.
const (
	propagationCallTimeout       = time.Second
	propagationHeartbeatInterval = time.Second
	propagationWatchTimeout      = time.Second
	propagationWatchMargin       = 400 * time.Millisecond
	propagationWatchRetry        = 250 * time.Millisecond
	propagationListInterval      = time.Second
	// silentLinkTimeout is the time from the first call on a silent link until the
	// link is closed and replaced.
	silentLinkTimeout = 2 * time.Second
	// maxParallelPropagations limits the number of processors in use.
	maxParallelPropagations = 4
	// propagationWarmUp is the time before the first change, in which second
	// watchers can take over from watchers that are cut off from the platform.
	propagationWarmUp = 10 * time.Second
)

// propagationChangeInterval is the interval between changes at 25,000 changes per
// day.
const propagationChangeInterval = 24 * time.Hour / 25_000

// PropagationOptions configure a simulation, in virtual time, of the propagation
// of configuration changes to all members.
type PropagationOptions struct {
	Members int
	Changes int
	// Interval is the time between changes.
	Interval time.Duration
	// Loss is the share of calls whose request or reply is lost.
	Loss float64
	// SilentLinks is the share of links between members, and of connections to the
	// platform, that silently stop delivering messages when a change is made.
	SilentLinks float64
	// CutOff is the share of members that cannot reach the platform. Members are
	// selected zone by zone, starting with the watchers of each zone, which are
	// the members that read from the platform for their zone.
	CutOff float64
	Seed   uint64
}

// Propagation is the result of one simulation.
type Propagation struct {
	PropagationOptions
	// Median and Worst are the median and the maximum of the times from a change
	// until it is in force on all members.
	Median, Worst time.Duration
	// Messages and Bytes are the average numbers of messages and bytes per member
	// and change: notifications, pulls and their replies. Heartbeats are not
	// counted because they are sent independently of changes.
	Messages, Bytes float64
	// Reverted is the number of times that a member went back to an earlier
	// revision.
	Reverted int
}

// SimulatePropagations simulates the propagation to 9, 30, 100 and 300 members at
// 25,000 changes per day, for each seed: without faults, with lost messages and
// silent links, with a fifth of the members cut off from the platform, and with all
// of these faults.
func SimulatePropagations(seeds ...uint64) []Propagation {
	var options []PropagationOptions
	for _, size := range []struct{ members, changes int }{{9, 300}, {30, 100}, {100, 30}, {300, 10}} {
		for _, faults := range []PropagationOptions{
			{},
			{Loss: 0.01, SilentLinks: 0.05},
			{CutOff: 0.2},
			{Loss: 0.01, SilentLinks: 0.05, CutOff: 0.2},
		} {
			faults.Members, faults.Changes, faults.Interval = size.members, size.changes, propagationChangeInterval
			for _, faults.Seed = range seeds {
				options = append(options, faults)
			}
		}
	}
	propagations := make([]Propagation, len(options))
	semaphore := make(chan struct{}, maxParallelPropagations)
	var running sync.WaitGroup
	for i := range options {
		running.Go(func() {
			semaphore <- struct{}{}
			propagations[i] = SimulatePropagation(options[i])
			<-semaphore
		})
	}
	running.Wait()
	return propagations
}

// SimulatePropagation simulates changes of the configuration that reach members
// through the watchers of their zones, notifications and heartbeats. Members use
// the code of rattanspread and rattanconfig; links and the platform are
// simulated.
func SimulatePropagation(options PropagationOptions) Propagation {
	r := newPropagationRun(options)
	for i := range options.Changes {
		r.schedule(propagationWarmUp+time.Duration(i)*options.Interval, r.publish)
	}
	end := propagationWarmUp + time.Duration(options.Changes)*options.Interval + time.Minute
	for len(r.events) > 0 && r.events[0].at <= end {
		event, _ := heap.Pop(&r.events).(propagationEvent)
		r.now = event.at
		event.run()
	}
	return r.result()
}

// WritePropagations writes the results as a table.
func WritePropagations(w io.Writer, propagations []Propagation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "members\tloss\tsilent links\tcut off\tseed\tmedian\tworst\tmessages per change\tbytes per change")
	for _, p := range propagations {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%d\t%v\t%v\t%.1f\t%.0f\n", p.Members, p.Loss, p.SilentLinks, p.CutOff, p.Seed,
			p.Median.Round(time.Millisecond), p.Worst.Round(time.Millisecond), p.Messages, p.Bytes)
	}
	return errors.Annotate(table.Flush(), "write the propagation results")
}

type propagationEvent struct {
	at time.Duration
	// sequence orders events at the same time.
	sequence int
	run      func()
}

type propagationEvents []propagationEvent

func (e propagationEvents) Len() int { return len(e) }
func (e propagationEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].sequence < e[b].sequence)
}
func (e propagationEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *propagationEvents) Push(x any) {
	event, _ := x.(propagationEvent)
	*e = append(*e, event)
}

func (e *propagationEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// propagationMember is a simulated member.
type propagationMember struct {
	member rattanmember.Member
	index  int
	// rank is the position of the member in the order in which the members of its
	// zone become watchers; see rattanspread.ReadsFromPlatform.
	rank    int
	cutOff  bool
	peers   []rattanmember.Member
	history rattanconfig.History
	pulls   rattanspread.PullQueue[*propagationMember]
	// listReadAt is when the zone's instance list was last read from the platform,
	// as far as the member knows.
	listReadAt time.Duration
	// resumeWatch ends the wait of a watch for a revision above seenRevision. It is
	// nil while no watch waits.
	resumeWatch  func()
	seenRevision uint64
}

// propagationLink records whether a link went silent at a change.
type propagationLink struct {
	// change is the number of changes that had been published when silent was
	// drawn, which is at the first call after a change. firstCall is the time of
	// that call.
	change    int
	firstCall time.Duration
	silent    bool
}

// propagationRun is the state of one simulation.
type propagationRun struct {
	options      PropagationOptions
	random       *rand.Rand
	now          time.Duration
	lastSequence int
	events       propagationEvents
	members      []*propagationMember
	byAddress    map[string]*propagationMember
	links        map[[2]int]*propagationLink
	document     rattanconfig.Document
	// published, inForce and pendingMembers hold, for each change, the time of its
	// publication, the time when it was in force on all members, and the number of
	// members that do not have it yet.
	published      []time.Duration
	inForce        []time.Duration
	pendingMembers []int
	messages       int
	bytes          int
	reverted       int
}

func newPropagationRun(options PropagationOptions) *propagationRun {
	r := &propagationRun{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(options.Members))),
		byAddress: map[string]*propagationMember{},
		links:     map[[2]int]*propagationLink{},
		document:  propagationDocument(),
	}
	zones := 5
	if options.Members < 10 {
		zones = 3
	}
	for i := range options.Members {
		m := &propagationMember{index: i, rank: i / zones, history: rattanconfig.History{Limit: 1000}}
		m.member = rattanmember.Member{
			Incarnation:      rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", i), Number: uint64(i + 1)},
			AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
			PeerAddress:      fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		}
		m.history.Install(r.document)
		r.members = append(r.members, m)
		r.byAddress[m.member.PeerAddress] = m
	}
	r.cutOffMembers(zones)
	for _, m := range r.members {
		for _, other := range r.members {
			if other != m {
				m.peers = append(m.peers, other.member)
			}
		}
		r.scheduleAfter(r.jitter(propagationHeartbeatInterval), func() { r.sendHeartbeat(m) })
		r.scheduleAfter(r.jitter(propagationWatchRetry), func() { r.watch(m) })
		r.scheduleAfter(r.jitter(propagationListInterval), func() { r.readInstanceList(m) })
	}
	return r
}

// cutOffMembers cuts the members of the first zones off from the platform, up to
// the configured share of all members.
func (r *propagationRun) cutOffMembers(zones int) {
	remaining := int(r.options.CutOff * float64(r.options.Members))
	for zone := range zones {
		for index := zone; index < len(r.members) && remaining > 0; index += zones {
			r.members[index].cutOff = true
			remaining--
		}
	}
}

// propagationDocument returns the initial configuration.
func propagationDocument() rattanconfig.Document {
	document := rattanconfig.Document{Revision: 1, Callers: map[string]rattanconfig.Caller{}}
	for i := range 20 {
		document.Callers[fmt.Sprintf("team-%03d", i)] = rattanconfig.Caller{Weight: 1, Quota: 100}
	}
	return document
}

func (r *propagationRun) schedule(at time.Duration, run func()) {
	r.lastSequence++
	heap.Push(&r.events, propagationEvent{at: at, sequence: r.lastSequence, run: run})
}

func (r *propagationRun) scheduleAfter(delay time.Duration, run func()) { r.schedule(r.now+delay, run) }

func (r *propagationRun) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// latency returns the latency of one message, 0.5 to 1.5 ms.
func (r *propagationRun) latency() time.Duration {
	return 500*time.Microsecond + r.jitter(time.Millisecond)
}

func (r *propagationRun) wallTime() time.Time { return time.Unix(1_000, 0).Add(r.now) }

// publish stores the next change in the platform and wakes the watches that wait
// for it, except those on silent connections.
func (r *propagationRun) publish() {
	next := r.document.Clone()
	next.Revision++
	name := fmt.Sprintf("team-%03d", next.Revision%20)
	caller := next.Callers[name]
	caller.Weight = float64(next.Revision)
	next.Callers[name] = caller
	next.RequestID = fmt.Sprintf("request-%d", next.Revision)
	r.document = next
	r.published = append(r.published, r.now)
	r.inForce = append(r.inForce, 0)
	r.pendingMembers = append(r.pendingMembers, len(r.members))
	for _, m := range r.members {
		if resume := m.resumeWatch; resume != nil && r.random.Float64() >= r.options.SilentLinks {
			m.resumeWatch = nil
			r.scheduleAfter(r.latency(), resume)
		}
	}
}

// watch runs one iteration of the loop in which a member watches the
// configuration in the platform.
func (r *propagationRun) watch(m *propagationMember) {
	retry := func() { r.watch(m) }
	switch {
	case !rattanspread.ReadsFromPlatform(r.wallTime(), m.rank, time.Unix(1_000, 0).Add(m.listReadAt)):
		r.scheduleAfter(propagationWatchRetry, retry)
	case m.cutOff:
		r.scheduleAfter(propagationWatchTimeout+2*propagationWatchMargin, retry)
	case m.seenRevision < r.document.Revision:
		r.scheduleAfter(2*r.latency(), func() { r.readDocument(m) })
	default:
		r.waitForChange(m)
	}
}

// waitForChange waits for the next change or the end of the watch request. If the
// connection goes silent, the request ends at the timeout of the client, which is
// later by propagationWatchMargin.
func (r *propagationRun) waitForChange(m *propagationMember) {
	timeout, done := propagationWatchTimeout, false
	once := func(run func()) func() {
		return func() {
			if !done {
				done, m.resumeWatch = true, nil
				run()
			}
		}
	}
	m.resumeWatch = once(func() { r.readDocument(m) })
	if r.random.Float64() < r.options.SilentLinks {
		timeout += propagationWatchMargin
	}
	r.scheduleAfter(timeout, once(func() { r.watch(m) }))
}

func (r *propagationRun) readDocument(m *propagationMember) {
	m.seenRevision = r.document.Revision
	r.install(m, r.document)
	r.watch(m)
}

// readInstanceList reads the instance list from the platform if the member is a
// watcher. The second watcher of a zone takes over when the list is too old.
func (r *propagationRun) readInstanceList(m *propagationMember) {
	if !m.cutOff && rattanspread.ReadsFromPlatform(r.wallTime(), m.rank, time.Unix(1_000, 0).Add(m.listReadAt)) {
		m.listReadAt = r.now
	}
	r.scheduleAfter(propagationListInterval, func() { r.readInstanceList(m) })
}

// sendHeartbeat sends a heartbeat to a random member.
func (r *propagationRun) sendHeartbeat(m *propagationMember) {
	other := r.byAddress[m.peers[r.random.IntN(len(m.peers))].PeerAddress]
	r.call(m, other, func() { r.considerPull(other, m) }, func(ok bool) {
		if ok {
			r.considerPull(m, other)
		}
	})
	r.scheduleAfter(propagationHeartbeatInterval, func() { r.sendHeartbeat(m) })
}

// considerPull processes the payload of a message from a peer, and pulls the
// configuration if the peer has a later revision.
func (r *propagationRun) considerPull(m, peer *propagationMember) {
	if m.member.AvailabilityZone == peer.member.AvailabilityZone {
		m.listReadAt = max(m.listReadAt, peer.listReadAt)
	}
	if peer.history.Current().Revision <= m.history.Current().Revision {
		return
	}
	if number, start := m.pulls.Offer(r.wallTime(), peer); start {
		r.pull(m, peer, number)
	}
}

// pull requests the changes since the current revision from a peer.
func (r *propagationRun) pull(m, peer *propagationMember, number int) {
	from := m.history.Current()
	r.countMessage(map[string]uint64{"Revision": from.Revision})
	var delta rattanconfig.Delta
	found := false
	r.call(m, peer, func() {
		if delta, found = peer.history.DeltaSince(from.Revision); found {
			r.countMessage(delta)
		}
	}, func(ok bool) {
		if ok && found {
			if document, err := rattanconfig.Apply(from, delta); err == nil {
				r.install(m, document)
			}
		}
		r.releasePull(m, number, true)
	})
	r.scheduleAfter(rattanspread.PullTimeout, func() { r.releasePull(m, number, false) })
}

// releasePull is called at the end of a pull and at its timeout. If this lets a
// queued pull start, releasePull considers that pull.
func (r *propagationRun) releasePull(m *propagationMember, number int, ended bool) {
	if next, found := m.pulls.Release(r.wallTime(), number, ended); found {
		r.considerPull(m, next)
	}
}

// install puts a document in force on a member, which then notifies other
// members.
func (r *propagationRun) install(m *propagationMember, document rattanconfig.Document) {
	previousRevision := m.history.Current().Revision
	if !m.history.Install(document) {
		return
	}
	if document.Revision < previousRevision {
		r.reverted++
	}
	for revision := previousRevision + 1; revision <= document.Revision; revision++ {
		// The first change creates revision 2.
		change := revision - 2
		if r.pendingMembers[change]--; r.pendingMembers[change] == 0 {
			r.inForce[change] = r.now
		}
	}
	payload, _ := json.Marshal(rattanspread.HeartbeatPayload{
		Revision:         document.Revision,
		AvailabilityZone: m.member.AvailabilityZone,
		ListHash:         1 << 63,
		ListAge:          rattanjson.Duration(r.now - m.listReadAt),
	})
	for _, receiver := range rattanspread.NotificationReceivers(r.random, m.member.AvailabilityZone, slices.Clone(m.peers)) {
		r.countMessage(rattanspread.ChangeNotification{PeerAddress: m.member.PeerAddress, Payload: payload})
		other := r.byAddress[receiver.PeerAddress]
		r.call(m, other, func() { r.considerPull(other, m) }, func(bool) {})
	}
}

func (r *propagationRun) countMessage(message any) {
	data, _ := json.Marshal(message)
	r.messages++
	r.bytes += len(data)
}

// call delivers a request and its reply. If the link is silent or one of the two
// messages is lost, the call fails at the timeout.
func (r *propagationRun) call(from, to *propagationMember, arrive func(), replied func(ok bool)) {
	lost := r.random.Float64() < r.options.Loss
	switch requestLost := r.random.IntN(2) == 0; {
	case r.linkSilent(from, to) || (lost && requestLost):
		r.scheduleAfter(propagationCallTimeout, func() { replied(false) })
	case lost:
		r.scheduleAfter(r.latency(), arrive)
		r.scheduleAfter(propagationCallTimeout, func() { replied(false) })
	default:
		r.scheduleAfter(r.latency(), func() {
			arrive()
			r.scheduleAfter(r.latency(), func() { replied(true) })
		})
	}
}

// linkSilent reports whether a link has gone silent at the last change and has
// not been replaced yet. It draws the state of the link at its first use after
// each change.
func (r *propagationRun) linkSilent(from, to *propagationMember) bool {
	if len(r.published) == 0 || r.options.SilentLinks == 0 {
		return false
	}
	pair := [2]int{min(from.index, to.index), max(from.index, to.index)}
	link := r.links[pair]
	if link == nil || link.change != len(r.published) {
		link = &propagationLink{change: len(r.published), silent: r.random.Float64() < r.options.SilentLinks, firstCall: r.now}
		r.links[pair] = link
	}
	return link.silent && r.now < link.firstCall+silentLinkTimeout
}

func (r *propagationRun) result() Propagation {
	result := Propagation{PropagationOptions: r.options, Reverted: r.reverted}
	var times []time.Duration
	for change, published := range r.published {
		elapsed := time.Duration(1<<63 - 1)
		if r.pendingMembers[change] == 0 {
			elapsed = r.inForce[change] - published
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	result.Median, result.Worst = times[len(times)/2], times[len(times)-1]
	perMember := float64(r.options.Members * r.options.Changes)
	result.Messages = float64(r.messages) / perMember
	result.Bytes = float64(r.bytes) / perMember
	return result
}
