package rattanzone

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanpeer"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// documentPeers are the peers of an instance. They pass its calls to the handlers of
// other instances by address, and count those that are under way.
type documentPeers struct {
	mutex    sync.Mutex
	handlers map[string]map[string]rattanpeer.Handler
	// delay is the time that a call takes.
	delay              time.Duration
	underWay, mostOver int
	calls              map[string]int
}

// documentPeer is one of the peers, with the methods that it handles.
type documentPeer struct {
	*documentPeers
	address string
}

func newDocumentPeers(delay time.Duration) *documentPeers {
	return &documentPeers{handlers: map[string]map[string]rattanpeer.Handler{}, calls: map[string]int{}, delay: delay}
}

func (p documentPeer) Handle(method string, handler rattanpeer.Handler) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.handlers[p.address] == nil {
		p.handlers[p.address] = map[string]rattanpeer.Handler{}
	}
	p.handlers[p.address][method] = handler
}

func (p documentPeer) Call(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	p.mutex.Lock()
	p.underWay++
	p.mostOver = max(p.mostOver, p.underWay)
	p.calls[address]++
	handlers, up := p.handlers[address]
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.underWay--
	}()
	time.Sleep(p.delay)
	switch handler := handlers[method]; {
	case !up:
		return nil, rattanpeer.ErrUnreachable
	case handler == nil:
		return nil, rattanpeer.ErrNoMethod
	default:
		return handler(ctx, p.address, body)
	}
}

// countingSource is a store that serves the document and counts the reads.
type countingSource struct {
	mutex    sync.Mutex
	document string
	reads    int
}

func (s *countingSource) Current(context.Context) (rattanwork.OperatorState, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	return rattanwork.OperatorState{Document: []byte(s.document), Revision: 1}, nil
}

func (s *countingSource) WaitForChange(ctx context.Context, known rattanwork.OperatorState, timeout time.Duration) (rattanwork.OperatorState, error) {
	select {
	case <-ctx.Done():
		return rattanwork.OperatorState{}, ctx.Err()
	case <-time.After(timeout):
		return rattanwork.OperatorState{Revision: known.Revision}, nil
	}
}

// parsePadded parses a version that is followed by other text.
func parsePadded(document []byte) (*rattanwork.DesiredState, error) {
	version, _, _ := strings.Cut(string(document), " ")
	return parseVersion([]byte(version))
}

// largeVersion returns a document that is sent in several parts.
func largeVersion(version int64) []byte {
	text := strconv.AppendInt(nil, version, 10)
	for len(text) < 4*partBytes {
		text = fmt.Appendf(text, " %x", rand.Uint64())
	}
	return text
}

// newTransferWatcher returns a watcher with a version, as one of the peers.
func newTransferWatcher(c *qt.C, peers *documentPeers, name string, document []byte) *DesiredStateWatcher {
	w := NewDesiredStateWatcher(DesiredStateConfig{
		Source: &countingSource{document: string(document)}, Parse: parsePadded, Journal: &recordingJournal{}, Peers: documentPeer{peers, name}, Clock: time.Now,
	})
	c.Assert(w.Accept(document, "test"), qt.IsNil)
	return w
}

func start(c *qt.C, w *DesiredStateWatcher) {
	c.Assert(w.Start(context.Background()), qt.IsNil)
	c.Cleanup(func() { _ = w.Stop(context.Background()) })
}

func await(c *qt.C, w *DesiredStateWatcher, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w.Await(ctx, version)
	c.Assert(w.Version(), qt.Equals, version)
}

// TestOneTransferWhateverIsAnnounced guards against several copies of a desired state on the way to one instance.
func TestOneTransferWhateverIsAnnounced(t *testing.T) {
	c := qt.New(t)
	peers := newDocumentPeers(time.Millisecond)
	behind := newTransferWatcher(c, peers, "behind", []byte("1"))
	document := largeVersion(2)
	encoded, err := encodeDocument(document)
	c.Assert(err, qt.IsNil)
	for i := range 5 {
		newTransferWatcher(c, peers, fmt.Sprint("peer", i), document)
	}
	start(c, behind)
	for range 100 {
		for i := range 5 {
			name := fmt.Sprint("peer", i)
			behind.Announce(rattanwork.Member{Name: name, Address: name}, 2, time.Now())
		}
	}
	await(c, behind, 2)
	calls := 0
	for _, count := range peers.calls {
		calls += count
	}
	c.Check(peers.mostOver, qt.Equals, 1)
	c.Check(calls, qt.Equals, (len(encoded)+partBytes-1)/partBytes)
	c.Check(behind.current().document, qt.DeepEquals, document)
}

// TestFailedTransferIsTriedElsewhere guards against an instance that stays behind or asks without end because a source of the newer version fails.
func TestFailedTransferIsTriedElsewhere(t *testing.T) {
	tests := map[string]struct {
		// sound is set if one of the sources has what it announces, otherwise only
		// the store has.
		sound bool
		store string
	}{
		"other instance": {sound: true, store: "1"},
		"store":          {store: "2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peers := newDocumentPeers(0)
			behind := newTransferWatcher(c, peers, "behind", []byte("1"))
			store := &countingSource{document: test.store}
			behind.config.Source = store
			newTransferWatcher(c, peers, "old", []byte("1"))
			if test.sound {
				newTransferWatcher(c, peers, "sound", largeVersion(2))
			}
			start(c, behind)
			for begun := time.Now(); behind.Version() < 2 && time.Since(begun) < 5*time.Second; time.Sleep(time.Millisecond) {
				for _, source := range []string{"sound", "away", "old"} {
					behind.Announce(rattanwork.Member{Name: source, Address: source}, 2, time.Now())
				}
			}
			await(c, behind, 2)
			c.Check(peers.calls["away"]+peers.calls["old"] <= 4, qt.IsTrue, qt.Commentf("%v", peers.calls))
		})
	}
}

