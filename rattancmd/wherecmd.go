package rattancmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

const (
	// ErrWouldBeRefused reports that the job would be refused.
	ErrWouldBeRefused = errors.ConstError("job would be refused")
	// errNotTold reports that an instance cannot tell what would happen to the job.
	errNotTold = errors.ConstError("nothing can be told")
)

// maxWhereAnswer bounds the answer of an instance, which takes a few kilobytes.
const maxWhereAnswer = 1 << 20

type whereOptions struct {
	Address []string      `long:"address" value-name:"ADDRESS" default:"127.0.0.1:7735" description:"metrics address of an instance of serve, repeatable; the next one is asked if one cannot tell"`
	Host    string        `long:"host" value-name:"HOST" required:"true" description:"host to which the job would be sent"`
	Path    string        `long:"path" value-name:"PATH" required:"true" description:"path to which the job would be sent, with or without the ID of the job"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"3s" description:"maximum time to wait for the answer of one instance"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true" description:"body of the job's request; - for standard input"`
	} `positional-args:"true"`

	std *streams
}

func whereCommand(std *streams) command {
	return command{
		name:    "where",
		summary: "Tell where a job would go now and why, without sending it",
		example: "rattanlever where --address 10.1.0.13:7735 --host queue.example --path /queue/ job.json",
		options: &whereOptions{std: std},
	}
}

// Execute asks the instances in turn until one can tell, and prints the report.
func (o *whereOptions) Execute([]string) error {
	if o.Timeout <= 0 {
		return usageError("--timeout: must be positive")
	}
	for _, address := range o.Address {
		if err := checkAddress("--address", address); err != nil {
			return err
		}
	}
	body, err := o.std.read(o.Args.File)
	if err != nil {
		return err
	}
	if len(body) > rattanfront.MaxWhereBody {
		return usageError("%s: %d bytes, at most %d", o.Args.File, len(body), rattanfront.MaxWhereBody)
	}
	if !json.Valid(body) {
		return usageError("%s: not a JSON value", o.Args.File)
	}
	var report rattanfront.WhereReport
	for _, address := range o.Address {
		if report, err = o.ask(address, body); err == nil || !errors.Is(err, errNotTold) {
			break
		}
	}
	if err != nil {
		return err
	}
	if err := rattanjson.Write(o.std.out, report); err != nil {
		return errors.Trace(err)
	}
	switch decision := &report.Decision; decision.Outcome {
	case rattanscheduler.PreviewRefused:
		return errors.WithType(errors.Errorf("the job would be refused: %s", decision.Reason), ErrWouldBeRefused)
	case rattanscheduler.PreviewUnknown:
		return errors.WithType(errors.Errorf("home %s cannot tell: %s", report.Home, decision.Reason), errNotTold)
	default:
		return nil
	}
}

// ask returns the report of one instance. The error is errNotTold if another instance may
// tell.
func (o *whereOptions) ask(address string, body []byte) (report rattanfront.WhereReport, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: rattanfront.WherePath, RawQuery: url.Values{"host": {o.Host}, "path": {o.Path}}.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return report, usageError("--address: %v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, errors.WithType(errors.Annotate(err, "not told"), errNotTold)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhereAnswer))
	if err != nil {
		return report, errors.WithType(errors.Annotatef(err, "%s", address), errNotTold)
	}
	if response.StatusCode != http.StatusOK {
		return report, o.failure(address, response.StatusCode, data)
	}
	if err := json.Unmarshal(data, &report); err != nil || report.Instance == "" {
		// An instance of the former version answers any path with its metrics.
		return report, errors.WithType(errors.Errorf("%s: the answer is no report; the instance may be of a former version", address), errNotTold)
	}
	return report, nil
}

// failure returns the error for an answer without a report.
func (o *whereOptions) failure(address string, status int, data []byte) error {
	var answer rattanfront.WhereError
	if json.Unmarshal(data, &answer) != nil || answer.Error == "" {
		answer.Error = http.StatusText(status)
	}
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return usageError("%s: %s", o.Args.File, answer.Error)
	default:
		return errors.WithType(errors.Errorf("%s: %s", address, answer.Error), errNotTold)
	}
}
