package rattanbench

import (
	"context"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCapacityBytesPerElement guards against a wrong slope of the memory over the
// number of elements: a component with 1,024 bytes per element must be measured as
// such.
func TestCapacityBytesPerElement(t *testing.T) {
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
	result := report.Results[0]
	qt.Assert(t, math.Abs(result.BytesPerElement-elementBytes) < 64, qt.IsTrue, qt.Commentf("%v", result.BytesPerElement))
	qt.Assert(t, result.StepCosts, qt.HasLen, 2)
	qt.Assert(t, steps > 0, qt.IsTrue)
}
