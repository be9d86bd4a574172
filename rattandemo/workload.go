package rattandemo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// jobTemplate describes the jobs of one kind that the demo submits.
type jobTemplate struct {
	kind    string
	callers []string
	// maxTasks is the maximum number of tasks in a job.
	maxTasks int
	runTime  time.Duration
	weight   int
}

var jobTemplates = []jobTemplate{
	{kind: "shopping-list", callers: []string{"app", "counter"}, maxTasks: 30, runTime: 120 * time.Millisecond, weight: 5},
	{kind: "status-lookup", callers: []string{"firm-a", "firm-b", "firm-c", "firm-d"}, maxTasks: 6, runTime: 60 * time.Millisecond, weight: 5},
	{kind: "extract", callers: []string{"firm-a", "firm-b"}, maxTasks: 3, runTime: 1500 * time.Millisecond, weight: 1},
	{kind: "rush-confirmation", callers: []string{"firm-c", "firm-d"}, maxTasks: 1, runTime: 90 * time.Millisecond, weight: 2},
}

// pickTemplate draws a template with probability proportional to its weight.
func pickTemplate(random *rand.Rand) jobTemplate {
	total := 0
	for _, template := range jobTemplates {
		total += template.weight
	}
	remaining := random.IntN(total)
	for _, template := range jobTemplates {
		if remaining < template.weight {
			return template
		}
		remaining -= template.weight
	}
	return jobTemplates[0]
}

// newSubmission returns a submission whose tasks have distinct payloads. The
// simulated targets return the payload of a task as its result.
func newSubmission(key rattanjob.Key, template jobTemplate, tasks int, runTimeFactor float64) rattanjob.Submission {
	submission := rattanjob.Submission{Key: key, Kind: template.kind}
	runTime := time.Duration(float64(template.runTime) * runTimeFactor)
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		submission.Tasks = append(submission.Tasks, rattanjob.Task{Payload: json.RawMessage(payload)})
	}
	return submission
}

// newDocument returns the configuration for both workloads.
func newDocument() rattanconfig.Document {
	seconds := func(count int) rattanjson.Duration {
		return rattanjson.Duration(time.Duration(count) * time.Second)
	}
	milliseconds := func(count int) rattanjson.Duration {
		return rattanjson.Duration(time.Duration(count) * time.Millisecond)
	}
	return rattanconfig.Document{
		Revision: 1,
		Services: map[string]rattanconfig.Service{
			"planner":  {Description: "shopping lists"},
			"registry": {Description: "transcripts"},
		},
		JobKinds: map[string]rattanconfig.JobKind{
			"shopping-list":     {Service: "planner", MaxTasks: 250, RunTime: milliseconds(120), Deadline: seconds(5), Idempotent: true},
			"status-lookup":     {Service: "registry", MaxTasks: 50, RunTime: milliseconds(60), Deadline: seconds(3), Idempotent: true},
			"extract":           {Service: "registry", MaxTasks: 50, RunTime: milliseconds(1500), Deadline: seconds(10), Idempotent: true},
			"rush-confirmation": {Service: "registry", MaxTasks: 1, RunTime: milliseconds(90), Deadline: seconds(3)},
		},
		Callers: map[string]rattanconfig.Caller{
			"app": {Weight: 2}, "counter": {Weight: 1},
			"firm-a": {Weight: 1}, "firm-b": {Weight: 1}, "firm-c": {Weight: 1}, "firm-d": {Weight: 1},
		},
	}
}
