package rattandemo

import (
	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -linecomment -type=Fault -trimprefix=Fault

// Fault is a fault that the demo injects into its recorded history, to show that
// its checks can fail.
type Fault int

// The faults that can be injected.
const (
	FaultNone Fault = iota
	// FaultDoubleStart adds a second start of a task.
	FaultDoubleStart // Double
	// FaultPartialAnswer removes a result from a complete answer.
	FaultPartialAnswer // Partial
	// FaultFalseNotRun makes the answer of a job that ran claim that it was not run.
	FaultFalseNotRun // Untrue
	faultCount
)

var faultNames = map[string]Fault{
	"":        FaultNone,
	"double":  FaultDoubleStart,
	"partial": FaultPartialAnswer,
	"untrue":  FaultFalseNotRun,
}

// ParseFault returns the fault with the given command-line name.
func ParseFault(name string) (Fault, error) {
	fault, ok := faultNames[name]
	if !ok {
		return rattanjson.ParseEnum([]byte(name), faultCount)
	}
	return fault, nil
}

// inject modifies the history or the numbers of task starts.
func (f Fault) inject(history *rattancheck.History, starts map[string]int) {
	switch f {
	case FaultDoubleStart:
		for id := range starts {
			starts[id]++
			return
		}
	case FaultPartialAnswer:
		history.InjectMissingResult()
	case FaultFalseNotRun:
		history.InjectFalseNotRun()
	}
}
