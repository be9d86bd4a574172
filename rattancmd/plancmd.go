package rattancmd

import (
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanplan"
)

type planOptions struct {
	operatorOptions
	JSON bool `long:"json" description:"print the plan as JSON"`
}

type planNamedOptions struct {
	planOptions
	Reason string `long:"reason" value-name:"TEXT" description:"one line for people"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`

	kind rattanplan.Kind
}

type planShareOptions struct {
	planOptions
	Weight  *float64 `long:"weight" value-name:"N" description:"share relative to other callers"`
	Quota   *int     `long:"quota" value-name:"SLOTS" description:"most slots at a time in the whole system; 0 means none"`
	MaxJobs *int     `long:"max-jobs" value-name:"N" description:"most jobs in progress in one pool; 0 means none"`
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

	// path is appended to the path of the plan; a plan is only read without it.
	path string
}

func planCommand(std *streams) command {
	base := planOptions{operatorOptions: operatorOptions{std: std}}
	named := func(kind rattanplan.Kind) *planNamedOptions {
		return &planNamedOptions{planOptions: base, kind: kind}
	}
	byID := func(path string) *planIDOptions {
		return &planIDOptions{planOptions: base, path: path}
	}
	return command{
		name:  "plan",
		short: "Make a plan for an intent, and show or abandon plans",
		subs: []command{
			{name: "abandon", short: "Make a plan unusable", example: "rattanlever plan abandon PLAN", data: byID("/abandon")},
			{name: "drain", short: "Plan to take an instance or a target out of use", example: "rattanlever plan drain buda-planner-3 --reason 'memory fault'", data: named(rattanplan.KindDrain)},
			{name: "intent", short: "Plan any change from a file", example: `echo '{"Kind":"PutService","Name":"planner","Service":{"Description":"shopping lists"}}' | rattanlever plan intent -`, data: &planFileOptions{planOptions: base}},
			{name: "retire-caller", short: "Plan to refuse new jobs of a caller", example: "rattanlever plan retire-caller firm-doubs", data: named(rattanplan.KindRetireCaller)},
			{name: "retire-kind", short: "Plan to refuse new jobs of a job kind", example: "rattanlever plan retire-kind price-lookup", data: named(rattanplan.KindRetireJobKind)},
			{name: "retire-service", short: "Plan to refuse new jobs for a service", example: "rattanlever plan retire-service catalogue", data: named(rattanplan.KindRetireService)},
			{name: "share", short: "Plan to change a caller's weight, quota or job limit", example: "rattanlever plan share app --quota 200", data: &planShareOptions{planOptions: base}},
			{name: "show", short: "Show a plan and its progress", example: "rattanlever plan show PLAN", data: byID("")},
			{name: "undo", short: "Plan to restore what a confirmed plan changed", example: "rattanlever plan undo PLAN", data: byID("/undo")},
			{name: "undrain", short: "Plan to put an instance or a target back into use", example: "rattanlever plan undrain buda-planner-3", data: named(rattanplan.KindUndrain)},
		},
	}
}

// Execute makes the plan.
func (o *planNamedOptions) Execute([]string) error {
	intent := rattanplan.Intent{Kind: o.kind, Name: o.Args.Name}
	if o.kind == rattanplan.KindDrain {
		intent.Drain = &rattanconfig.Drain{Reason: o.Reason}
	}
	return o.make(intent)
}

// Execute makes the plan.
func (o *planShareOptions) Execute([]string) error {
	return o.make(rattanplan.Intent{
		Kind:  rattanplan.KindSetShare,
		Name:  o.Args.Caller,
		Share: &rattanplan.Share{Weight: o.Weight, Quota: o.Quota, MaxJobs: o.MaxJobs},
	})
}

// Execute makes the plan.
func (o *planFileOptions) Execute([]string) error {
	data, err := o.std.read(o.Args.File)
	if err != nil {
		return err
	}
	intent, err := rattanplan.ParseIntent(data)
	if err != nil {
		return usageError("%s: %v", o.Args.File, err)
	}
	return o.make(intent)
}

// Execute shows, abandons or undoes the plan.
func (o *planIDOptions) Execute([]string) error {
	path := "/v1/plans/" + o.Args.Plan + o.path
	if o.path == "" {
		return o.print(o.get(path))
	}
	return o.print(o.post(path, nil))
}

func (o *planOptions) make(intent rattanplan.Intent) error {
	if err := intent.Check(); err != nil {
		return usageError("%v", err)
	}
	body, err := json.Marshal(intent)
	if err != nil {
		return errors.Trace(err)
	}
	return o.print(o.post("/v1/plans", body))
}

// print writes the plan in a reply as text or JSON.
func (o *planOptions) print(data []byte, err error) error {
	if err != nil {
		return err
	}
	var reply rattanentry.PlanReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Annotate(err, "plan")
	}
	if o.JSON {
		encoder := json.NewEncoder(o.std.out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(reply))
	}
	_, _ = fmt.Fprint(o.std.out, reply.Text)
	if reply.Progress != nil {
		_, _ = fmt.Fprintln(o.std.out, reply.Progress.Text)
	}
	return nil
}
