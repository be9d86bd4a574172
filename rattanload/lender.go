package rattanload

import (
	"cmp"
	"math/bits"
	"slices"
)

// MaxLenders is the most lenders of a service that a home is told. A home asks
// them one after the other, so that more would be asked too late.
const MaxLenders = 8

// Lender is a home with idle slots of a service.
type Lender struct {
	Instance         string
	AvailabilityZone string
	// Idle is the number of slots that are not in use.
	Idle int
}

// ChooseLenders returns at most MaxLenders of the homes that have idle slots:
// those of the borrower's own zone first, and within a zone those with the most
// idle slots. Numbers of slots with the same power of two count as equal, so
// that the list changes rarely. The borrower itself is left out.
func ChooseLenders(borrower, zone string, homes []Lender) []Lender {
	chosen := slices.DeleteFunc(slices.Clone(homes), func(home Lender) bool {
		return home.Idle <= 0 || home.Instance == borrower
	})
	slices.SortFunc(chosen, func(a, b Lender) int {
		return cmp.Or(
			cmp.Compare(elsewhere(a, zone), elsewhere(b, zone)),
			cmp.Compare(bits.Len(uint(b.Idle)), bits.Len(uint(a.Idle))),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
	return chosen[:min(len(chosen), MaxLenders)]
}

// elsewhere returns 1 for a lender of another zone and 0 otherwise.
func elsewhere(lender Lender, zone string) int {
	if lender.AvailabilityZone == zone {
		return 0
	}
	return 1
}
