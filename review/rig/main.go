// Command rig plays a scenario of the review against processes of the system, with
// stand-ins for the platform, workers and clients.
//
//	rig SCENARIO RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the scenario could
// not run. With TROUBLE=0 in the environment, it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errNoAnswer means that a request that the scenario needs got no answer.
var errNoAnswer = errors.New("no answer")

// scenario is a test of one rule.
type scenario struct {
	zones     []string
	instances int
	workers   int
	// play reports whether the rule was broken.
	play func(d *deployment, trouble bool) (bool, error)
}

var scenarios = map[string]scenario{
	"cancel":    {zones: []string{"buda"}, instances: 3, workers: 4, play: cancelledJobRunsOn},
	"late":      {zones: []string{"buda"}, instances: 3, workers: 8, play: lateStartRunsTwice},
	"forgotten": {zones: []string{"buda"}, instances: 3, workers: 4, play: cancelIsForgotten},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		return exitNotRun
	}
	played, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig: unknown scenario %q\n", os.Args[1])
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("scenario %s, trouble %v", os.Args[1], trouble)
	d, err := newDeployment(record, played.zones, played.instances, played.workers)
	defer d.close()
	broken := false
	if err == nil {
		broken, err = played.play(d, trouble)
	}
	switch {
	case err != nil:
		record.line("not run: %v", err)
		return exitNotRun
	case broken:
		record.line("the rule was broken")
		return exitBroken
	default:
		record.line("the rule held")
		return exitHeld
	}
}
