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

// template is a kind of job that the demo submits.
type template struct {
	kind    string
	callers []string
	// tasks is the largest number of tasks.
	tasks   int
	runTime time.Duration
	share   int
}

var templates = []template{
	{kind: "shopping-list", callers: []string{"app", "counter"}, tasks: 30, runTime: 120 * time.Millisecond, share: 5},
	{kind: "status-lookup", callers: []string{"firm-a", "firm-b", "firm-c", "firm-d"}, tasks: 6, runTime: 60 * time.Millisecond, share: 5},
	{kind: "extract", callers: []string{"firm-a", "firm-b"}, tasks: 3, runTime: 1500 * time.Millisecond, share: 1},
	{kind: "rush-confirmation", callers: []string{"firm-c", "firm-d"}, tasks: 1, runTime: 90 * time.Millisecond, share: 2},
}

// pick draws a template in proportion to the shares.
func pick(random *rand.Rand) template {
	total := 0
	for _, each := range templates {
		total += each.share
	}
	at := random.IntN(total)
	for _, each := range templates {
		if at < each.share {
			return each
		}
		at -= each.share
	}
	return templates[0]
}

// makeSubmission returns a job whose tasks return their payloads.
func makeSubmission(key rattanjob.Key, work template, tasks int, factor float64) rattanjob.Submission {
	made := rattanjob.Submission{Key: key, Kind: work.kind}
	runTime := time.Duration(float64(work.runTime) * factor)
	for i := range tasks {
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d"}`, runTime, key.ID(), i)
		made.Tasks = append(made.Tasks, rattanjob.Task{Payload: json.RawMessage(payload)})
	}
	return made
}

// document returns the configuration of both workloads.
func document() rattanconfig.Document {
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
