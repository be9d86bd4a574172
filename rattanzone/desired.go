package rattanzone

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanwork"
)

const (
	// watchWait is how long a watch of the desired state may stay open; it
	// bounds how long a silent connection goes unnoticed.
	watchWait = 900 * time.Millisecond
	// watchRetry is the pause after a failed reading.
	watchRetry = 200 * time.Millisecond
)

// ErrOldDesired says that a desired state is older than the one in force.
const ErrOldDesired = errors.ConstError("desired state is older than the one in force")

// DesiredFeed reads the desired state from the store.
type DesiredFeed interface {
	Current(ctx context.Context) (document []byte, revision int64, err error)
	Changed(ctx context.Context, revision int64, wait time.Duration) (document []byte, next int64, err error)
}

// DesiredJournal receives what becomes of the desired state.
type DesiredJournal interface {
	DesiredAccepted(version int64, source string)
	DesiredInvalid(source string, err error)
	StoreLost(err error)
	StoreBack(outage time.Duration)
}

// DesiredConfig configures a Desired.
type DesiredConfig struct {
	Feed    DesiredFeed
	Parse   func(document []byte) (*rattanwork.DesiredState, error)
	Journal DesiredJournal
	Clock   func() time.Time
}

// Desired holds the newest desired state that this instance has seen. Its
// version never decreases. It is safe for concurrent use.
type Desired struct {
	config DesiredConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	state  atomic.Pointer[rattanwork.DesiredState]

	mutex    sync.Mutex
	document []byte
	lost     time.Time
}

// NewDesired returns a holder without a state.
func NewDesired(config DesiredConfig) *Desired {
	return &Desired{config: config}
}

// Name returns the name of the service in the kernel.
func (d *Desired) Name() string {
	return "Desired"
}

// Start begins to follow the store.
func (d *Desired) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { d.follow(ctx) })
	return nil
}

// Stop ends the loop.
func (d *Desired) Stop(context.Context) error {
	d.cancel()
	d.done.Wait()
	return nil
}

// State returns the state in force, nil if none is known yet.
func (d *Desired) State() *rattanwork.DesiredState {
	return d.state.Load()
}

// Version returns the version in force, 0 if none is known yet.
func (d *Desired) Version() int64 {
	if state := d.state.Load(); state != nil {
		return state.Version
	}
	return 0
}

// Document returns the encoded state in force.
func (d *Desired) Document() []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.document
}

// Accept puts a document into force unless it is older than the present one,
// for which it returns ErrOldDesired.
func (d *Desired) Accept(document []byte, source string) error {
	state, err := d.config.Parse(document)
	if err != nil {
		d.config.Journal.DesiredInvalid(source, err)
		return err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if current := d.state.Load(); current != nil && state.Version <= current.Version {
		if state.Version < current.Version {
			return ErrOldDesired
		}
		return nil
	}
	d.document = document
	d.state.Store(state)
	d.config.Journal.DesiredAccepted(state.Version, source)
	return nil
}

// follow reads the state and then waits for changes. After any failure it
// reads again, because changes may have been missed.
func (d *Desired) follow(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := d.readCurrent(ctx)
		for err == nil && ctx.Err() == nil {
			d.answered()
			revision, err = d.waitForChange(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, rattanwork.ErrNoDesired) {
			d.answered()
		} else {
			d.failed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (d *Desired) readCurrent(ctx context.Context) (int64, error) {
	document, revision, err := d.config.Feed.Current(ctx)
	if err != nil {
		return 0, err
	}
	d.accept(document)
	return revision, nil
}

func (d *Desired) waitForChange(ctx context.Context, revision int64) (int64, error) {
	document, next, err := d.config.Feed.Changed(ctx, revision, watchWait)
	if err != nil {
		return 0, err
	}
	if document != nil {
		d.accept(document)
	}
	return next, nil
}

// accept takes in a document of the store. An older one is a stale answer, and
// an invalid one is reported by Accept.
func (d *Desired) accept(document []byte) {
	_ = d.Accept(document, "store")
}

func (d *Desired) answered() {
	if d.lost.IsZero() {
		return
	}
	d.config.Journal.StoreBack(d.config.Clock().Sub(d.lost))
	d.lost = time.Time{}
}

func (d *Desired) failed(err error) {
	if d.lost.IsZero() {
		d.lost = d.config.Clock()
		d.config.Journal.StoreLost(err)
	}
}
