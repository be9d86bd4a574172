package rattanload

import (
	"slices"
	"time"
)

// reportedWeight is a weight and the sequence of the first report that
// contained it.
type reportedWeight struct {
	sequence uint64
	value    int
}

// Home is the home's side of the exchange with the aggregator of its zone. It
// is not safe for concurrent use.
type Home struct {
	instance string
	sequence uint64
	// aggregator is the instance that reports are sent to, and firstSequence
	// the sequence of the first report to it.
	aggregator    string
	firstSequence uint64
	// confirmedSequence is the last report that the aggregator has answered; 0
	// means that the next report has to be full.
	confirmedSequence uint64
	// weights are the last reported weights. pending holds those reported after
	// sharesSequence, which limit the Own values in use.
	weights map[CallerID]reportedWeight
	pending map[CallerID][]reportedWeight
	// peaks are the highest demands in the current windows.
	peaks map[CallerID]int
	// sharesSequence is the sequence of the report whose reply contained the
	// shares in use.
	sharesSequence uint64
	term           uint64
	version        uint64
	shares         Shares
	lenders        map[string][]string
	// reportingSince is the time of the first report, and sharesUpdated the
	// time of the last update of the shares.
	reportingSince, sharesUpdated time.Time
}

// NewHome returns a home without shares. The first report has the sequence
// after lastSequence, which must rise with each restart of the instance.
func NewHome(instance string, lastSequence uint64) *Home {
	return &Home{
		instance: instance,
		sequence: lastSequence,
		weights:  map[CallerID]reportedWeight{},
		pending:  map[CallerID][]reportedWeight{},
		peaks:    map[CallerID]int{},
		shares:   Shares{},
		lenders:  map[string][]string{},
	}
}

// Lenders returns the homes from which slots of a service can be borrowed, in
// the order in which to ask them.
func (h *Home) Lenders(now time.Time, service string) []string {
	if now.Sub(h.sharesUpdated) >= StateLifetime {
		return nil
	}
	return h.lenders[service]
}

// QuotaPart returns the part of a caller's quota that the home may use, at
// least 1 unless the quota is 0. The part is 1 until the home has received
// shares. A home that has received none for StateLifetime uses an equal part
// among the known homes.
func (h *Home) QuotaPart(now time.Time, caller CallerID, quota, homes int) int {
	if h.sharesUpdated.IsZero() && (h.reportingSince.IsZero() || now.Sub(h.reportingSince) < StateLifetime) {
		return min(1, quota)
	}
	if now.Sub(h.sharesUpdated) >= StateLifetime {
		return max(1, quota/max(1, homes))
	}
	own := h.ownWeight(caller) + h.ownWeight(baseWeightCaller)
	total := own + h.shares[caller].Rest + h.shares[baseWeightCaller].Rest
	return max(1, quota*own/max(1, total))
}

// MakeReport returns the report to send to the aggregator.
func (h *Home) MakeReport(now time.Time, aggregator string, load Load) Report {
	h.sequence++
	if h.reportingSince.IsZero() {
		h.reportingSince = now
	}
	if aggregator != h.aggregator {
		h.aggregator = aggregator
		h.firstSequence = h.sequence
		h.confirmedSequence = 0
	}
	report := Report{
		Instance: h.instance,
		Sequence: h.sequence,
		Term:     h.term,
		Version:  h.version,
		Full:     h.confirmedSequence == 0,
		Weights:  CallerValues{},
		Idle:     load.Idle,
	}
	if report.Full {
		report.HeldWeights = h.heldWeights()
	}
	h.updateWeights(load.Demand, report.HeldWeights)
	for caller, weight := range h.weights {
		if weight.sequence > h.confirmedSequence && (weight.value > 0 || !report.Full) {
			report.Weights[caller] = weight.value
		}
	}
	return report
}

