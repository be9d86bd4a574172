package rattanlimit

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Errors of reading a body.
const (
	// ErrTooLarge reports that a body is larger than its limit.
	ErrTooLarge = errors.ConstError("body too large")
	// ErrNoRoom reports that the budget has no room for a body.
	ErrNoRoom = errors.ConstError("too many requests in progress")
	// ErrSlow reports that a body was given up because it did not arrive in time.
	ErrSlow = errors.ConstError("body not received in time")
)

const (
	// firstSegment is the size of the first segment of a body of unknown length. The
	// others are as large as all before, but not larger than maxSegment.
	firstSegment = 512
	maxSegment   = 16 << 10
	// maxLimit bounds the limit of a body, so that sums cannot overflow.
	maxLimit = 1 << 30
	// sweepInterval is the interval at which bodies that are being received are
	// examined.
	sweepInterval = 250 * time.Millisecond
	// smallRead is the size below which a read is small. A body in chunks of one byte
	// arrives in reads of 680 bytes, each of which costs as much processor time as one
	// of many kilobytes.
	smallRead = 1 << 10
	// freeSmallReads is the number of small reads of a body that are not limited. The
	// others share smallReadRate a second, or smallReadBurst at once: a whole body of
	// 262,144 bytes in chunks of one byte, which takes some 390.
	freeSmallReads = 4
	smallReadRate  = 500
	smallReadBurst = 400
	// unreadTimeout bounds the time for which the server waits for a body that no
	// handler reads. It is longer than any request without a body takes: the server
	// ends the context of the requests on a connection whose read deadline passes.
	unreadTimeout = 10 * time.Second
)

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// Bodies reads the bodies of requests within a common budget. It is safe for
// concurrent use.
type Bodies struct {
	budget  *Budget
	journal Journal
	clock   func() time.Time
	// smallReads limits the small reads of all bodies.
	smallReads *rate.Limiter

	mutex sync.Mutex
	// receiving contains the bodies that are being received, sweeping whether the
	// next examination of them is scheduled.
	receiving map[*reception]struct{}
	sweeping  bool
}

// reception is a body that is being received. Its fields are guarded by the mutex
// of Bodies until end has been called.
type reception struct {
	share    Share
	progress progress
	// smallReads counts the small reads. Only the reader uses it.
	smallReads int
	controller *http.ResponseController
	connection *Connection
	// aborted is set once the body was given up for the cause.
	aborted bool
	cause   Cause
}

// NewBodies returns an empty set of bodies within the budget. The journal may be nil.
func NewBodies(budget *Budget, journal Journal, clock func() time.Time) *Bodies {
	if journal == nil {
		journal = noJournal{}
	}
	return &Bodies{
		budget: budget, journal: journal, clock: clock, receiving: map[*reception]struct{}{},
		smallReads: rate.NewLimiter(smallReadRate, smallReadBurst),
	}
}

// Held is what the budget counts for a request whose body has been received.
type Held struct {
	bodies *Bodies
	share  Share
	// large is set if the request has no claim to the reserved share.
	large bool
}

// Resize changes the number of bytes held for the request. It reports false if
// there is no room for more.
func (h *Held) Resize(bytes int64) bool {
	if h.share.Resize(bytes, h.large) {
		return true
	}
	h.bodies.journal.CallerLimited(JobRefused)
	return false
}

// Release returns the bytes of the request to the budget.
func (h *Held) Release() {
	h.share.Release()
}

// Receive reads the body of a request of at most limit bytes. The result counts
// against the budget until it is released. After an error there is nothing to
// release, and the connection closes with the answer, without waiting for the rest
// of the body.
func (b *Bodies) Receive(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, Held, error) {
	body, held, err := b.receive(w, r, limit)
	if err != nil {
		GiveUp(w, r)
	}
	return body, held, err
}

func (b *Bodies) receive(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, Held, error) {
	limit = min(limit, maxLimit)
	if r.ContentLength > limit {
		return nil, Held{}, ErrTooLarge
	}
	now := b.clock()
	body := &reception{
		share:      b.budget.NewShare(),
		progress:   progress{startedAt: now, advancedAt: now},
		controller: http.NewResponseController(w),
		connection: connectionOf(r.Context()),
	}
	first := r.ContentLength
	if first < 0 {
		first = min(firstSegment, limit+1)
	}
	if !b.grow(body, first, first > smallBytes) {
		return nil, Held{}, ErrNoRoom
	}
	b.begin(body)
	data, err := b.read(body, r, limit)
	if cause, aborted := b.end(body); aborted {
		b.journal.CallerLimited(cause)
		err = ErrSlow
	}
	if err != nil {
		body.share.Release()
		return nil, Held{}, err
	}
	return data, Held{bodies: b, share: body.share, large: body.share.large}, nil
}

func (b *Bodies) read(body *reception, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		data := make([]byte, r.ContentLength)
		n, err := b.fill(r.Context(), body, r.Body, data)
		if err == nil && n < len(data) {
			err = io.ErrUnexpectedEOF
		}
		return data[:n], err
	}
	return b.readChunked(r.Context(), body, r.Body, limit)
}

