package rattancmd

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplan"
)

type planOptions struct {
	operatorOptions
	JSON bool `long:"json" description:"print the plan as JSON"`
}

type planNamedOptions struct {
	planOptions
	Reason string `long:"reason" value-name:"TEXT" description:"reason for the change, on one line"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`

	kind rattanplan.Kind
}

type planShareOptions struct {
	planOptions
	Weight  *float64 `long:"weight" value-name:"N" description:"share of the slots, relative to the weights of other callers"`
	Quota   *int     `long:"quota" value-name:"SLOTS" description:"maximum number of slots in use at a time in the whole system; 0 means no limit"`
	MaxJobs *int     `long:"max-jobs" value-name:"N" description:"maximum number of jobs in progress in one pool; 0 means no limit"`
	Args    struct {
		Caller string `positional-arg-name:"CALLER" required:"true"`
	} `positional-args:"true"`
}

type planFileOptions struct {
	planOptions
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"intent in JSON; - for standard input"`
	} `positional-args:"true"`
}

type planIDOptions struct {
	planOptions
	Args struct {
		Plan string `positional-arg-name:"PLAN" required:"true"`
	} `positional-args:"true"`

	// pathSuffix is appended to the path of the plan and selects the action; if
	// it is empty, the plan is only shown.
	pathSuffix string
}

func planCommand(std *streams) command {
	base := planOptions{operatorOptions: operatorOptions{std: std}}
	withName := func(kind rattanplan.Kind) *planNamedOptions {
		return &planNamedOptions{planOptions: base, kind: kind}
	}
	withID := func(pathSuffix string) *planIDOptions {
		return &planIDOptions{planOptions: base, pathSuffix: pathSuffix}
	}
	return command{
		name:    "plan",
		summary: "Make, show, undo and abandon plans for changes",
		subcommands: []command{
			{name: "abandon", summary: "Abandon a plan, so that it cannot be confirmed", example: "rattanlever plan abandon PLAN", options: withID("/abandon")},
			{name: "drain", summary: "Plan to drain an instance or a target", example: "rattanlever plan drain buda-planner-3 --reason 'memory fault'", options: withName(rattanplan.KindDrain)},
			{name: "intent", summary: "Plan a change that is described in a file", example: `echo '{"Kind":"PutService","Name":"planner","Service":{"Description":"shopping lists"}}' | rattanlever plan intent -`, options: &planFileOptions{planOptions: base}},
			{name: "retire-caller", summary: "Plan to refuse new jobs of a caller", example: "rattanlever plan retire-caller firm-doubs", options: withName(rattanplan.KindRetireCaller)},
			{name: "retire-kind", summary: "Plan to refuse new jobs of a job kind", example: "rattanlever plan retire-kind price-lookup", options: withName(rattanplan.KindRetireJobKind)},
			{name: "retire-service", summary: "Plan to refuse new jobs for a service", example: "rattanlever plan retire-service catalogue", options: withName(rattanplan.KindRetireService)},
			{name: "share", summary: "Plan to change a caller's weight, quota or job limit", example: "rattanlever plan share app --quota 200", options: &planShareOptions{planOptions: base}},
			{name: "show", summary: "Show a plan and its progress", example: "rattanlever plan show PLAN", options: withID("")},
			{name: "undo", summary: "Plan to revert a confirmed plan", example: "rattanlever plan undo PLAN", options: withID("/undo")},
			{name: "undrain", summary: "Plan to return a drained instance or target to use", example: "rattanlever plan undrain buda-planner-3", options: withName(rattanplan.KindUndrain)},
		},
	}
}

// Execute makes a plan of the command's kind.
func (o *planNamedOptions) Execute([]string) error {
	intent := rattanplan.Intent{Kind: o.kind, Name: o.Args.Name}
	if o.kind == rattanplan.KindDrain {
		intent.Drain = &rattanconfig.Drain{Reason: o.Reason}
	}
	return o.createPlan(intent)
}

// Execute makes a plan that changes the caller's share.
func (o *planShareOptions) Execute([]string) error {
	return o.createPlan(rattanplan.Intent{
		Kind:  rattanplan.KindSetShare,
		Name:  o.Args.Caller,
		Share: &rattanplan.Share{Weight: o.Weight, Quota: o.Quota, MaxJobs: o.MaxJobs},
	})
}

// Execute makes a plan for the intent in the file.
func (o *planFileOptions) Execute([]string) error {
	data, err := o.std.read(o.Args.File)
	if err != nil {
		return err
	}
	intent, err := rattanplan.ParseIntent(data)
	if err != nil {
		return usageError("%s: %v", o.Args.File, err)
	}
	return o.createPlan(intent)
}

// Execute shows, abandons or undoes the plan.
func (o *planIDOptions) Execute([]string) error {
	path := "/v1/plans/" + o.Args.Plan + o.pathSuffix
	if o.pathSuffix == "" {
		return o.print(o.get(path))
	}
	return o.print(o.post(path, nil))
}

// createPlan checks the intent, sends it to an instance and prints the plan that
// the instance made for it.
func (o *planOptions) createPlan(intent rattanplan.Intent) error {
	if err := intent.Check(); err != nil {
		return usageError("%v", err)
	}
	body, err := json.Marshal(intent)
	if err != nil {
		return errors.Trace(err)
	}
	return o.print(o.post("/v1/plans", body))
}

// print writes the plan in a reply as text or JSON, or returns the error of the
// request.
func (o *planOptions) print(data []byte, err error) error {
	if err != nil {
		return err
	}
	var reply rattanentry.PlanReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Annotate(err, "decode the plan in the reply")
	}
	if o.JSON {
		return rattanjson.Write(o.std.out, reply)
	}
	_, _ = fmt.Fprint(o.std.out, reply.Text)
	if reply.Progress != nil {
		_, _ = fmt.Fprintln(o.std.out, reply.Progress.Text)
	}
	return nil
}
