package rattanbench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSpread guards against a configuration change that is not in force
// everywhere within the targets of docs/design.md, section 2, while messages are
// lost, links go silent and a fifth of the members is cut off from the platform.
func TestSpread(t *testing.T) {
	for _, spread := range SimulatePropagations(1, 2, 3) {
		bound := 11 * time.Second
		if spread.Members <= 9 {
			bound = 2 * time.Second
		}
		name := fmt.Sprintf("%d/loss=%v/cut=%v/seed=%d", spread.Members, spread.Loss, spread.CutOff, spread.Seed)
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(spread.Worst <= bound, qt.IsTrue, qt.Commentf("%v, want %v", spread.Worst, bound))
			c.Check(spread.Reverted, qt.Equals, 0)
		})
	}
}
