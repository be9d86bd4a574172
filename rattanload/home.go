package rattanload

import (
	"slices"
	"time"
)

// reported is a weight and the sequence of the first report that held it.
type reported struct {
	sequence uint64
	value    int
}

// Home is a home's side of the exchange with the aggregator of its zone. It is
// not safe for concurrent use.
type Home struct {
	instance string
	sequence uint64
	// aggregator is the instance that reports are sent to, and since the
	// sequence of the first report to it.
	aggregator string
	since      uint64
	// confirmed is the last report that the aggregator has answered; 0 means
	// that the next report is full.
	confirmed uint64
	// weights are the reported weights. Those of a sequence after answered cap
	// the Own values in use.
	weights map[CallerID]reported
	pending map[CallerID][]reported
	// peaks are the highest demands of the current windows.
	peaks map[CallerID]int
	// answered is the report that the shares in use answer.
	answered uint64
	term     uint64
	version  uint64
	shares   Shares
	lenders  map[string][]string
	// began is when the home began to report, and renewed when it last took
	// shares.
	began, renewed time.Time
}

// NewHome returns a home without shares. Sequences begin after first, which must
// rise with each restart of the instance.
func NewHome(instance string, first uint64) *Home {
	return &Home{
		instance: instance,
		sequence: first,
		weights:  map[CallerID]reported{},
		pending:  map[CallerID][]reported{},
		peaks:    map[CallerID]int{},
		shares:   Shares{},
		lenders:  map[string][]string{},
	}
}

// Lenders returns the homes to borrow slots of a service from, in the order in
// which to ask them.
func (h *Home) Lenders(now time.Time, service string) []string {
	if now.Sub(h.renewed) >= Lifetime {
		return nil
	}
	return h.lenders[service]
}

// QuotaPart returns the part of a caller's quota that the home may use, at least 1.
// A home without shares for Lifetime takes an even part of the known homes.
func (h *Home) QuotaPart(now time.Time, caller CallerID, quota, homes int) int {
	if h.renewed.IsZero() && (h.began.IsZero() || now.Sub(h.began) < Lifetime) {
		return min(1, quota)
	}
	if now.Sub(h.renewed) >= Lifetime {
		return max(1, quota/max(1, homes))
	}
	own := h.own(caller) + h.own(baseCaller)
	all := own + h.shares[caller].Rest + h.shares[baseCaller].Rest
	return max(1, quota*own/max(1, all))
}

// MakeReport returns the report to send to the aggregator.
func (h *Home) MakeReport(now time.Time, aggregator string, load Load) Report {
	h.sequence++
	if h.began.IsZero() {
		h.began = now
	}
	if aggregator != h.aggregator {
		h.aggregator = aggregator
		h.since = h.sequence
		h.confirmed = 0
	}
	report := Report{
		Instance: h.instance,
		Sequence: h.sequence,
		Term:     h.term,
		Version:  h.version,
		Full:     h.confirmed == 0,
		Weights:  Values{},
		Idle:     load.Idle,
	}
	if report.Full {
		report.Held = h.held()
	}
	h.weigh(load.Demand, report.Held)
	for caller, weight := range h.weights {
		if weight.sequence > h.confirmed && (weight.value > 0 || !report.Full) {
			report.Weights[caller] = weight.value
		}
	}
	return report
}

// ApplyReply takes in the reply to a report and returns whether shares or lenders may
// have changed.
func (h *Home) ApplyReply(now time.Time, reply Reply) bool {
	if reply.Sequence < h.since || reply.Sequence > h.sequence {
		return false
	}
	if reply.Resend {
		// The full report must state all that is in use, so that no reply to a
		// former report may raise it.
		h.confirmed = 0
		h.since = h.sequence + 1
		return false
	}
	h.confirmed = max(h.confirmed, reply.Sequence)
	newer := reply.Term > h.term || (reply.Term == h.term && reply.Version > h.version && h.version >= reply.Base)
	if !reply.Ready || !newer {
		return false
	}
	if reply.Base == 0 {
		h.shares = Shares{}
		h.lenders = map[string][]string{}
	}
	h.term = reply.Term
	h.version = reply.Version
	h.answered = reply.Sequence
	h.renewed = now
	for caller, share := range reply.Shares {
		h.shares[caller] = share
		if share == (Share{}) {
			delete(h.shares, caller)
		}
	}
	for service, lenders := range reply.Lenders {
		h.lenders[service] = lenders
	}
	h.settle()
	return true
}

// Term returns the term of the shares in use; 0 means none.
func (h *Home) Term() uint64 {
	return h.term
}

// held returns the Own values in use.
func (h *Home) held() Values {
	held := Values{}
	for caller := range h.shares {
		if own := h.own(caller); own > 0 {
			held[caller] = own
		}
	}
	return held
}

// own returns the weight that all other homes count for this one.
func (h *Home) own(caller CallerID) int {
	own := h.shares[caller].Own
	for _, later := range h.pending[caller] {
		own = min(own, later.value)
	}
	return own
}

// settle forgets what the shares in use answer.
func (h *Home) settle() {
	for caller, pending := range h.pending {
		pending = slices.DeleteFunc(pending, func(later reported) bool { return later.sequence <= h.answered })
		if len(pending) == 0 {
			delete(h.pending, caller)
			continue
		}
		h.pending[caller] = pending
	}
	for caller, weight := range h.weights {
		if weight.value == 0 && weight.sequence <= h.confirmed {
			delete(h.weights, caller)
		}
	}
}

// weigh sets the weights of this report: at least the held ones, and otherwise
// the demand, of which small changes are left out.
func (h *Home) weigh(demand map[CallerID]int, held Values) {
	h.set(baseCaller, 1)
	for caller, count := range demand {
		h.set(caller, max(h.next(caller, count), held[caller]))
	}
	for caller := range h.weights {
		if _, present := demand[caller]; !present && caller != baseCaller {
			h.set(caller, max(h.next(caller, 0), held[caller]))
		}
	}
	for caller, own := range held {
		h.set(caller, max(own, h.weights[caller].value))
	}
}

// next returns the weight that follows the reported one at a demand. The
// windows of callers end in different reports, which spreads the messages.
func (h *Home) next(caller CallerID, demand int) int {
	last := h.weights[caller].value
	peak := max(h.peaks[caller], demand)
	h.peaks[caller] = peak
	if (h.sequence+uint64(caller))%weightWindow == 0 {
		delete(h.peaks, caller)
		if last-peak > last/weightFall {
			return peak
		}
	}
	if demand-last > last/weightRise {
		return demand
	}
	return last
}

func (h *Home) set(caller CallerID, value int) {
	last, known := h.weights[caller]
	if last.value == value && (known || value == 0) {
		return
	}
	h.weights[caller] = reported{sequence: h.sequence, value: value}
	h.pending[caller] = append(h.pending[caller], h.weights[caller])
}
