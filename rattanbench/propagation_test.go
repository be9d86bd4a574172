package rattanbench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPropagation guards against configuration changes that take longer to be in
// force on all members than docs/design.md, section 2, allows, when messages are
// lost, links go silent and a fifth of the members is cut off from the platform.
func TestPropagation(t *testing.T) {
	for _, propagation := range SimulatePropagations(1, 2, 3) {
		bound := 11 * time.Second
		if propagation.Members <= 9 {
			bound = 2 * time.Second
		}
		name := fmt.Sprintf("%d/loss=%v/cut=%v/seed=%d", propagation.Members, propagation.Loss, propagation.CutOff, propagation.Seed)
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(propagation.Worst <= bound, qt.IsTrue, qt.Commentf("%v, want %v", propagation.Worst, bound))
			c.Check(propagation.Reverted, qt.Equals, 0)
		})
	}
}
