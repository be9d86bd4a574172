package rattanzone

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// watchTimeout bounds one watch of the desired state, and thereby how long
	// a dead connection to the store goes unnoticed.
	watchTimeout = 900 * time.Millisecond
	// watchRetryDelay is the least time from a call that fails to the next read.
	watchRetryDelay = 200 * time.Millisecond
	// storeSource names the store as the source of what is in force.
	storeSource = "store"
)

// ErrStaleDesiredState reports that a desired state is older than the one in
// force.
const ErrStaleDesiredState = errors.ConstError("desired state is older than the one in force")

// DesiredStateSource reads from the store what an operator has written.
type DesiredStateSource interface {
	// Current returns what is in the store. It returns rattanwork.ErrNoDesiredState
	// if there is neither a desired state nor a set of evacuations to return.
	Current(ctx context.Context) (rattanwork.OperatorState, error)
	// WaitForChange waits for a change after the revision of what is known, at most
	// for the timeout. It returns what has changed, the evacuations as a whole, and
	// the revision to continue from.
	WaitForChange(ctx context.Context, known rattanwork.OperatorState, timeout time.Duration) (rattanwork.OperatorState, error)
}

// DesiredStateJournal records changes of the desired state and of the
// connection to the store.
type DesiredStateJournal interface {
	DesiredStateAccepted(version int64, source string)
	DesiredStateInvalid(source string, err error)
	// DesiredStateNotReceived reports that a transfer from another instance failed.
	DesiredStateNotReceived(source string, err error)
	StoreLost(err error)
	StoreRegained(outage time.Duration)
}

// DesiredStateConfig configures a DesiredStateWatcher.
type DesiredStateConfig struct {
	Source  DesiredStateSource
	Parse   func(document []byte) (*rattanwork.DesiredState, error)
	Journal DesiredStateJournal
	// Evacuations gets the evacuations that the source reads, nil if it reads none.
	Evacuations *Evacuations
	// Peers carries the transfers between instances. If it is nil, there are none.
	Peers DocumentPeers
	Clock func() time.Time
}

// DesiredStateWatcher follows the desired state in the store and in other instances,
// and holds the newest version that this instance has received. The version never
// decreases. All documents are received in one loop, so that at most one is under
// way. It is safe for concurrent use.
type DesiredStateWatcher struct {
	config DesiredStateConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup
	state  atomic.Pointer[rattanwork.DesiredState]
	// freshness tells whether the state may have changed during a pause.
	freshness freshness
	encoder   documentEncoder

	mutex    sync.Mutex
	document []byte
	// documentRevision is the store revision up to which document is the newest
	// one, 0 if that is not known.
	documentRevision int64
	sources          documentSources
	// interrupt ends the call to the store in progress, nil if that is not to be
	// interrupted.
	interrupt context.CancelFunc
	// changed is closed and replaced when a newer state is in force.
	changed chan struct{}

	// Only the loop uses the fields below. revision is the store revision from which
	// to continue, 0 if the state must be read.
	revision int64
	// evacuations is the set that was read from the store, as of revision. It may be
	// older than the one in force.
	evacuations rattanwork.Evacuations
	// behind is set if the last answer of the store was older than the evacuations in
	// force, because the store has lost changes.
	behind bool
	// unreachableSince is when the store stopped answering, zero while it answers.
	unreachableSince time.Time
}

// NewDesiredStateWatcher returns a watcher that has no state yet, and registers its
// RPC handlers.
func NewDesiredStateWatcher(config DesiredStateConfig) *DesiredStateWatcher {
	w := &DesiredStateWatcher{config: config, sources: documentSources{byName: map[string]*documentSource{}}, changed: make(chan struct{})}
	if config.Peers != nil {
		config.Peers.Handle(methodDesiredState, w.handleWhole)
		config.Peers.Handle(methodDesiredStatePart, w.handlePart)
	}
	return w
}

// Name returns the name of the service in the kernel.
func (w *DesiredStateWatcher) Name() string {
	return "Desired"
}

// Start begins to follow the desired state.
func (w *DesiredStateWatcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.loops.Go(func() { w.follow(ctx) })
	return nil
}

// Stop ends the loop.
func (w *DesiredStateWatcher) Stop(context.Context) error {
	w.cancel()
	w.loops.Wait()
	return nil
}

// State returns the state in force, nil if none is known yet.
func (w *DesiredStateWatcher) State() *rattanwork.DesiredState {
	return w.state.Load()
}

// Version returns the version in force, 0 if none is known yet.
func (w *DesiredStateWatcher) Version() int64 {
	if state := w.state.Load(); state != nil {
		return state.Version
	}
	return 0
}

