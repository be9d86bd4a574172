package rattanbench

import (
	"context"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// seedFromEnvironment returns the seed in RATTANBENCH_SEED, or 1.
func seedFromEnvironment() uint64 {
	seed, err := strconv.ParseUint(os.Getenv("RATTANBENCH_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

func report(b *testing.B, options Options) {
	options.Seed = seedFromEnvironment()
	for b.Loop() {
		result, err := Run(context.Background(), options)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, result.WriteText(os.Stdout), qt.IsNil)
	}
}

// The benchmarks print the reports that docs/measures.md quotes; they check
// nothing. Run them with -run '^$' -benchtime 1x and -bench with one name.

func BenchmarkVirtual(b *testing.B) { report(b, Options{Virtual: true}) }

func BenchmarkQuick(b *testing.B) { report(b, Options{Quick: true}) }

func BenchmarkFull(b *testing.B) { report(b, Options{}) }

// BenchmarkSlowdown makes the slowdown experiment of BenchmarkFull alone.
func BenchmarkSlowdown(b *testing.B) { report(b, Options{Scenarios: []Scenario{ScenarioSlowdown}}) }

// BenchmarkProduct runs the product's policy alone, with the longer windows and
// fewer systems side by side.
func BenchmarkProduct(b *testing.B) { report(b, Options{Policies: []string{ProductPolicy}}) }

func BenchmarkCapacity(b *testing.B) {
	for b.Loop() {
		result, err := MeasureCapacity(context.Background(), true)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, result.WriteText(os.Stdout), qt.IsNil)
	}
}
