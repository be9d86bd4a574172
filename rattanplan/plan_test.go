package rattanplan

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

var now = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func exampleDocument(tb testing.TB) rattanconfig.Document {
	tb.Helper()
	data, err := os.ReadFile("../docs/examples/listaforge.json")
	if err != nil {
		tb.Fatal(err)
	}
	document, err := rattanconfig.Parse(data)
	if err != nil {
		tb.Fatal(err)
	}
	return document
}

func exampleStatus() ClusterStatus {
	return ClusterStatus{
		Slots: 400, BusySlots: 390, Backlog: rattanjson.Duration(200 * time.Second),
		ServiceSlots: map[string]int{"planner": 392, "catalogue": 8},
		Targets: map[string]Target{
			"t1": {AvailabilityZone: "buda", Service: "planner", Slots: 16, BusySlots: 15, LongestRemaining: rattanjson.Duration(7 * time.Second)},
			"t2": {AvailabilityZone: "buda", Service: "catalogue", Slots: 8, BusySlots: 0},
		},
		Instances: map[string]Instance{
			"buda-1": {AvailabilityZone: "buda", Revision: 1, Jobs: 40, LongestRemaining: rattanjson.Duration(4 * time.Second)},
			"pest-1": {AvailabilityZone: "pest", Revision: 1},
			"pest-2": {AvailabilityZone: "pest", Revision: 1},
		},
		Callers:  map[string]Usage{"app": {Slots: 250, Jobs: 100, Backlog: rattanjson.Duration(90 * time.Second)}, "counter-pest": {Slots: 80}},
		JobKinds: map[string]Usage{"shopping-list": {Slots: 300, Jobs: 70}},
	}
}

func mustParseIntent(tb testing.TB, text string) Intent {
	tb.Helper()
	parsed, err := ParseIntent([]byte(text))
	if err != nil {
		tb.Fatalf("%s: %v", text, err)
	}
	return parsed
}

func mustMakePlan(tb testing.TB, text string) Plan {
	tb.Helper()
	plan, err := Make(now, exampleDocument(tb), mustParseIntent(tb, text), exampleStatus())
	if err != nil {
		tb.Fatalf("%s: %v", text, err)
	}
	return plan
}