// Announce records that another instance has a version, which is fetched if it is
// newer than the one in force.
func (w *DesiredStateWatcher) Announce(member rattanwork.Member, version int64, now time.Time) {
	if w.config.Peers == nil || version <= w.Version() {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.sources.announce(member, version, now) && w.interrupt != nil {
		w.interrupt()
	}
}

// Await returns once the version or a newer one is in force, or when ctx ends.
func (w *DesiredStateWatcher) Await(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		w.mutex.Lock()
		changed := w.changed
		w.mutex.Unlock()
		if w.Version() >= version {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// current returns the state in force as received.
func (w *DesiredStateWatcher) current() versionedDocument {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return versionedDocument{version: w.Version(), revision: w.documentRevision, document: w.document}
}

// Accept puts a document into force. It returns ErrStaleDesiredState if the
// document is older than the one in force.
func (w *DesiredStateWatcher) Accept(document []byte, source string) error {
	return w.accept(document, 0, source)
}

// accept does the same for a document that is the newest one up to a store revision,
// or of which that is not known if it is 0.
func (w *DesiredStateWatcher) accept(document []byte, revision int64, source string) error {
	w.mutex.Lock()
	known := w.document != nil && bytes.Equal(document, w.document)
	if known && revision != 0 {
		w.documentRevision = revision
	}
	w.mutex.Unlock()
	if known {
		return nil
	}
	state, err := w.config.Parse(document)
	if err != nil {
		w.config.Journal.DesiredStateInvalid(source, err)
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if current := w.state.Load(); current != nil && state.Version <= current.Version {
		if state.Version < current.Version {
			return ErrStaleDesiredState
		}
		return nil
	}
	w.document, w.documentRevision = document, revision
	w.state.Store(state)
	w.sources.accepted(state.Version)
	close(w.changed)
	w.changed = make(chan struct{})
	w.config.Journal.DesiredStateAccepted(state.Version, source)
	return nil
}

// follow fetches the newest version that other instances have announced, and follows
// the store while there is none.
func (w *DesiredStateWatcher) follow(ctx context.Context) {
	for ctx.Err() == nil {
		storeCtx, cancel := context.WithCancel(ctx)
		if source, ok := w.nextSource(cancel); ok {
			w.fetch(ctx, source)
		} else {
			w.followStore(ctx, storeCtx)
		}
		cancel()
	}
}

// nextSource returns the instance from which to fetch the desired state. If there is
// none, it lets a source that appears interrupt the call to the store, unless the
// last transfers from other instances have failed.
func (w *DesiredStateWatcher) nextSource(interrupt context.CancelFunc) (rattanwork.Member, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.interrupt = nil
	now := w.config.Clock()
	source, ok := w.sources.next(now)
	if !ok && !w.sources.paused(now) {
		w.interrupt = interrupt
	}
	return source, ok
}

// fetch fetches the desired state from another instance.
func (w *DesiredStateWatcher) fetch(ctx context.Context, source rattanwork.Member) {
	begunAt := w.config.Clock()
	before := w.Version()
	received, err := w.transfer(ctx, source.Address)
	if err == nil {
		err = w.accept(received.document, received.revision, source.Name)
	}
	if err == nil && w.Version() == before {
		err = ErrStaleDesiredState
	}
	if err != nil {
		w.transferFailed(ctx, source, err)
		return
	}
	w.continueFrom(received.revision)
	w.Compared(begunAt)
}

// continueFrom keeps the store from sending again a desired state that another
// instance has sent, which is the newest one up to the revision.
func (w *DesiredStateWatcher) continueFrom(revision int64) {
	if w.revision == 0 || w.behind || revision <= w.revision {
		return
	}
	if w.config.Evacuations != nil {
		// The set is complete up to its revision only. Changes before that, which the
		// store sends again, lead to the same set.
		known := w.config.Evacuations.Known()
		if known.Revision <= w.revision {
			return
		}
		w.evacuations = known
		revision = min(revision, known.Revision)
	}
	w.revision = revision
}

// transferFailed records that a transfer from another instance has failed.
func (w *DesiredStateWatcher) transferFailed(ctx context.Context, source rattanwork.Member, err error) {
	if ctx.Err() != nil {
		return
	}
	w.config.Journal.DesiredStateNotReceived(source.Name, err)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.sources.failed(source.Name, w.config.Clock()) {
		w.revision = 0
	}
}

// followStore reads the state from the store or waits for a change of it. After any
// failure it reads the state again, because it may have missed changes.
func (w *DesiredStateWatcher) followStore(ctx, storeCtx context.Context) {
	calledAt := w.config.Clock()
	err := w.callStore(storeCtx)
	if ctx.Err() != nil || err != nil && storeCtx.Err() != nil {
		return
	}
	if err == nil {
		w.storeAnswered()
		w.Compared(calledAt)
		return
	}
	w.revision = 0
	if errors.Is(err, rattanwork.ErrNoDesiredState) {
		w.storeAnswered()
	} else {
		w.storeFailed(err)
	}
	select {
	case <-storeCtx.Done():
	case <-time.After(watchRetryDelay - w.config.Clock().Sub(calledAt)):
	}
}

// callStore reads the state or waits for a change.
func (w *DesiredStateWatcher) callStore(ctx context.Context) error {
	var answer rattanwork.OperatorState
	var err error
	known := w.config.Evacuations.Known()
	begunAt := w.config.Evacuations.BeginComparison()
	if w.revision == 0 {
		answer, err = w.config.Source.Current(ctx)
	} else {
		answer, err = w.config.Source.WaitForChange(ctx, rattanwork.OperatorState{Revision: w.revision, Evacuations: w.evacuations}, watchTimeout)
	}
	if err != nil {
		return err
	}
	next := answer.Revision
	if next < w.revision {
		// The store has lost changes that another instance has seen.
		next = 0
	}
	w.revision = next
	w.behind = answer.Revision < known.Revision
	if next != 0 && w.config.Evacuations != nil {
		w.evacuations = answer.Evacuations
		w.config.Evacuations.Merge(answer.Evacuations, storeSource)
		w.config.Evacuations.Compared(begunAt)
	}
	if answer.Document != nil {
		// Errors are ignored: an older document is a stale read, and accept records
		// an invalid one.
		_ = w.accept(answer.Document, next, storeSource)
	}
	return nil
}

func (w *DesiredStateWatcher) storeAnswered() {
	if w.unreachableSince.IsZero() {
		return
	}
	w.config.Journal.StoreRegained(w.config.Clock().Sub(w.unreachableSince))
	w.unreachableSince = time.Time{}
}

func (w *DesiredStateWatcher) storeFailed(err error) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = w.config.Clock()
		w.config.Journal.StoreLost(err)
	}
}
