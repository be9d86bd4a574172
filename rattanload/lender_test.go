package rattanload

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestChooseLenders guards against a wrong order of lenders: the borrower's
// zone comes first, then the most idle slots. Neither homes without idle slots
// nor the borrower itself may be listed, and no more than MaxLenders homes.
func TestChooseLenders(t *testing.T) {
	c := qt.New(t)
	homes := []Lender{{"pest-1", "pest", 90}, {"buda-1", "buda", 50}, {"buda-2", "buda", 3}, {"buda-3", "buda", 0}, {"buda-4", "buda", 7}}
	var names []string
	for _, chosen := range ChooseLenders("buda-1", "buda", homes) {
		names = append(names, chosen.Instance)
	}
	c.Assert(names, qt.DeepEquals, []string{"buda-4", "buda-2", "pest-1"})
	for i := range 20 {
		homes = append(homes, Lender{fmt.Sprintf("csepel-%d", i), "csepel", 1})
	}
	c.Assert(ChooseLenders("buda-1", "buda", homes), qt.HasLen, MaxLenders)
}