// TestMake guards against plans that omit an effect, an affected party, the
// expected duration or the cost at the current load.
func TestMake(t *testing.T) {
	for _, test := range []struct {
		name, intent string
		expected     time.Duration
		want         []string
	}{
		{"drain target", `{"Kind":"Drain","Name":"t1","Drain":{"Reason":"fan"}}`, 10 * time.Second, []string{
			"Target t1 (service planner, availability zone buda) is drained.", "no new tasks after at most 3s", "15 running tasks finish there",
			"16 slots go out of use.", "occupies 97.5% of the slots, and 101.6% afterwards", "needs 6 slots more than will be left",
			`Drains.t1: added {"Reason":"fan"}`,
		}},
		{"drain last target of service", `{"Kind":"Drain","Name":"t2"}`, 3 * time.Second, []string{"No other target in use runs service catalogue: jobs of the kinds price-lookup, stock-check will be refused"}},
		{"drain instance", `{"Kind":"Drain","Name":"buda-1"}`, 7 * time.Second, []string{
			"Entry instance buda-1 (availability zone buda) is drained.", "40 jobs finish there and are answered", "only entry instance of availability zone buda", "present load:\n  - None.",
		}},
		{"drain one of several instances", `{"Kind":"Drain","Name":"pest-1"}`, 3 * time.Second, []string{"0 jobs finish there"}},
		{"drain unknown name", `{"Kind":"Drain","Name":"t99"}`, 2 * time.Second, []string{`has the name "t99"; check the spelling`}},
		{"change weight", `{"Kind":"SetShare","Name":"app","Share":{"Weight":14}}`, 2 * time.Second, []string{
			"Caller app is changed.", "share of the slots is 70.0% (now 40.0%), about 280 slots", "caller counter-pest (share 10.0%, now 20.0%)", "Callers.app.Weight: 4 replaced by 14",
		}},
		{"lower quota and job limit", `{"Kind":"SetShare","Name":"app","Share":{"Quota":200,"MaxJobs":50}}`, 12 * time.Second, []string{
			"Waiting tasks with 1m30s of slot time are delayed.",
			"at most 200 slots at a time (before: 300); it holds 250 now", "holds 50 slots more than the new quota; its waiting tasks (1m30s of slot time) are delayed", "at most 50 jobs in progress in a pool (before: 5000); it has 100",
		}},
		{"remove quota and job limit", `{"Kind":"SetShare","Name":"app","Share":{"Quota":0,"MaxJobs":0}}`, 2 * time.Second, []string{"no quota any more (before: 300)", "no longer limited (before: 5000)"}},
		{"add caller", `{"Kind":"PutCaller","Name":"web","Caller":{"Weight":10}}`, 2 * time.Second, []string{"Caller web is added.", "is 50.0% (now 0.0%), about 200 slots", "caller app (share 20.0%, now 40.0%)"}},
		{"retire caller", `{"Kind":"RetireCaller","Name":"app"}`, 2*time.Second + 10*time.Second, []string{"Caller app is retired.", "100 jobs in progress are finished", "New submissions are refused as not run", "100 jobs in progress and 250 slots busy"}},
		{"retire job kind", `{"Kind":"RetireJobKind","Name":"shopping-list"}`, 12 * time.Second, []string{"70 jobs in progress are finished"}},
		{"add service", `{"Kind":"PutService","Name":"printer","Service":{"Description":"Labels"}}`, 2 * time.Second, []string{"Service printer is added."}},
		{"tighten limits of job kind", `{"Kind":"PutJobKind","Name":"shopping-list","JobKind":{"Service":"planner","MaxTasks":100,"Deadline":"5s","Idempotent":true}}`, 2 * time.Second, []string{"70 jobs in progress keep the old one", "becomes idempotent", "more than 100 tasks or a deadline above 5s are refused"}},
		{"add objective", `{"Kind":"PutObjective","Name":"refused","Objective":{"Measure":"Refused","Goal":0.9,"Window":"24h"}}`, 2 * time.Second, []string{"90.0% of events of all job kinds good by measure Refused over 24h0m0s"}},
		{"remove objective", `{"Kind":"RemoveObjective","Name":"few-refusals"}`, 2 * time.Second, []string{"Objective few-refusals is removed."}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			plan := mustMakePlan(t, test.intent)
			for _, want := range test.want {
				c.Check(plan.Text(), qt.Contains, want)
			}
			c.Check(plan.Expected.Std(), qt.Equals, test.expected)
			c.Check(strings.Contains(plan.Text(), "%!"), qt.IsFalse, qt.Commentf(plan.Text()))
		})
	}
}