// TestUselessSourcesAreAskedRarely guards against transfers and reads without end of a version that is not valid here.
func TestUselessSourcesAreAskedRarely(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	begun := now
	sources := documentSources{byName: map[string]*documentSource{}}
	transfers, reads := 0, 0
	for ; now.Sub(begun) < time.Minute; now = now.Add(10 * time.Millisecond) {
		for i := range 30 {
			name := fmt.Sprint(i)
			sources.announce(rattanwork.Member{Name: name}, 2, now)
		}
		source, ok := sources.next(now)
		if !ok {
			continue
		}
		transfers++
		if sources.failed(source.Name, now) {
			reads++
		}
	}
	c.Check(transfers > 10 && transfers <= 70, qt.IsTrue, qt.Commentf("%d", transfers))
	c.Check(reads, qt.Equals, transfers/maxFailedTransfers)
	sources.accepted(2)
	c.Check(sources.byName, qt.HasLen, 0)
	c.Check(sources.paused(now), qt.IsFalse)
}

// TestTransferOutlastsChange guards against a transfer that begins anew with each change at its source.
func TestTransferOutlastsChange(t *testing.T) {
	c := qt.New(t)
	peers := newDocumentPeers(0)
	source := newTransferWatcher(c, peers, "source", largeVersion(2))
	behind := newTransferWatcher(c, peers, "behind", []byte("1"))
	first, err := behind.fetchPart(context.Background(), "source", documentRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(source.Accept(largeVersion(3), "test"), qt.IsNil)
	_, err = behind.fetchPart(context.Background(), "source", documentRequest{})
	c.Assert(err, qt.IsNil)
	next, err := behind.fetchPart(context.Background(), "source", documentRequest{Version: 2, Offset: len(first.Data)})
	c.Assert(err, qt.IsNil)
	c.Check([]int64{next.Version, int64(next.Offset)}, qt.DeepEquals, []int64{2, int64(len(first.Data))})
	c.Assert(source.Accept(largeVersion(4), "test"), qt.IsNil)
	anew, err := behind.fetchPart(context.Background(), "source", documentRequest{Version: 2, Offset: len(first.Data)})
	c.Assert(err, qt.IsNil)
	c.Check([]int64{anew.Version, int64(anew.Offset)}, qt.DeepEquals, []int64{4, 0})
}

// TestLateRequestGetsNewestVersion guards against a request that was overtaken by a change and displaces the newer version.
func TestLateRequestGetsNewestVersion(t *testing.T) {
	c := qt.New(t)
	var encoder documentEncoder
	for _, version := range []int64{2, 3, 2} {
		_, _, err := encoder.encode(0, versionedDocument{version: version, document: largeVersion(version)})
		c.Assert(err, qt.IsNil)
	}
	c.Check([]int64{encoder.version, encoder.former}, qt.DeepEquals, []int64{3, 2})
}

// TestFormerVersionIsAskedForWholeDocument guards against a rolling upgrade in which desired states do not spread.
func TestFormerVersionIsAskedForWholeDocument(t *testing.T) {
	c := qt.New(t)
	peers := newDocumentPeers(0)
	former := newTransferWatcher(c, peers, "former", largeVersion(2))
	delete(peers.handlers["former"], methodDesiredStatePart)
	behind := newTransferWatcher(c, peers, "behind", []byte("1"))
	start(c, behind)
	behind.Announce(rattanwork.Member{Name: "former", Address: "former"}, 2, time.Now())
	await(c, behind, 2)
	c.Check(behind.current().document, qt.DeepEquals, former.current().document)
}

// TestTransferredVersionIsNotReadAgain guards against a second copy, from the store, of a version that another instance has sent.
func TestTransferredVersionIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	peers := newDocumentPeers(0)
	source := newTransferWatcher(c, peers, "source", []byte("1"))
	c.Assert(source.accept([]byte("2"), 7, "store"), qt.IsNil)
	behind := newTransferWatcher(c, peers, "behind", []byte("1"))
	store := &countingSource{document: "1"}
	behind.config.Source = store
	start(c, behind)
	c.Assert(waitForReads(store, 1), qt.IsTrue)
	behind.Announce(rattanwork.Member{Name: "source", Address: "source"}, 2, time.Now())
	await(c, behind, 2)
	c.Assert(behind.Stop(context.Background()), qt.IsNil)
	c.Check(behind.revision, qt.Equals, int64(7))
	c.Check(store.reads, qt.Equals, 1)
}

// waitForReads reports whether the store was read that often within a second.
func waitForReads(store *countingSource, reads int) bool {
	for begun := time.Now(); time.Since(begun) < time.Second; time.Sleep(time.Millisecond) {
		store.mutex.Lock()
		enough := store.reads >= reads
		store.mutex.Unlock()
		if enough {
			return true
		}
	}
	return false
}
