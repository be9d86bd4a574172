package rattancmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// ErrNoTrace says that the logs do not tell of a request.
const ErrNoTrace = errors.ConstError("no line tells of the request")

type explainOptions struct {
	Positional struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"ID of the job"`
		Files []string `positional-arg-name:"FILE" description:"logs of instances; standard input by default"`
	} `positional-args:"yes"`

	std *streams
}

func explainCommand(std *streams) command {
	return command{
		name:    "explain",
		short:   "Tell from logs what became of a request and why",
		example: "rattanlever explain 5c0e7a21d94b36f8 front-*.log",
		data:    &explainOptions{std: std},
	}
}

// logLine holds the fields of a log line that explain a request.
type logLine struct {
	Time     time.Time
	Message  string
	Instance string
	Job      string
	Route    string
	Status   int
	Reason   string
	Home     string
	Outcome  string
	History  []string

	Presented    int
	Runs         int
	Tasks        int
	Failures     int
	ElapsedMS    float64
	FirstStartMS float64
	Desired      int64

	raw string
}

// Execute prints the lines about the request in order and their conclusion.
func (o *explainOptions) Execute([]string) error {
	files := o.Positional.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lines []logLine
	for _, file := range files {
		data, err := o.std.read(file)
		if err != nil {
			return errors.Annotate(err, file)
		}
		lines = append(lines, linesAbout(o.Positional.ID, data)...)
	}
	if len(lines) == 0 {
		return errors.WithType(errors.Errorf("%s", o.Positional.ID), ErrNoTrace)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return errors.Trace(writeExplanation(o.std.out, lines))
}

// linesAbout returns the lines of a log about a job. What stands before the
// JSON object of a line, as the tools that collect logs write it, is left out.
func linesAbout(id string, data []byte) []logLine {
	var lines []logLine
	for row := range bytes.Lines(data) {
		begin := bytes.IndexByte(row, '{')
		if begin < 0 || !bytes.Contains(row, []byte(id)) {
			continue
		}
		var line logLine
		if json.Unmarshal(row[begin:], &line) != nil || line.Job != id {
			continue
		}
		line.raw = strings.TrimSpace(string(row))
		lines = append(lines, line)
	}
	return lines
}

func writeExplanation(out io.Writer, lines []logLine) error {
	var text strings.Builder
	for _, line := range lines {
		text.WriteString(describe(&line) + "\n")
		for _, run := range line.History {
			text.WriteString("    " + run + "\n")
		}
	}
	text.WriteString("cause: " + conclusion(lines) + "\n")
	_, err := io.WriteString(out, text.String())
	return err
}

func describe(line *logLine) string {
	at := line.Time.Format(time.RFC3339)
	switch line.Message {
	case "job ended":
		return fmt.Sprintf("%s home: %s after %.0f ms (%s); %d tasks, %d runs, %d failed, first start after %.0f ms",
			at, line.Outcome, line.ElapsedMS, line.Reason, line.Tasks, line.Runs, line.Failures, line.FirstStartMS)
	case "request answered":
		return fmt.Sprintf("%s front: status %d after %.0f ms (%s); presented %d times, last to %s, desired state %d",
			at, line.Status, line.ElapsedMS, line.Reason, line.Presented, line.Home, line.Desired)
	default:
		return line.raw
	}
}

// conclusion names the cause of the last answer.
func conclusion(lines []logLine) string {
	var answer, job *logLine
	for i := range lines {
		switch lines[i].Message {
		case "request answered":
			answer = &lines[i]
		case "job ended":
			job = &lines[i]
		}
	}
	switch {
	case answer == nil && job == nil:
		return "the lines tell of no end of the request"
	case answer == nil:
		return "the home ended the job (" + job.Reason + "), and no front tells of an answer: its log is missing or it was killed"
	case answer.Status == 0:
		return "the caller left before the answer"
	case answer.Presented == 0:
		return fmt.Sprintf("%s; the job reached no home", answer.Reason)
	case answer.Presented > 1:
		return fmt.Sprintf("%s; the job was presented %d times because its home changed or did not answer", answer.Reason, answer.Presented)
	case job != nil && job.Runs > job.Tasks:
		return fmt.Sprintf("%s; %d runs were needed for %d tasks", answer.Reason, job.Runs, job.Tasks)
	case job != nil && job.Runs == 0:
		return answer.Reason + "; no task was started"
	default:
		return answer.Reason
	}
}
