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

// ErrJobNotComplete reports that a job did not complete successfully.
const ErrJobNotComplete = errors.ConstError("job not complete")

// maxKeyAttempts limits the number of new keys that are tried for one submission.
// A new key is needed if the home of the previous one was lost before the
// submission reached it.
const maxKeyAttempts = 5

// callerOptions are the options shared by the callers' commands.
type callerOptions struct {
	Entry   []string      `long:"entry" value-name:"ADDRESS" default:"127.0.0.1:7100" description:"address of an entry instance or load balancer, repeatable"`
	Caller  string        `long:"caller" value-name:"NAME" description:"name of the caller, used without TLS only"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"60s" description:"maximum time to wait for a final answer"`
	tlsOptions

	std *streams
}

type jobSubmitOptions struct {
	callerOptions
	Key  string `long:"key" value-name:"KEY" description:"submission key; the default is a newly issued one"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true" description:"submission in JSON without Key; - for standard input"`
	} `positional-args:"true"`
}

type jobKeyOptions struct {
	callerOptions
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`

	// operation sends the command's request for the key.
	operation func(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error)
}

func jobCommand(std *streams) command {
	withKey := func(operation func(context.Context, *rattanclient.Client, rattanjob.Key) (any, error)) *jobKeyOptions {
		return &jobKeyOptions{callerOptions: callerOptions{std: std}, operation: operation}
	}
	return command{
		name:    "job",
		summary: "Submit, cancel and inspect jobs",
		subcommands: []command{
			{name: "cancel", summary: "Cancel a job", example: "rattanlever job cancel --caller app KEY", options: withKey(cancelJob)},
			{name: "explain", summary: "Explain how a job was processed", example: "rattanlever job explain --caller app KEY", options: withKey(explainJob)},
			{name: "status", summary: "Show the answer of a job", example: "rattanlever job status --caller app KEY", options: withKey(getJobStatus)},
			{
				name:    "submit",
				summary: "Submit a job and wait for its answer",
				example: `echo '{"Kind":"shopping-list","Tasks":[{"Payload":{"Item":"grout"}}]}' | rattanlever job submit --caller app -`,
				options: &jobSubmitOptions{callerOptions: callerOptions{std: std}},
			},
		},
	}
}

// Execute submits the job and waits for its answer. It prints the key before it
// submits, so that the job can be looked up even if the command is interrupted.
func (o *jobSubmitOptions) Execute([]string) error {
	submission, err := o.readSubmission()
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	for range maxKeyAttempts {
		if err := o.setKey(ctx, client, &submission); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(o.std.err, "key", submission.Key)
		resubmissionsBefore := client.Resubmissions.Load()
		answer, err := client.SubmitAndWait(ctx, submission)
		if err != nil {
			return errors.Annotatef(err, "key %s", submission.Key)
		}
		if answer.Undelivered && o.Key == "" && client.Resubmissions.Load() == resubmissionsBefore {
			continue
		}
		return o.print(answer)
	}
	return errors.WithType(errors.New("no home could be reached"), ErrJobNotComplete)
}

// setKey sets the key from the command line, or a newly issued one.
func (o *jobSubmitOptions) setKey(ctx context.Context, client *rattanclient.Client, submission *rattanjob.Submission) error {
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
		return errors.Annotate(err, "not run: cannot get a key")
	}
	submission.Key = keys[0]
	return nil
}

func (o *jobSubmitOptions) readSubmission() (rattanjob.Submission, error) {
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

// Execute runs the operation for the key and prints the reply.
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
	reply, err := o.operation(ctx, client, key)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	return o.print(reply)
}

func cancelJob(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	return client.CancelAndWait(ctx, key)
}

func explainJob(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	data, err := client.Get(ctx, "/v1/jobs/"+key.String()+"/explain")
	return json.RawMessage(data), err
}

func getJobStatus(ctx context.Context, client *rattanclient.Client, key rattanjob.Key) (any, error) {
	return client.Status(ctx, key, 10*time.Second)
}

func (o *callerOptions) client() (*rattanclient.Client, error) {
	config := rattanclient.Config{Addresses: o.Entry, Caller: o.Caller}
	if err := o.configureTLS(&config); err != nil {
		return nil, err
	}
	return rattanclient.New(config), nil
}

// print writes a reply as JSON. It returns an error if the reply is an answer
// whose job is neither complete nor cancelled.
func (o *callerOptions) print(reply any) error {
	if err := rattanjson.Write(o.std.out, reply); err != nil {
		return errors.Trace(err)
	}
	answer, ok := reply.(rattanjob.Answer)
	if !ok || answer.State == rattanjob.StateComplete || answer.State == rattanjob.StateCancelled {
		return nil
	}
	return errors.WithType(errors.Errorf("%v: %v, %v", answer.State, answer.Reason, answer.Execution), ErrJobNotComplete)
}
