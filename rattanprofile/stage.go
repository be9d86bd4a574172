package rattanprofile

import (
	"os"
	"strings"
	"time"

	"github.com/google/pprof/profile"
	"github.com/juju/errors"
)

//go:generate go tool stringer -linecomment -type=Stage -output=stage_string.go

// Stage is a part of a home's work.
type Stage int

// Stages of a home's work. A sample of the profile belongs to the first stage
// in this order that has a function on its stack.
const (
	// StageLogs is writing log lines.
	StageLogs Stage = iota // Logs
	// StageDecision is the scheduler.
	StageDecision // Decision
	// StageStart and StageStop are the requests that start and stop runs.
	StageStart // StartRequest
	StageStop  // StopRequest
	// StageLease is renewing leases and decoding the listings of targets.
	StageLease // Renewal
	// StageStore is the calls to the metadata store.
	StageStore // Store
	// StageCaller is the HTTP server for callers.
	StageCaller // Caller
	// StagePeer is messages between instances.
	StagePeer // Peer
	// StageHTTPClient is the connections to targets and to the store.
	StageHTTPClient // Connections
	// StageCollection is garbage collection that runs beside other work.
	StageCollection // Collection
	// StageRuntime is the Go scheduler, timers and network polling.
	StageRuntime // Runtime
	// StageOther is everything else.
	StageOther // Other
)

// stageFunctions contains, for each stage, parts of the names of its functions.
var stageFunctions = [...][]string{
	StageLogs:       {"/rattanlog.", "sirupsen/logrus.", "rattannode.(*Journal)"},
	StageDecision:   {"/rattanscheduler."},
	StageStart:      {"platform.(*TargetClient).Start"},
	StageStop:       {"platform.(*TargetClient).Stop"},
	StageLease:      {"platform.(*TargetClient).Lease"},
	StageStore:      {"platform.(*Store)"},
	StageCaller:     {"net/http.(*conn).serve", "/rattanfront."},
	StagePeer:       {"/rattanpeer.", "storj.io/drpc", "/rattanzone.", "rattanhome.(*Service)"},
	StageHTTPClient: {"net/http.(*persistConn)", "net/http.(*Transport)"},
	StageCollection: {"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge"},
	StageRuntime:    {"runtime.mcall", "runtime.schedule", "runtime.mstart", "runtime.sysmon", "runtime.goexit0"},
}

// StageCost is the processor time of one stage per task.
type StageCost struct {
	Stage   Stage
	PerTask time.Duration
}

// readStages splits a processor time per task by the stages of the CPU profile
// in a file.
func readStages(path string, perTask time.Duration) ([]StageCost, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	parsed, err := profile.Parse(file)
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	return splitByStage(parsed, perTask), nil
}

func splitByStage(parsed *profile.Profile, perTask time.Duration) []StageCost {
	samples := make([]int64, StageOther+1)
	total := int64(0)
	for _, sample := range parsed.Sample {
		samples[stageOf(sample)] += sample.Value[0]
		total += sample.Value[0]
	}
	costs := make([]StageCost, len(samples))
	for stage, count := range samples {
		costs[stage] = StageCost{Stage: Stage(stage), PerTask: perTask * time.Duration(count) / time.Duration(max(1, total))}
	}
	return costs
}

// stageOf returns the stage of a sample.
func stageOf(sample *profile.Sample) Stage {
	for stage, names := range stageFunctions {
		for _, name := range names {
			if hasFunction(sample, name) {
				return Stage(stage)
			}
		}
	}
	return StageOther
}

func hasFunction(sample *profile.Sample, name string) bool {
	for _, location := range sample.Location {
		for _, line := range location.Line {
			if line.Function != nil && strings.Contains(line.Function.Name, name) {
				return true
			}
		}
	}
	return false
}
