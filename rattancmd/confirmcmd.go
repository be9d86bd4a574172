package rattancmd

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanentry"
)

// ErrPlanInProgress reports that a confirmed plan did not complete within the
// timeout.
const ErrPlanInProgress = errors.ConstError("the plan is in force but not yet complete")

// progressPollInterval is the interval at which the progress of a plan is
// requested.
const progressPollInterval = 500 * time.Millisecond

type confirmOptions struct {
	planOptions
	NoWait bool `long:"no-wait" description:"return once the plan is in force, without waiting for its completion"`
	Args   struct {
		Plan string `positional-arg-name:"PLAN" required:"true"`
	} `positional-args:"true"`
}

func confirmCommand(std *streams) command {
	return command{
		name:    "confirm",
		summary: "Confirm a plan and watch its progress",
		example: "rattanlever confirm PLAN",
		options: &confirmOptions{planOptions: planOptions{operatorOptions: operatorOptions{std: std}}},
	}
}

// Execute confirms the plan. Confirming is idempotent.
func (o *confirmOptions) Execute([]string) error {
	path := "/v1/plans/" + o.Args.Plan
	data, err := o.post(path+"/confirm", nil)
	if err != nil {
		return err
	}
	if o.NoWait {
		return o.print(data, nil)
	}
	return o.watch(path, data)
}

// watch polls and prints the progress until the plan is complete. On a terminal
// it rewrites one line; otherwise it prints a line for each change.
func (o *confirmOptions) watch(path string, data []byte) error {
	deadline := time.Now().Add(o.Timeout)
	lastText := ""
	for {
		var reply rattanentry.PlanReply
		if err := json.Unmarshal(data, &reply); err != nil {
			return errors.Annotate(err, "decode the plan in the reply")
		}
		if reply.Progress != nil {
			o.printProgress(&lastText, reply.Progress.Text)
			if reply.Progress.Done {
				o.endProgressLine()
				return nil
			}
		}
		if time.Now().After(deadline) {
			o.endProgressLine()
			return ErrPlanInProgress
		}
		time.Sleep(progressPollInterval)
		var err error
		if data, err = o.get(path); err != nil {
			return err
		}
	}
}

// printProgress prints the text if it differs from the last one printed.
func (o *confirmOptions) printProgress(lastText *string, text string) {
	if text == *lastText {
		return
	}
	*lastText = text
	if o.isTerminal() {
		_, _ = fmt.Fprintf(o.std.out, "\r\x1b[K%s", text)
		return
	}
	_, _ = fmt.Fprintln(o.std.out, text)
}

// endProgressLine ends the line that printProgress rewrites on a terminal.
func (o *confirmOptions) endProgressLine() {
	if o.isTerminal() {
		_, _ = fmt.Fprintln(o.std.out)
	}
}

// isTerminal reports whether standard output is a terminal.
func (o *confirmOptions) isTerminal() bool {
	file, ok := o.std.out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
