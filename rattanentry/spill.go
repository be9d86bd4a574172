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
	// spillInterval is how often waiting tasks are looked for.
	spillInterval = 10 * time.Millisecond
	borrowTimeout = 100 * time.Millisecond
	// returnAfter is how long borrowed slots may be idle before they are
	// returned; their leases would end by themselves.
	returnAfter = 100 * time.Millisecond
)

// SpillConfig configures Spill. All fields are required. Connect
// sets those of other services.
type SpillConfig struct {
	Instance string
	Home     *Home
	Members  *Members
	Loads    *Loads
	Peers    PeerCaller
}

// Spill borrows idle slots of other pools while tasks wait.
type Spill struct {
	config SpillConfig
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// idleSince is when the borrowed slots of a service became idle.
	idleSince map[string]time.Time
}

// returned is the body of a message that repays loans.
type returned struct {
	Borrower string
	Targets  []string
}

// NewSpill returns a borrower without loans.
func NewSpill(config SpillConfig) *Spill {
	return &Spill{config: config, idleSince: map[string]time.Time{}}
}

// Connect finds the services that this one uses.
func (s *Spill) Connect(kernel *rattankernel.Kernel) error {
	return kernel.Resolve(
		rattankernel.DependsOn(serviceHome, &s.config.Home),
		rattankernel.DependsOn(serviceMembers, &s.config.Members),
		rattankernel.DependsOn(serviceLoads, &s.config.Loads),
		rattankernel.DependsOn(serviceLinks, &s.config.Peers),
	)
}

// Handle serves borrowers.
func (s *Spill) Handle(node *rattanpeer.Node) {
	node.Handle(methodBorrow, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request rattanloan.Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		return json.Marshal(s.config.Home.Lend(time.Now(), request))
	})
	node.Handle(methodReturn, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var request returned
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, errors.Trace(err)
		}
		s.config.Home.Repay(time.Now(), request.Borrower, request.Targets)
		return nil, nil
	})
}

// Name returns the name of the service in the kernel.
func (s *Spill) Name() string {
	return serviceSpill
}

// Start begins to look for waiting tasks.
func (s *Spill) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.loops.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, spillInterval)
			s.step(ctx, time.Now())
		}
	})
	return nil
}

// Stop ends the borrowing; loans end with their leases.
func (s *Spill) Stop(context.Context) error {
	s.cancel()
	s.loops.Wait()
	return nil
}

// step borrows for services whose tasks wait and returns idle slots.
func (s *Spill) step(ctx context.Context, now time.Time) {
	for service, slots := range s.config.Home.Wanted(now) {
		s.borrow(ctx, service, slots)
	}
	idle := s.config.Home.IdleLoans(now)
	maps.DeleteFunc(s.idleSince, func(service string, _ time.Time) bool { return !slices.Contains(idle, service) })
	for _, service := range idle {
		since, ok := s.idleSince[service]
		switch {
		case !ok:
			s.idleSince[service] = now
		case now.Sub(since) >= returnAfter:
			s.giveBack(ctx, now, service)
		}
	}
}

// borrow asks the lenders in their order until the need is met.
func (s *Spill) borrow(ctx context.Context, service string, slots int) {
	for _, lender := range s.lenders(time.Now(), service) {
		if slots < 1 {
			return
		}
		grants := s.ask(ctx, lender, rattanloan.Request{Borrower: s.config.Instance, Service: service, Slots: slots})
		now := time.Now()
		s.config.Home.Borrow(now, lender.Incarnation.Instance, service, grants)
		for _, grant := range grants {
			slots -= grant.Slots
		}
	}
}

func (s *Spill) ask(ctx context.Context, lender rattanmember.Member, request rattanloan.Request) []rattanloan.Grant {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	grants, err := callPeer[[]rattanloan.Grant](ctx, s.config.Peers, lender.PeerAddress, methodBorrow, request)
	if err != nil {
		return nil
	}
	return grants
}

// lenders returns the homes that are known to have idle slots, those of this
// zone first.
func (s *Spill) lenders(now time.Time, service string) []rattanmember.Member {
	homes := map[string]rattanmember.Member{}
	for _, home := range s.config.Members.Homes(now) {
		homes[home.Incarnation.Instance] = home
	}
	var lenders []rattanmember.Member
	for _, name := range s.config.Loads.Lenders(now, service) {
		if home, ok := homes[name]; ok {
			lenders = append(lenders, home)
		}
	}
	return lenders
}

// giveBack repays the loans of a service. A message that is lost does no harm:
// the leases end by themselves.
func (s *Spill) giveBack(ctx context.Context, now time.Time, service string) {
	delete(s.idleSince, service)
	addresses := map[string]string{}
	for _, home := range s.config.Members.Homes(now) {
		addresses[home.Incarnation.Instance] = home.PeerAddress
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for lender, targets := range s.config.Home.ReturnLoans(now, service) {
		body, err := json.Marshal(returned{Borrower: s.config.Instance, Targets: targets})
		if err == nil && addresses[lender] != "" {
			_, _ = s.config.Peers.Call(ctx, addresses[lender], methodReturn, body)
		}
	}
}
