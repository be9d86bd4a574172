package rattancmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// ErrJob says that a job did not end complete.
const ErrJob = errors.ConstError("job not complete")

// maxFreshKeys bounds how often a submission takes a new key because its
// first key's home was gone before the submission reached it.
const maxFreshKeys = 5

// callerOptions are common to the commands of callers.
type callerOptions struct {
	Entry   []string      `long:"entry" value-name:"ADDRESS" default:"127.0.0.1:7100" description:"entry instance or load balancer, repeatable"`
	Caller  string        `long:"caller" value-name:"NAME" description:"name of the caller, where there is no TLS"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"60s" description:"longest time to wait for a final answer"`
	tlsOptions

	std *streams
}

type jobSubmitOptions struct {
	callerOptions
	Key  string `long:"key" value-name:"KEY" description:"submission key; the default is a new one"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"submission in JSON without Key; - for standard input"`
	} `positional-args:"true"`
}

type jobKeyOptions struct {
	callerOptions
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`

	// run does the work of the command.
	run func(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error)
}

func jobCommand(std *streams) command {
	keyed := func(run func(context.Context, *rattanclient.Client, rattanjob.Key) (any, error)) *jobKeyOptions {
		return &jobKeyOptions{callerOptions: callerOptions{std: std}, run: run}
	}
	return command{
		name:  "job",
		short: "Submit jobs and ask about them",
		subs: []command{
			{name: "cancel", short: "Cancel a job", example: "rattanlever job cancel --caller app KEY", data: keyed(cancelJob)},
			{name: "explain", short: "Tell what was done with a job and why", example: "rattanlever job explain --caller app KEY", data: keyed(explainJob)},
			{name: "status", short: "Ask for the answer of a job", example: "rattanlever job status --caller app KEY", data: keyed(statusOfJob)},
			{
				name:    "submit",
				short:   "Submit a job and wait for its answer",
				example: `echo '{"Kind":"shopping-list","Tasks":[{"Payload":{"Item":"grout"}}]}' | rattanlever job submit --caller app -`,
				data:    &jobSubmitOptions{callerOptions: callerOptions{std: std}},
			},
		},
	}
}

// Execute submits the job. The key is printed first, so that the job can be
// asked for even if the command is interrupted.
func (o *jobSubmitOptions) Execute([]string) error {
	submission, err := o.read()
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	for range maxFreshKeys {
		if err := o.fillKey(ctx, client, &submission); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(o.std.err, "key", submission.Key)
		before := client.Resubmissions.Load()
		answer, err := client.SubmitAndWait(ctx, submission)
		if err != nil {
			return errors.Annotatef(err, "key %s", submission.Key)
		}
		if answer.Undelivered && o.Key == "" && client.Resubmissions.Load() == before {
			continue
		}
		return o.print(answer)
	}
	return errors.WithType(errors.New("no home could be reached"), ErrJob)
}

func (o *jobSubmitOptions) fillKey(ctx context.Context, client *rattanclient.Client, submission *rattanjob.Submission) error {
	if o.Key != "" {
		key, err := rattanjob.ParseKey(o.Key)
		if err != nil {
			return usageError("--key: %v", err)
		}
		submission.Key = key
		return nil
	}
	keys, err := client.Keys(ctx, 1)
	if err != nil {
		return errors.Annotate(err, "not run: no key")
	}
	submission.Key = keys[0]
	return nil
}

func (o *jobSubmitOptions) read() (rattanjob.Submission, error) {
	var submission rattanjob.Submission
	data, err := o.std.read(o.Args.File)
	if err != nil {
		return submission, err
	}
	if err := rattanjson.DecodeStrict(data, &submission); err != nil {
		return submission, usageError("%s: %v", o.Args.File, err)
	}
	if err := submission.CheckBody(); err != nil {
		return submission, usageError("%s: %v", o.Args.File, err)
	}
	return submission, nil
}

// Execute does the command's work for one key.
func (o *jobKeyOptions) Execute([]string) error {
	key, err := rattanjob.ParseKey(o.Args.Key)
	if err != nil {
		return usageError("KEY: %v", err)
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	reply, err := o.run(ctx, client, key)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	return o.print(reply)
}

func cancelJob(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	return client.Cancel(ctx, key)
}

func explainJob(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	data, err := client.Get(ctx, "/v1/jobs/"+key.String()+"/explain")
	return json.RawMessage(data), err
}

func statusOfJob(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	return client.Status(ctx, key, 10*time.Second)
}

func (o *callerOptions) client() (*rattanclient.Client, error) {
	config := rattanclient.Config{Addresses: o.Entry, Caller: o.Caller}
	if err := o.apply(&config); err != nil {
		return nil, err
	}
	return rattanclient.New(config), nil
}

// print writes a reply as JSON; an answer that is not complete is an error.
func (o *callerOptions) print(reply any) error {
	encoder := json.NewEncoder(o.std.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reply); err != nil {
		return errors.Trace(err)
	}
	answer, ok := reply.(rattanjob.Answer)
	if !ok || answer.State == rattanjob.StateComplete || answer.State == rattanjob.StateCancelled {
		return nil
	}
	return errors.WithType(errors.Errorf("%v: %v, %v", answer.State, answer.Reason, answer.Execution), ErrJob)
}
