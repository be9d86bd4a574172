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

func runAndPrint(b *testing.B, options Options) {
	options.Seed = seedFromEnvironment()
	for b.Loop() {
		result, err := Run(context.Background(), options)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, result.WriteText(os.Stdout), qt.IsNil)
	}
}

// The benchmarks print the reports quoted in docs/measures.md and check
// nothing. Run them with -run '^$' -benchtime 1x and -bench with one name.

func BenchmarkVirtual(b *testing.B) { runAndPrint(b, Options{Virtual: true}) }

func BenchmarkQuick(b *testing.B) { runAndPrint(b, Options{Quick: true}) }

func BenchmarkFull(b *testing.B) { runAndPrint(b, Options{}) }

// BenchmarkSlowdown runs only the slowdown experiment of BenchmarkFull.
func BenchmarkSlowdown(b *testing.B) {
	runAndPrint(b, Options{Scenarios: []Scenario{ScenarioSlowdown}})
}

// BenchmarkProduct runs only the product's policy, with the durations of
// BenchmarkFull and fewer concurrent systems.
func BenchmarkProduct(b *testing.B) { runAndPrint(b, Options{Policies: []string{ProductPolicy}}) }

func BenchmarkCapacity(b *testing.B) {
	for b.Loop() {
		result, err := MeasureCapacity(context.Background(), true)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, result.WriteText(os.Stdout), qt.IsNil)
	}
}
