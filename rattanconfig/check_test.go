package rattanconfig

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

func loadExample(tb testing.TB, name string) ([]byte, Document) {
	tb.Helper()
	data, err := os.ReadFile("../docs/examples/" + name + ".json")
	if err != nil {
		tb.Fatal(err)
	}
	document, err := Parse(data)
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	return data, document
}

// TestExamples guards against example documents that are rejected, and against
// examples that declare a rush confirmation or a shopping list idempotent.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	_, listaforge := loadExample(t, "listaforge")
	c.Assert(listaforge.JobKinds["shopping-list"].Idempotent, qt.IsFalse)
	_, transcriptDesk := loadExample(t, "transcript-desk")
	c.Assert(transcriptDesk.JobKinds["rush-confirmation"].Idempotent, qt.IsFalse)
	c.Assert(transcriptDesk.Callers, qt.HasLen, 4)
}

// TestCheck guards against accepting invalid documents, and against errors
// without the path of the key and the expected value.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Document)
		want   string
	}{
		{"invalid name", func(d *Document) { d.Services["a b"] = Service{} }, `Services: name "a b", want 1 to 64 letters.*`},
		{"description of two lines", func(d *Document) { d.Services["planner"] = Service{Description: "a\nb"} }, `Services\.planner\.Description: want one line.*`},
		{"missing service of job kind", func(d *Document) { delete(d.Services, "planner") }, `JobKinds\.shopping-list\.Service: no "planner" in Services`},
		{"retired service", func(d *Document) { d.Services["planner"] = Service{Retired: true} }, `JobKinds\.shopping-list\.Service: "planner" is retired.*`},
		{"misspelt service", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.Service = "planer" }) }, `.*did you mean "planner"\?`},
		{"no service", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.Service = "" }) }, `JobKinds\.shopping-list\.Service: missing.*`},
		{"no tasks", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.MaxTasks = 0 }) }, `JobKinds\.shopping-list\.MaxTasks: 0, want 1 to 250`},
		{"too many tasks", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.MaxTasks = 251 }) }, `.*MaxTasks: 251, want 1 to 250`},
		{"no deadline", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.Deadline = 0 }) }, `.*Deadline: 0s, want 1ms to 10m0s`},
		{"long deadline", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.Deadline = jsonDuration(time.Hour) }) }, `.*Deadline: 1h0m0s, want .*`},
		{"run time above deadline", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.RunTime = jsonDuration(time.Minute) }) }, `.*RunTime: 1m0s, want 0s to the deadline \(10s\)`},
		{"negative run time", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.RunTime = -1 }) }, `.*RunTime: -1ns, want .*`},
		{"negative cores", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.CoresPerTask = -1 }) }, `.*CoresPerTask: -1, want 0 to .*`},
		{"negative memory", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.MemoryMBPerTask = -1 }) }, `.*MemoryMBPerTask: -1, want 0 to .*`},
		{"too many accelerators", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.AcceleratorsPerTask = math.MaxInt }) }, `.*AcceleratorsPerTask: .*`},
		{"too large payload limit", func(d *Document) { updateJobKind(d, func(k *JobKind) { k.MaxPayloadBytes = 1 << 30 }) }, `.*MaxPayloadBytes: .*`},
		{"no weight", func(d *Document) { d.Callers["app"] = Caller{} }, `Callers\.app\.Weight: 0, want above 0.*`},
		{"infinite weight", func(d *Document) { d.Callers["app"] = Caller{Weight: math.Inf(1)} }, `Callers\.app\.Weight: \+Inf.*`},
		{"weight not a number", func(d *Document) { d.Callers["app"] = Caller{Weight: math.NaN()} }, `Callers\.app\.Weight: NaN.*`},
		{"negative quota", func(d *Document) { d.Callers["app"] = Caller{Weight: 1, Quota: -5} }, `Callers\.app\.Quota: -5, want .*`},
		{"negative job limit", func(d *Document) { d.Callers["app"] = Caller{Weight: 1, MaxJobs: -5} }, `Callers\.app\.MaxJobs: -5, want .*`},
		{"reason of two lines", func(d *Document) { d.Drains["t1"] = Drain{Reason: "a\nb"} }, `Drains\.t1\.Reason: want one line.*`},
		{"misspelt job kind of objective", func(d *Document) { updateObjective(d, func(o *Objective) { o.Kind = "stock-chekc" }) }, `Objectives\.stock-in-time\.Kind: no "stock-chekc" in JobKinds, did you mean "stock-check"\?`},
		{"unknown measure", func(d *Document) { updateObjective(d, func(o *Objective) { o.Measure = "Fast" }) }, `.*Measure: "Fast", want AnsweredInTime, ShortWait or Refused`},
		{"goal of 1", func(d *Document) { updateObjective(d, func(o *Objective) { o.Goal = 1 }) }, `.*Goal: 1, want above 0 and below 1`},
		{"too short window", func(d *Document) { updateObjective(d, func(o *Objective) { o.Window = jsonDuration(time.Minute) }) }, `.*Window: 1m0s, want 1h0m0s to .*`},
		{"negative threshold", func(d *Document) { updateObjective(d, func(o *Objective) { o.Threshold = -1 }) }, `.*Threshold: -1ns, want .*`},
		{"no threshold", func(d *Document) {
			updateObjective(d, func(o *Objective) { o.Measure, o.Threshold = MeasureShortWait, 0 })
		}, `.*Threshold: missing.*`},
		{"threshold with measure Refused", func(d *Document) { updateObjective(d, func(o *Objective) { o.Measure = MeasureRefused }) }, `.*Threshold: 1s, want none.*`},
		{"too many objectives", func(d *Document) {
			for i := range 201 {
				d.Objectives[fmt.Sprint(i)] = d.Objectives["stock-in-time"]
			}
		}, `Objectives: 204 entries, want at most 200`},
		{"too long request ID", func(d *Document) { d.RequestID = string(make([]byte, 300)) }, `RequestID: want one line of at most 200 bytes.*`},
		{"request ID not UTF-8", func(d *Document) { d.RequestID = "\xc7" }, `RequestID: want one line .*of UTF-8.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, document := loadExample(t, "listaforge")
			test.change(&document)
			err := Check(document)
			c.Assert(errors.Is(err, ErrInvalidDocument), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// TestParseErrors guards against a misspelt key that is silently ignored, and
// against documents that are too large for the platform.
func TestParseErrors(t *testing.T) {
	c := qt.New(t)
	_, err := Parse([]byte(`{"Callers":{"app":{"Wieght":1}}}`))
	c.Assert(errors.Is(err, rattanjson.ErrUnknownKey), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `line 1, column 20: Callers\.app\.Wieght: no such key, did you mean Weight\?`)
	_, err = Parse(make([]byte, 2<<20))
	c.Assert(errors.Is(err, ErrInvalidDocument), qt.IsTrue)
}

// FuzzParse guards against panics, and against documents that are accepted but
// rejected after a round trip.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"listaforge", "transcript-desk"} {
		data, _ := loadExample(f, name)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		if err != nil {
			return
		}
		text, err := Encode(document)
		if err != nil {
			return
		}
		if _, err := Parse(text); err != nil {
			t.Fatalf("round trip of %s: %v", text, err)
		}
	})
}

func updateJobKind(document *Document, change func(*JobKind)) {
	kind := document.JobKinds["shopping-list"]
	change(&kind)
	document.JobKinds["shopping-list"] = kind
}

func updateObjective(document *Document, change func(*Objective)) {
	objective := document.Objectives["stock-in-time"]
	change(&objective)
	document.Objectives["stock-in-time"] = objective
}

func jsonDuration(duration time.Duration) rattanjson.Duration {
	return rattanjson.Duration(duration)
}
