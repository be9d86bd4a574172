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
	// weightWindow is the number of reports whose highest demand a weight falls
	// to. A home's part follows the least of its recent weights, so a weight
	// that fell with each pause of a caller would leave quota unused.
	weightWindow = 4
	// A weight is kept while the demand exceeds it by at most an eighth, and
	// while the highest demand of a window is at least three quarters of it;
	// this saves most messages of callers whose demand varies little.
	weightRise, weightFall = 8, 4
	// sumHeadroom is the part of a sum that is added when it rises, and sumAge
	// how long a sum is kept that is a little too high.
	sumHeadroom = 16
	sumAge      = 4 * time.Second
	// lendersAge is how long a list of lenders is kept. Idle slots change many
	// times a second, so that a list sent each second would be hardly better.
	lendersAge = 4 * time.Second
	// zoneLenders is the number of lenders of a service that other zones are
	// told; with 4 other zones that makes MaxLenders.
	zoneLenders = 2
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

// Membership is what membership says of the homes.
type Membership struct {
	// Homes are the homes of this availability zone, the own instance included.
	Homes []string
	// Zones are the other availability zones that have homes.
	Zones []string
}
