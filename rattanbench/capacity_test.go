package rattanbench

import (
	"context"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCapacitySlope guards the slope of the memory: a part of 1,024 bytes an
// element must be measured as such.
func TestCapacitySlope(t *testing.T) {
	const elementBytes = 1024
	steps := 0
	probe := Probe{
		Name: "blocks", Sizes: []int{1000, 20_000}, StepName: "count",
		Build: func(size int) any {
			blocks := make([][]byte, size)
			for i := range blocks {
				blocks[i] = make([]byte, elementBytes-24)
			}
			return blocks
		},
		Step: func(any, int) { steps++ },
	}
	report, err := MeasureCapacity(context.Background(), false, probe)
	qt.Assert(t, err, qt.IsNil)
	slope := report.Slopes[0]
	qt.Assert(t, math.Abs(slope.BytesPerElement-elementBytes) < 64, qt.IsTrue, qt.Commentf("%v", slope.BytesPerElement))
	qt.Assert(t, slope.StepTimes, qt.HasLen, 2)
	qt.Assert(t, steps > 0, qt.IsTrue)
}