// TestMakeErrors guards against accepting intents that are malformed, do not
// fit the document or change nothing.
func TestMakeErrors(t *testing.T) {
	for _, test := range []struct {
		intent  string
		wantErr errors.ConstError
		want    string
	}{
		{`{"Name":"t1"}`, ErrInvalidIntent, "Kind: missing, want .*"},
		{`{"Kind":"Drian","Name":"t1"}`, rattanjson.ErrUnknownName, `.*Kind: "Drian", want one of Drain, .*`},
		{`{"Kind":"Drain"}`, ErrInvalidIntent, "Name: missing, want .*"},
		{`{"Kind":"PutCaller","Name":"a"}`, ErrInvalidIntent, "Caller: missing, kind PutCaller needs it"},
		{`{"Kind":"Undrain","Name":"a","Drain":{}}`, ErrInvalidIntent, "Drain: present, want it only with kind Drain"},
		{`{"Kind":"SetShare","Name":"app","Share":{}}`, ErrInvalidIntent, "Share: empty, want .*"},
		{`{"Kind":"SetShare","Name":"ap","Share":{"Quota":1}}`, ErrInvalidIntent, `Name: no "ap" in Callers, did you mean "app"\?`},
		{`{"Kind":"SetShare","Name":"app","Share":{"Quota":-1}}`, rattanconfig.ErrInvalidDocument, `Callers\.app\.Quota: -1, want .*`},
		{`{"Kind":"SetShare","Name":"app","Share":{"Weight":4}}`, ErrNoChange, "SetShare app"},
		{`{"Kind":"Undrain","Name":"t1"}`, ErrInvalidIntent, `Name: no "t1" in Drains`},
		{`{"Kind":"RetireService","Name":"planner"}`, ErrInvalidIntent, `.*used by the job kinds \[shopping-list\], want them retired first`},
	} {
		t.Run(test.intent, func(t *testing.T) {
			c := qt.New(t)
			parsed, err := ParseIntent([]byte(test.intent))
			if err == nil {
				_, err = Make(now, exampleDocument(t), parsed, exampleStatus())
			}
			c.Assert(errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// TestConfirm guards against a plan that is applied twice, or to a document
// that it was not made for.
func TestConfirm(t *testing.T) {
	c := qt.New(t)
	plan := mustMakePlan(t, `{"Kind":"Drain","Name":"t1"}`)
	base := exampleDocument(t)
	after, err := Confirm(now, plan, base)
	c.Assert(err, qt.IsNil)
	c.Assert(after.Revision, qt.Equals, uint64(2))
	c.Assert(after.RequestID, qt.Equals, plan.ID)
	c.Assert(base.Drains, qt.HasLen, 0)

	repeated, err := Confirm(now, plan, after)
	c.Assert(errors.Is(err, ErrConfirmed), qt.IsTrue)
	c.Assert(repeated, qt.DeepEquals, after)
	_, err = Confirm(now.Add(Lifetime+1), plan, base)
	c.Assert(errors.Is(err, ErrStale), qt.IsTrue)

	confirmed := MarkConfirmed(now, plan, after)
	_, err = Confirm(now, confirmed, base)
	c.Assert(errors.Is(err, ErrConfirmed), qt.IsTrue)
	_, err = Abandon(now, confirmed)
	c.Assert(errors.Is(err, ErrConfirmed), qt.IsTrue)
	abandoned, err := Abandon(now, plan)
	c.Assert(err, qt.IsNil)
	_, err = Confirm(now, abandoned, base)
	c.Assert(errors.Is(err, ErrAbandoned), qt.IsTrue)
	_, err = Abandon(now, abandoned)
	c.Assert(err, qt.IsNil)
}

// TestConfirmStale guards against a lost conflict report: when two operators
// confirm concurrently, the second one must see what the first one changed.
func TestConfirmStale(t *testing.T) {
	c := qt.New(t)
	first, second := mustMakePlan(t, `{"Kind":"Drain","Name":"t1"}`), mustMakePlan(t, `{"Kind":"SetShare","Name":"app","Share":{"Weight":5}}`)
	current, err := Confirm(now, first, exampleDocument(t))
	c.Assert(err, qt.IsNil)
	_, err = Confirm(now, second, current)
	var staleError *StaleError
	c.Assert(errors.Is(err, ErrStale) && errors.As(err, &staleError), qt.IsTrue)
	c.Assert(staleError.Changes, qt.HasLen, 1)
	c.Assert(staleError.AlreadyApplied, qt.IsFalse)
	c.Assert(err, qt.ErrorMatches, `(?s)plan \w+ was made for revision 1, the present revision is 2; .*Drains\.t1: added.*`)

	current.Revision, current.RequestID = 3, "other"
	_, err = Confirm(now, first, current)
	c.Assert(errors.As(err, &staleError) && staleError.AlreadyApplied, qt.IsTrue)
}

// TestUndo guards against an undo that does not restore the state before the
// plan.
func TestUndo(t *testing.T) {
	for _, text := range []string{
		`{"Kind":"Drain","Name":"t1"}`,
		`{"Kind":"SetShare","Name":"app","Share":{"Weight":5,"Quota":0}}`,
		`{"Kind":"PutService","Name":"planner","Service":{"Description":"New"}}`,
		`{"Kind":"PutCaller","Name":"app","Caller":{"Weight":1}}`,
		`{"Kind":"RetireCaller","Name":"app"}`,
		`{"Kind":"RetireJobKind","Name":"shopping-list"}`,
		`{"Kind":"PutObjective","Name":"new","Objective":{"Measure":"Refused","Goal":0.9,"Window":"24h"}}`,
		`{"Kind":"RemoveObjective","Name":"few-refusals"}`,
	} {
		t.Run(text, func(t *testing.T) {
			c := qt.New(t)
			base, plan := exampleDocument(t), mustMakePlan(t, text)
			_, err := Undo(plan)
			c.Assert(errors.Is(err, ErrNotConfirmed), qt.IsTrue)
			after, err := Confirm(now, plan, base)
			c.Assert(err, qt.IsNil)
			undo, err := Undo(MarkConfirmed(now, plan, after))
			c.Assert(err, qt.IsNil)
			undoPlan, err := Make(now, after, undo, exampleStatus())
			c.Assert(err, qt.IsNil)
			restored, err := Confirm(now, undoPlan, after)
			c.Assert(err, qt.IsNil)
			c.Assert(restored.Revision, qt.Equals, uint64(3))
			c.Assert(rattanconfig.Changes(base, restored), qt.HasLen, 0)
		})
	}
	c := qt.New(t)
	plan := mustMakePlan(t, `{"Kind":"PutCaller","Name":"new","Caller":{"Weight":1}}`)
	undo, err := Undo(MarkConfirmed(now, plan, exampleDocument(t)))
	c.Assert(err, qt.IsNil)
	c.Assert(undo, qt.DeepEquals, Intent{Kind: KindRetireCaller, Name: "new"})
}

// TestProgress guards against reporting a drain as done while tasks are running
// or an instance does not have the revision yet.
func TestProgress(t *testing.T) {
	c := qt.New(t)
	plan := mustMakePlan(t, `{"Kind":"Drain","Name":"t1"}`)
	c.Assert(plan.Progress(exampleStatus()).Text, qt.Equals, "The plan is not confirmed (Open).")
	plan = MarkConfirmed(now, plan, rattanconfig.Document{Revision: 2})

	status := exampleStatus()
	progress := plan.Progress(status)
	c.Assert(progress, qt.DeepEquals, Progress{
		Instances: 3, Outstanding: 15,
		Text: "Revision 2 is in force on 0 of 3 instances; missing on buda-1, pest-1, pest-2. Tasks or jobs still to end on t1: 15.",
	})
	for name, instance := range status.Instances {
		instance.Revision = 2
		status.Instances[name] = instance
	}
	status.Targets["t1"] = Target{BusySlots: 3}
	progress = plan.Progress(status)
	c.Assert(progress.Done, qt.IsFalse)
	c.Assert(progress.Fraction, qt.Equals, 0.9)
	status.Targets["t1"] = Target{}
	c.Assert(plan.Progress(status), qt.DeepEquals, Progress{Done: true, InForce: 3, Instances: 3, Fraction: 1, Text: "Done: revision 2 is in force on all 3 instances."})
	c.Assert(plan.Progress(ClusterStatus{}).Done, qt.IsFalse)

	quotaPlan := MarkConfirmed(now, mustMakePlan(t, `{"Kind":"SetShare","Name":"app","Share":{"Quota":200}}`), rattanconfig.Document{Revision: 1})
	c.Assert(quotaPlan.Progress(exampleStatus()).Text, qt.Equals, "Slots that app holds above its quota: 50.")
}

// TestPlanJSON guards against losing fields of a plan when it is stored.
func TestPlanJSON(t *testing.T) {
	c := qt.New(t)
	plan := MarkConfirmed(now, mustMakePlan(t, `{"Kind":"SetShare","Name":"app","Share":{"Weight":5}}`), rattanconfig.Document{Revision: 2})
	data, err := json.Marshal(plan)
	c.Assert(err, qt.IsNil)
	var stored Plan
	c.Assert(rattanjson.DecodeStrict(data, &stored), qt.IsNil)
	c.Assert(stored, qt.DeepEquals, plan)
}

// FuzzParseIntent guards against panics on malformed intents.
func FuzzParseIntent(f *testing.F) {
	f.Add([]byte(`{"Kind":"Drain","Name":"t1","Drain":{"Reason":"fan"}}`))
	f.Add([]byte(`{"Kind":"PutCaller","Name":"a","Caller":{"Weight":1}}`))
	f.Add([]byte(`{"Kind":"SetShare","Name":"app","Share":{"Weight":14,"Quota":null}}`))
	base := exampleDocument(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := ParseIntent(data)
		if err != nil {
			return
		}
		plan, err := Make(now, base, parsed, exampleStatus())
		if err != nil {
			return
		}
		if _, err := Confirm(now, plan, base); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	})
}
