package rattanload

import (
	"cmp"
	"math/bits"
	"slices"
)

// MaxLenders is the maximum number of lenders of a service that are sent to a
// home. A home asks them one after the other, so slots of further lenders would
// arrive too late.
const MaxLenders = 8

// Lender is a home with idle slots of a service.
type Lender struct {
	Instance         string
	AvailabilityZone string
	// Idle is the number of slots that are not in use.
	Idle int
}

// ChooseLenders returns at most MaxLenders of the homes that have idle slots,
// other than the borrower. Homes of the borrower's zone come first, and within
// a zone those with the most idle slots. Numbers of slots with the same bit
// length count as equal, so that the list changes rarely.
func ChooseLenders(borrower, zone string, candidates []Lender) []Lender {
	chosen := slices.DeleteFunc(slices.Clone(candidates), func(home Lender) bool {
		return home.Idle <= 0 || home.Instance == borrower
	})
	slices.SortFunc(chosen, func(a, b Lender) int {
		return cmp.Or(
			cmp.Compare(zoneRank(a, zone), zoneRank(b, zone)),
			cmp.Compare(bits.Len(uint(b.Idle)), bits.Len(uint(a.Idle))),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return chosen[:min(len(chosen), MaxLenders)]
}

// zoneRank returns 0 for a lender of the zone and 1 for one of another zone.
func zoneRank(lender Lender, zone string) int {
	if lender.AvailabilityZone == zone {
		return 0
	}
	return 1
}
