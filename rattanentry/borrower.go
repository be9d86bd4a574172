package rattanentry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattankernel"
	"github.com/rattanlever/rattanlever/rattanloan"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpeer"
)

const (
	methodBorrow = "Borrow"
	methodReturn = "Return"
	// borrowInterval is how often the home is checked for queued tasks.
	borrowInterval = 10 * time.Millisecond
	borrowTimeout  = 100 * time.Millisecond
	// idleLoanTimeout is how long borrowed slots may be idle before they are
	// returned. Their leases end even if they are not returned.
	idleLoanTimeout = 100 * time.Millisecond
)

// BorrowerConfig configures a Borrower. All fields are required. Connect sets
// Home, Membership, LoadExchange and Peers.
type BorrowerConfig struct {
	Instance     string
	Home         *Home
	Membership   *Membership
	LoadExchange *LoadExchange
	Peers        PeerCaller
}

// Borrower borrows idle slots of other pools while tasks are queued.
type Borrower struct {
	config BorrowerConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// idleSince is when the borrowed slots of a service became idle.
	idleSince map[string]time.Time
}

// returnRequest is the body of a request that returns borrowed slots.
type returnRequest struct {
	Borrower string
	Targets  []string
}

// NewBorrower returns a borrower without loans.
func NewBorrower(config BorrowerConfig) *Borrower {
	return &Borrower{config: config, idleSince: map[string]time.Time{}}
}

// Connect resolves the services that the borrower depends on.
func (b *Borrower) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &b.config.Home),
		rattankernel.DependsOn(serviceMembership, &b.config.Membership),
		rattankernel.DependsOn(serviceLoadExchange, &b.config.LoadExchange),
		rattankernel.DependsOn(servicePeers, &b.config.Peers),
	)
}

// Handle registers the handlers of requests by borrowers of other instances.
func (b *Borrower) Handle(node *rattanpeer.Node) {
	node.Handle(methodBorrow, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request rattanloan.Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(b.config.Home.Lend(time.Now(), request))
	})
	node.Handle(methodReturn, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request returnRequest
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		b.config.Home.AcceptReturn(time.Now(), request.Borrower, request.Targets)
		return nil, nil
	})
}

// Name returns the name of the service in the kernel.
func (b *Borrower) Name() string {
	return serviceBorrower
}

// Start starts checking for queued tasks.
func (b *Borrower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, borrowInterval)
			b.balance(ctx, time.Now())
		}
	})
	return nil
}

// Stop stops borrowing. Active loans end with their leases.
func (b *Borrower) Stop(context.Context) error {
	b.cancel()
	b.loops.Wait()
	return nil
}

// balance borrows slots for services with queued tasks and returns slots that
// have been idle for idleLoanTimeout.
func (b *Borrower) balance(ctx context.Context, now time.Time) {
	for service, slots := range b.config.Home.SlotsToBorrow(now) {
		b.borrow(ctx, service, slots)
	}
	idle := b.config.Home.IdleLoans(now)
	maps.DeleteFunc(b.idleSince, func(service string, _ time.Time) bool { return !slices.Contains(idle, service) })
	for _, service := range idle {
		since, ok := b.idleSince[service]
		switch {
		case !ok:
			b.idleSince[service] = now
		case now.Sub(since) >= idleLoanTimeout:
			b.returnLoans(ctx, now, service)
		}
	}
}

// borrow asks the lenders in order until enough slots are granted.
func (b *Borrower) borrow(ctx context.Context, service string, slots int) {
	for _, lender := range b.lenders(time.Now(), service) {
		if slots < 1 {
			return
		}
		grants := b.requestLoan(ctx, lender, rattanloan.Request{Borrower: b.config.Instance, Service: service, Slots: slots})
		now := time.Now()
		b.config.Home.Borrow(now, lender.Incarnation.Instance, service, grants)
		for _, grant := range grants {
			slots -= grant.Slots
		}
	}
}

// requestLoan asks one lender for slots. It returns no grants if the lender
// does not answer.
func (b *Borrower) requestLoan(ctx context.Context, lender rattanmember.Member, request rattanloan.Request) []rattanloan.Grant {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	grants, err := callPeer[[]rattanloan.Grant](ctx, b.config.Peers, lender.PeerAddress, methodBorrow, request)
	if err != nil {
		return nil
	}
	return grants
}

// lenders returns the homes that are known to have idle slots, those of this
// zone first.
func (b *Borrower) lenders(now time.Time, service string) []rattanmember.Member {
	homes := map[string]rattanmember.Member{}
	for _, home := range b.config.Membership.Homes(now) {
		homes[home.Incarnation.Instance] = home
	}
	var lenders []rattanmember.Member
	for _, name := range b.config.LoadExchange.Lenders(now, service) {
		if home, ok := homes[name]; ok {
			lenders = append(lenders, home)
		}
	}
	return lenders
}

// returnLoans returns the borrowed slots of a service. A lost message does no
// harm, because the leases end anyway.
func (b *Borrower) returnLoans(ctx context.Context, now time.Time, service string) {
	delete(b.idleSince, service)
	addresses := map[string]string{}
	for _, home := range b.config.Membership.Homes(now) {
		addresses[home.Incarnation.Instance] = home.PeerAddress
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for lender, targets := range b.config.Home.ReturnLoans(now, service) {
		body, err := json.Marshal(returnRequest{Borrower: b.config.Instance, Targets: targets})
		if err == nil && addresses[lender] != "" {
			_, _ = b.config.Peers.Call(ctx, addresses[lender], methodReturn, body)
		}
	}
}
