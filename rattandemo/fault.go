package rattandemo

import (
	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Fault -trimprefix=Fault

// Fault is a fault that the demo injects into what it observed, to show that
// its checks can fail.
type Fault int

// The faults that can be injected.
const (
	FaultNone Fault = iota
	// FaultDouble adds a second start of a task.
	FaultDouble
	// FaultPartial removes a result from a complete answer.
	FaultPartial
	// FaultUntrue makes an answer of a job that ran say "not run".
	FaultUntrue
	faultCount
)

var faultNames = map[string]Fault{
	"":        FaultNone,
	"double":  FaultDouble,
	"partial": FaultPartial,
	"untrue":  FaultUntrue,
}

// ParseFault returns the fault of a name on the command line.
func ParseFault(name string) (Fault, error) {
	fault, ok := faultNames[name]
	if !ok {
		return rattanjson.ParseEnum([]byte(name), faultCount)
	}
	return fault, nil
}

// inject changes a history or its starts.
func (f Fault) inject(history *rattancheck.History, starts map[string]int) {
	switch f {
	case FaultDouble:
		for id := range starts {
			starts[id]++
			return
		}
	case FaultPartial:
		history.InjectMissingResult()
	case FaultUntrue:
		history.InjectFalseNotRun()
	}
}
