// Package rattanload distributes quotas and slots according to the loads of
// homes: the parts of quotas, the lenders of slots and the pool of a new key.
// It does no I/O and does not read the clock: callers pass the current time.
//
// A quota is divided in proportion to weights, which are the demand of a caller
// at each home. A home's part is Own / (Own + Rest): Own is the lowest weight
// that any other home may still count for it, and Rest is the sum of the
// weights that it counts for all others. Rest is therefore at least the sum of
// what the others use as Own even if messages are lost, delayed or reordered,
// and the parts of all homes add up to at most 1.
package rattanload

import "time"

const (
	// StateLifetime is how long weights and shares remain valid after the last
	// message. It outlasts short partitions, so that quotas do not change
	// because of them.
	StateLifetime = 30 * time.Second
	// ConnectedTimeout is the longest silence of a home or zone that counts as
	// connected. After that its confirmation is not waited for, because
	// otherwise the others could not use more of a quota until it returns. It
	// covers the takeover of an aggregator with some lost messages.
	ConnectedTimeout = 10 * time.Second
	// readyTimeout is the longest time that a new aggregator waits for loads.
	// It exchanges loads with other zones only after it has heard from its
	// homes, so both waits add up.
	readyTimeout = 2 * ConnectedTimeout
	// departedTimeout is the silence after which a home is removed that
	// membership no longer lists.
	departedTimeout = 2 * time.Second
	// weightWindow is the number of reports after which a weight falls to the
	// highest demand among them. A home's part follows the lowest of its recent
	// weights, so a weight that fell with each pause of a caller would leave
	// quota unused.
	weightWindow = 4
	// A weight is kept while the demand exceeds it by at most an eighth and
	// while the highest demand of a window is at least three quarters of it.
	// This avoids most messages for callers whose demand varies little.
	weightRiseDivisor, weightFallDivisor = 8, 4
	// A sum that rises is increased by 1/sumHeadroomDivisor as headroom. A sum
	// that is slightly too high is kept for maxSumAge.
	sumHeadroomDivisor = 16
	maxSumAge          = 4 * time.Second
	// lendersUpdateInterval is the minimum time between updates of a list of
	// lenders. Idle slots change many times a second, so updates each second
	// would hardly be more accurate.
	lendersUpdateInterval = 4 * time.Second
	// maxZoneLenders is the number of lenders per service that are announced to
	// other zones; with 4 other zones that makes MaxLenders.
	maxZoneLenders = 2
)

// baseWeightCaller is a pseudo-caller with weight 1 at each home. The weight is
// added to that of each caller, so that a caller's first job does not have to
// wait for an exchange.
const baseWeightCaller CallerID = 0

// Load is the load of one home.
type Load struct {
	// Demand is the number of tasks without a result by caller.
	Demand map[CallerID]int
	// Idle is the number of the home's own idle slots by service.
	Idle map[string]int
}

// Membership lists the live homes and zones according to membership.
type Membership struct {
	// Homes are the homes of this availability zone, including this instance.
	Homes []string
	// Zones are the other availability zones that have homes.
	Zones []string
}