// readChunked reads a body of unknown length in segments, each of which is counted
// before it is allocated.
func (b *Bodies) readChunked(ctx context.Context, body *reception, source io.Reader, limit int64) ([]byte, error) {
	var segments [][]byte
	total, size := int64(0), min(firstSegment, limit+1)
	for {
		part := make([]byte, size)
		n, err := b.fill(ctx, body, source, part)
		total += int64(n)
		segments = append(segments, part[:n])
		if total > limit {
			return nil, ErrTooLarge
		}
		if err != nil {
			return nil, err
		}
		if int64(n) < size {
			break
		}
		size = min(maxSegment, total, limit+1-total)
		if !b.grow(body, total+size, total+size > smallBytes) {
			return nil, ErrNoRoom
		}
	}
	if len(segments) == 1 {
		return segments[0], nil
	}
	// The segments and the whole are held for a moment.
	if !b.grow(body, 2*total, total > smallBytes) {
		return nil, ErrNoRoom
	}
	data := make([]byte, 0, total)
	for _, part := range segments {
		data = append(data, part...)
	}
	b.grow(body, total, total > smallBytes)
	return data, nil
}

// fill reads until the buffer is full or the body has ended.
func (b *Bodies) fill(ctx context.Context, body *reception, source io.Reader, buffer []byte) (int, error) {
	read := 0
	for read < len(buffer) {
		n, err := source.Read(buffer[read:])
		read += n
		if n > 0 {
			b.advance(body, int64(n))
		}
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		if n < smallRead && read < len(buffer) {
			if err := b.awaitSmallRead(ctx, body); err != nil {
				return read, err
			}
		}
	}
	return read, nil
}

// awaitSmallRead returns when a body may go on after a small read.
func (b *Bodies) awaitSmallRead(ctx context.Context, body *reception) error {
	body.smallReads++
	if body.smallReads <= freeSmallReads {
		return nil
	}
	return b.smallReads.Wait(ctx)
}

// grow changes the bytes of a body that is being received. If there is no room, it
// gives up others that do not advance, which makes room for later bodies, and
// reports false.
func (b *Bodies) grow(body *reception, bytes int64, large bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if body.share.Resize(bytes, body.share.large || large) {
		return true
	}
	b.journal.CallerLimited(BodyRefused)
	b.evict(bytes, b.clock())
	return false
}

// evict gives up bodies that do not advance, until so many bytes become free. It
// examines some, in the random order of the map.
func (b *Bodies) evict(bytes int64, now time.Time) {
	examined := 0
	for other := range b.receiving {
		if examined++; bytes <= 0 || examined > maxExamined {
			return
		}
		if !other.aborted && other.progress.evictable(now) {
			bytes -= other.share.bytes
			other.abort(BodyEvicted)
		}
	}
}

func (b *Bodies) begin(body *reception) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.receiving[body] = struct{}{}
	if body.connection != nil {
		body.connection.beginBody(body.progress.startedAt)
	}
	if !b.sweeping {
		b.sweeping = true
		time.AfterFunc(sweepInterval, b.sweep)
	}
}

func (b *Bodies) advance(body *reception, bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !body.progress.advance(bytes) {
		return
	}
	body.progress.advancedAt = b.clock()
	if body.connection != nil {
		body.connection.progressed(body.progress.advancedAt)
	}
}

// end ends the reception of a body and returns for which cause it was given up.
func (b *Bodies) end(body *reception) (Cause, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.receiving, body)
	if body.connection != nil {
		body.connection.endBody()
	}
	return body.cause, body.aborted
}

// sweep gives up the bodies that must not go on. It repeats while there are any.
func (b *Bodies) sweep() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	for body := range b.receiving {
		if body.aborted {
			continue
		}
		if cause, ok := body.progress.fault(now); ok {
			body.abort(cause)
		} else if body.progress.slow(now) && !body.share.large && !body.share.Resize(body.share.bytes, true) {
			body.abort(BodyEvicted)
		}
	}
	b.sweeping = len(b.receiving) > 0
	if b.sweeping {
		time.AfterFunc(sweepInterval, b.sweep)
	}
}

// abort ends the read of a body.
func (r *reception) abort(cause Cause) {
	r.aborted, r.cause = true, cause
	_ = r.controller.SetReadDeadline(past)
}

// GiveUp makes the server close the connection with the answer to a request,
// without reading the rest of its body.
func GiveUp(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	lingerAfter(w, r)
	w.Header()["Connection"] = []string{"close"}
	_ = http.NewResponseController(w).SetReadDeadline(past)
}

// lingerAfter makes the connection stay open for a moment after the answer, so that the
// caller can still read it.
func lingerAfter(w http.ResponseWriter, r *http.Request) {
	if connection := connectionOf(r.Context()); connection != nil {
		connection.linger()
		return
	}
	// The server does the same if a body exceeds the limit of such a reader, but keeps a
	// goroutine and buffers meanwhile.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// Skip bounds what the server does with the body of a request that no handler reads:
// it waits for a small one, so that the connection can be used again.
func Skip(w http.ResponseWriter, r *http.Request, now time.Time) {
	switch {
	case r.ContentLength == 0:
	case r.ContentLength < 0 || r.ContentLength > smallBytes:
		GiveUp(w, r)
	default:
		_ = http.NewResponseController(w).SetReadDeadline(now.Add(unreadTimeout))
	}
}

// connectionKey is the context key of a Connection.
type connectionKey struct{}

// connectionOf returns the connection of a request, nil if it is not counted.
func connectionOf(ctx context.Context) *Connection {
	connection, _ := ctx.Value(connectionKey{}).(*Connection)
	return connection
}
