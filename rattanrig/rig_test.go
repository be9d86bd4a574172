package rattanrig_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattanrig"
)

// More seeds are played by hand:
// go test ./rattanrig -run TestSeeds -timeout 0 -args -first 1 -seeds 50
var (
	firstSeed = flag.Uint64("first", 1, "the first seed to play")
	seedCount = flag.Int("seeds", 3, "the number of seeds to play")
	loadTime  = flag.Duration("load", 12*time.Second, "how long callers submit jobs")
	kinds     = flag.String("kinds", "", "the kinds of disturbances, separated by commas, all if empty")
	interval  = flag.Duration("interval", 300*time.Millisecond, "the mean time between two disturbances")
	instances = flag.Int("instances", 3, "the number of instances in each zone")
	callers   = flag.Int("callers", 20, "the number of callers that behave")
	logs      = flag.String("logs", "", "a directory for the logs of each seed")
)

// TestSeeds guards against two runs of a task, refused jobs that run, cancelled jobs
// that start, overcommitted targets, missing answers and processes that end or exceed the
// memory of their machine under disturbances.
func TestSeeds(t *testing.T) {
	binary, err := rattanprocess.Build(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	// The processes of the rig end with an interrupted test.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for index := range *seedCount {
		if ctx.Err() != nil {
			t.Fatal("interrupted")
		}
		seed := *firstSeed + uint64(index)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			directory := t.TempDir()
			if *logs != "" {
				directory = filepath.Join(*logs, fmt.Sprint(seed))
				qt.Assert(t, os.MkdirAll(directory, 0o700), qt.IsNil)
			}
			report, err := rattanrig.Run(ctx, rattanrig.Config{
				Binary: binary, Directory: directory, Seed: seed, Zones: []string{"a", "b"},
				InstancesPerZone: *instances, TargetsPerZone: 4, Callers: *callers,
				LoadTime: *loadTime, DisturbanceInterval: *interval, Kinds: parseKinds(t),
			})
			qt.Assert(t, err, qt.IsNil)
			t.Log(report)
			qt.Check(t, report.Violations, qt.HasLen, 0)
			qt.Check(t, report.Succeeded > 0, qt.IsTrue)
		})
	}
}

// parseKinds returns the kinds of disturbances to play.
func parseKinds(t *testing.T) []rattanrig.Kind {
	var list []rattanrig.Kind
	for name := range strings.SplitSeq(*kinds, ",") {
		if name == "" {
			continue
		}
		kind, ok := rattanrig.ParseKind(name)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("kind %s", name))
		list = append(list, kind)
	}
	return list
}