// ApplyReply applies the reply to a report and reports whether shares or
// lenders may have changed.
func (h *Home) ApplyReply(now time.Time, reply Reply) bool {
	if reply.Sequence < h.firstSequence || reply.Sequence > h.sequence {
		return false
	}
	if reply.Resend {
		// The full report has to contain all weights in use, so replies to
		// earlier reports must not raise them any more.
		h.confirmedSequence = 0
		h.firstSequence = h.sequence + 1
		return false
	}
	h.confirmedSequence = max(h.confirmedSequence, reply.Sequence)
	newer := reply.Term > h.term || (reply.Term == h.term && reply.Version > h.version && h.version >= reply.BaseVersion)
	if !reply.Ready || !newer {
		return false
	}
	if reply.BaseVersion == 0 {
		h.shares = Shares{}
		h.lenders = map[string][]string{}
	}
	h.term = reply.Term
	h.version = reply.Version
	h.sharesSequence = reply.Sequence
	h.sharesUpdated = now
	for caller, share := range reply.Shares {
		h.shares[caller] = share
		if share == (Share{}) {
			delete(h.shares, caller)
		}
	}
	for service, lenders := range reply.Lenders {
		h.lenders[service] = lenders
	}
	h.pruneWeights()
	return true
}

// Term returns the term of the shares in use; 0 means none.
func (h *Home) Term() uint64 {
	return h.term
}

// heldWeights returns the Own values in use.
func (h *Home) heldWeights() CallerValues {
	held := CallerValues{}
	for caller := range h.shares {
		if own := h.ownWeight(caller); own > 0 {
			held[caller] = own
		}
	}
	return held
}

// ownWeight returns the weight that all other homes count for this one.
func (h *Home) ownWeight(caller CallerID) int {
	own := h.shares[caller].Own
	for _, later := range h.pending[caller] {
		own = min(own, later.value)
	}
	return own
}

// pruneWeights drops the pending weights that the shares in use include, and
// confirmed weights of 0.
func (h *Home) pruneWeights() {
	for caller, pending := range h.pending {
		pending = slices.DeleteFunc(pending, func(later reportedWeight) bool { return later.sequence <= h.sharesSequence })
		if len(pending) == 0 {
			delete(h.pending, caller)
			continue
		}
		h.pending[caller] = pending
	}
	for caller, weight := range h.weights {
		if weight.value == 0 && weight.sequence <= h.confirmedSequence {
			delete(h.weights, caller)
		}
	}
}

// updateWeights sets the weights of the next report to the demand. It ignores
// small changes and sets no weight below the Own value in use.
func (h *Home) updateWeights(demand map[CallerID]int, held CallerValues) {
	h.setWeight(baseWeightCaller, 1)
	for caller, count := range demand {
		h.setWeight(caller, max(h.nextWeight(caller, count), held[caller]))
	}
	for caller := range h.weights {
		if _, present := demand[caller]; !present && caller != baseWeightCaller {
			h.setWeight(caller, max(h.nextWeight(caller, 0), held[caller]))
		}
	}
	for caller, own := range held {
		h.setWeight(caller, max(own, h.weights[caller].value))
	}
}

// nextWeight returns the weight that follows the last reported one at the given
// demand. The windows of different callers end in different reports, which
// spreads the changes over the messages.
func (h *Home) nextWeight(caller CallerID, demand int) int {
	last := h.weights[caller].value
	peak := max(h.peaks[caller], demand)
	h.peaks[caller] = peak
	if (h.sequence+uint64(caller))%weightWindow == 0 {
		delete(h.peaks, caller)
		if last-peak > last/weightFallDivisor {
			return peak
		}
	}
	if demand-last > last/weightRiseDivisor {
		return demand
	}
	return last
}

// setWeight sets the weight of a caller in the next report.
func (h *Home) setWeight(caller CallerID, value int) {
	last, known := h.weights[caller]
	if last.value == value && (known || value == 0) {
		return
	}
	h.weights[caller] = reportedWeight{sequence: h.sequence, value: value}
	h.pending[caller] = append(h.pending[caller], h.weights[caller])
}
