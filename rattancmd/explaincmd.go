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

// ErrNoLogLines reports that the logs have no line about a job.
const ErrNoLogLines = errors.ConstError("no log line is about the job")

type explainOptions struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"ID of the job"`
		Files []string `positional-arg-name:"FILE" description:"log files of instances; the default is standard input"`
	} `positional-args:"yes"`

	std *streams
}

func explainCommand(std *streams) command {
	return command{
		name:    "explain",
		summary: "Explain the outcome of a request from the instances' logs",
		example: "rattanlever explain 5c0e7a21d94b36f8 front-*.log",
		options: &explainOptions{std: std},
	}
}

// logLine holds the fields of a log line that are used to explain a request. They
// are decoded by their names.
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
	Task     string
	Target   string
	Proof    string
	// Submitter, Submitted, Own and Accepted describe a submission by another
	// version of the desired state than that of the home.
	Submitter string

	Presented    int
	Runs         int
	Tasks        int
	Failures     int
	ElapsedMS    float64
	FirstStartMS float64
	Desired      int64
	Submitted    int64
	Own          int64
	Accepted     bool
	Attempt      int
	Silent       int
	Crashed      int

	raw string
}

// Execute prints the log lines about the job in the order of their times,
// followed by the cause of the outcome.
func (o *explainOptions) Execute([]string) error {
	files := o.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lines []logLine
	for _, file := range files {
		data, err := o.std.read(file)
		if err != nil {
			return errors.Annotate(err, file)
		}
		lines = append(lines, jobLines(o.Args.ID, data)...)
	}
	if len(lines) == 0 {
		return errors.WithType(errors.Errorf("no log line is about job %s", o.Args.ID), ErrNoLogLines)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return errors.Trace(writeExplanation(o.std.out, lines))
}

// jobLines returns the lines of a log about a job. It ignores any text before the
// JSON object of a line, because log collectors add prefixes.
func jobLines(id string, data []byte) []logLine {
	var lines []logLine
	for rawLine := range bytes.Lines(data) {
		objectStart := bytes.IndexByte(rawLine, '{')
		if objectStart < 0 || !bytes.Contains(rawLine, []byte(id)) {
			continue
		}
		var line logLine
		if json.Unmarshal(rawLine[objectStart:], &line) != nil || line.Job != id {
			continue
		}
		line.raw = strings.TrimSpace(string(rawLine))
		lines = append(lines, line)
	}
	return lines
}

func writeExplanation(out io.Writer, lines []logLine) error {
	var text strings.Builder
	for _, line := range lines {
		text.WriteString(formatLine(&line) + "\n")
		for _, run := range line.History {
			text.WriteString("    " + run + "\n")
		}
	}
	text.WriteString("cause: " + findCause(lines) + "\n")
	_, err := io.WriteString(out, text.String())
	return err
}

func formatLine(line *logLine) string {
	timestamp := line.Time.Format(time.RFC3339)
	switch line.Message {
	case "job ended":
		return fmt.Sprintf("%s home: %s after %.0f ms (%s); %d tasks, %d runs, %d failed, first start after %.0f ms",
			timestamp, line.Outcome, line.ElapsedMS, line.Reason, line.Tasks, line.Runs, line.Failures, line.FirstStartMS)
	case "request answered":
		return fmt.Sprintf("%s front: status %d after %.0f ms (%s); presented %d times, last to %s, desired state %d",
			timestamp, line.Status, line.ElapsedMS, line.Reason, line.Presented, line.Home, line.Desired)
	case "run lost":
		return fmt.Sprintf("%s home: attempt %d of %s lost with target %s (%s); targets lost under the task: %d silent, %d crashed",
			timestamp, line.Attempt, line.Task, line.Target, line.Proof, line.Silent, line.Crashed)
	case "desired states differ":
		outcome := "both went on with the newer one"
		if line.Accepted {
			outcome = "the job had been accepted before"
		}
		return fmt.Sprintf("%s home: submitted by %s with desired state %d, own %d; %s", timestamp, line.Submitter, line.Submitted, line.Own, outcome)
	default:
		return line.raw
	}
}

// findCause returns the cause of the last answer.
func findCause(lines []logLine) string {
	var answerLine, jobLine *logLine
	for i := range lines {
		switch lines[i].Message {
		case "request answered":
			answerLine = &lines[i]
		case "job ended":
			jobLine = &lines[i]
		}
	}
	switch {
	case answerLine == nil && jobLine == nil:
		return "the log lines do not show how the request ended"
	case answerLine == nil:
		return "the home ended the job (" + jobLine.Reason + "), and no front logged an answer: the log of the front is missing or the front was killed"
	case answerLine.Status == 0:
		return "the caller left before the answer"
	case answerLine.Presented == 0:
		return fmt.Sprintf("%s; the job reached no home", answerLine.Reason)
	case answerLine.Presented > 1:
		return fmt.Sprintf("%s; the job was presented %d times because its home changed or did not answer", answerLine.Reason, answerLine.Presented)
	case jobLine != nil && jobLine.Runs > jobLine.Tasks:
		return fmt.Sprintf("%s; %d runs were needed for %d tasks", answerLine.Reason, jobLine.Runs, jobLine.Tasks)
	case jobLine != nil && jobLine.Runs == 0:
		return answerLine.Reason + "; no task was started"
	default:
		return answerLine.Reason
	}
}
