package rattancmd

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanentry"
)

// ErrProgress says that a confirmed plan had not come to its end in time.
const ErrProgress = errors.ConstError("the plan is in force and not yet done")

// progressInterval is how often the progress of a plan is asked for.
const progressInterval = 500 * time.Millisecond

type confirmOptions struct {
	planOptions
	NoWait bool `long:"no-wait" description:"return when the plan is in force, without waiting for its end"`
	Args   struct {
		Plan string `positional-arg-name:"PLAN" required:"true"`
	} `positional-args:"true"`
}

func confirmCommand(std *streams) command {
	return command{
		name:    "confirm",
		short:   "Confirm a plan and watch its progress",
		example: "rattanlever confirm PLAN",
		data:    &confirmOptions{planOptions: planOptions{operatorOptions: operatorOptions{std: std}}},
	}
}

// Execute confirms the plan. Confirming a plan again has no further effect.
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

// watch shows the progress until the plan is done: one line that is rewritten
// on a terminal, a line for each change elsewhere.
func (o *confirmOptions) watch(path string, data []byte) error {
	end := time.Now().Add(o.Timeout)
	last := ""
	for {
		var reply rattanentry.PlanReply
		if err := json.Unmarshal(data, &reply); err != nil {
			return errors.Annotate(err, "plan")
		}
		if reply.Progress != nil {
			o.show(&last, reply.Progress.Text)
			if reply.Progress.Done {
				o.finish()
				return nil
			}
		}
		if time.Now().After(end) {
			o.finish()
			return ErrProgress
		}
		time.Sleep(progressInterval)
		var err error
		if data, err = o.get(path); err != nil {
			return err
		}
	}
}

func (o *confirmOptions) show(last *string, text string) {
	if text == *last {
		return
	}
	*last = text
	if o.terminal() {
		_, _ = fmt.Fprintf(o.std.out, "\r\x1b[K%s", text)
		return
	}
	_, _ = fmt.Fprintln(o.std.out, text)
}

func (o *confirmOptions) finish() {
	if o.terminal() {
		_, _ = fmt.Fprintln(o.std.out)
	}
}

// terminal reports whether the output is a terminal.
func (o *confirmOptions) terminal() bool {
	file, ok := o.std.out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
