// Package rattanload decides what follows from the loads of homes: the parts of
// quotas, the lenders of slots and the pool of a new key. It is pure: the
// present time is an argument.
//
// A quota is divided in proportion to weights, which are the demand of a caller
// at each home. A home's part is Own / (Own + Rest): Own is the least weight
// that any other home may still count for it, and Rest is the sum of the weights
// that it counts for all others. Rest is therefore at least the sum of what the
// others use as Own, whatever is lost, delayed or reordered, and the parts of
// all homes add up to at most 1.
package rattanload

import "time"

const (
	// Lifetime is how long weights and shares count after they were last heard
	// of. It outlasts short partitions, so that quotas do not jump with them.
	Lifetime = 30 * time.Second
	// ConnectedWithin is the longest silence of a home or zone that counts as
	// connected. Its confirmation is not waited for after that, because others
	// could not use more of a quota until it has returned. It covers the
	// takeover of an aggregator with some lost messages.
	ConnectedWithin = 10 * time.Second
	// readyAfter is the longest time that a new aggregator waits for loads. It
	// exchanges with other zones only after it has heard from its homes, so both
	// waits add up.
	readyAfter = 2 * ConnectedWithin
	// goneAfter is the silence after which a home is dropped that membership no
	// longer lists as a home.
	goneAfter = 2 * time.Second
	// weightDecay is the part of a weight by which it falls at most in one
	// report. A home's part follows the least of its recent weights, so a
	// weight that fell with each pause of a caller would leave quota unused.
	weightDecay = 4
	// weightStep is the part of a weight below which a change is not reported;
	// it saves most messages of callers with steady demand.
	weightStep = 8
)

// baseCaller stands for a weight of 1 that each home adds for each caller, so
// that a first job need not wait for an exchange.
const baseCaller CallerID = 0

// Load is the load of one home.
type Load struct {
	// Demand is the number of tasks without a result, by caller.
	Demand map[CallerID]int
	// Idle is the number of own slots not in use, by service.
	Idle map[string]int
}

// Live is what membership says of the homes.
type Live struct {
	// Homes are the homes of this availability zone, the own instance included.
	Homes []string
	// Zones are the other availability zones that have homes.
	Zones []string
}
