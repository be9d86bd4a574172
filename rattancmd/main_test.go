package rattancmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

// invoke runs a command line and returns its exit code and its output.
func invoke(in string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, strings.NewReader(in), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// commandPaths returns the arguments that select each command without
// subcommands.
func commandPaths(prefix []string, commands []command) [][]string {
	var paths [][]string
	for _, cmd := range commands {
		path := append(prefix[:len(prefix):len(prefix)], cmd.name)
		if len(cmd.subcommands) == 0 {
			paths = append(paths, path)
		}
		paths = append(paths, commandPaths(path, cmd.subcommands)...)
	}
	return paths
}

// TestHelp guards against a command whose help has no example, shows the example
// of another command, or exits with a code other than 0.
func TestHelp(t *testing.T) {
	for _, path := range commandPaths(nil, commands(&streams{})) {
		t.Run(strings.Join(path, " "), func(t *testing.T) {
			c := qt.New(t)
			code, out, errOut := invoke("", append(path, "--help")...)
			c.Assert(code, qt.Equals, ExitOK)
			c.Assert(errOut, qt.Equals, "")
			_, example, found := strings.Cut(out, "Example:\n")
			c.Assert(found, qt.IsTrue, qt.Commentf(out))
			c.Assert(strings.Join(strings.Fields(example), " "), qt.Matches, `.*(rattanlever|go run \.) `+strings.Join(path, " ")+`\b.*`)
		})
	}
	c := qt.New(t)
	code, out, _ := invoke("", "--help")
	c.Assert(code, qt.Equals, ExitOK)
	for _, cmd := range commands(&streams{}) {
		c.Check(out, qt.Contains, cmd.name)
	}
}

// TestUsage guards against invalid arguments that are reported with an exit code
// other than 2, in more than one line, or without naming the argument at fault.
func TestUsage(t *testing.T) {
	submission := func(text string) string { return `{"Kind":"list","Tasks":[` + text + `]}` }
	task := `{"Payload":1}`
	for _, test := range []struct {
		args string
		in   string
		want string
	}{
		{"", "", "command"},
		{"sreve", "", "sreve"},
		{"serve", "", "serve: --settings: RATTANLEVER_NODE_FILE is not set"},
		{"explain", "", "ID"},
		{"job", "", "command"},
		{"demo more", "", "more: unexpected argument"},
		{"demo --plant none", "", "--plant"},
		{"demo --duration 1ms", "", "--duration: 1ms, want 1s to 10m"},
		{"demo --seed x", "", "--seed"},
		{"entry", "", "--config"},
		{"config check", "", "FILE"},
		{"config put ../docs/examples/listaforge.json", "", "--platform"},
		{"config put --platform here ../docs/examples/listaforge.json", "", `--platform: "here"`},
		{"job submit", "", "FILE"},
		{"job submit --entry", "", "--entry"},
		{"job submit --timeout soon -", "", "--timeout"},
		{"job submit --speed 3 -", "", "speed"},
		{"job submit -", "", "-: "},
		{"job submit -", `{"Kind":`, "-: "},
		{"job submit -", `{"Kind":"list","Size":3}`, "Size"},
		{"job submit -", submission(`{"Payload":1,"Runtime":"1s"}`), "Tasks[0].Runtime"},
		{"job submit -", submission(`{"Payload":1,"RunTime":"-1s"}`), "Tasks[0].RunTime: -1s"},
		{"job submit -", submission(`{"Payload":1,"RunTime":1}`), "Tasks[0].RunTime"},
		{"job submit -", `{"Kind":"list","Deadline":"-1s","Tasks":[{}]}`, "Deadline: -1s"},
		{"job submit -", submission(strings.Repeat(task+",", 250) + task), "Tasks: 251 tasks, want 1 to 250"},
		{"job submit -", submission(""), "Tasks: 0 tasks"},
		{"job submit -", `{"Tasks":[{}]}`, "Kind: required"},
		{"job submit --key abc -", submission(task), `--key: "abc": not a submission key`},
		{"job status abc", "", `KEY: "abc": not a submission key`},
		{"job cancel abc", "", "KEY"},
		{"job explain", "", "KEY"},
		{"keys make", "", "ROLE/NAME"},
		{"keys make --directory /dev/null/x Captain/app", "", "Captain/app"},
		{"plan share app", "", "Share: empty"},
		{"plan share app --weight heavy", "", "--weight"},
		{"plan drain", "", "NAME"},
		{"plan intent -", `{"Kind":"Drain"}`, "-: Name"},
		{"plan intent -", `{"Kind":"Drian","Name":"a"}`, "line 1, column 9: Kind"},
		{"confirm", "", "PLAN"},
		{"report burn extra", "", "extra: unexpected argument"},
		{"standin platform --address here", "", `--address: "here"`},
		{"standin platform --target a=b", "", "--target a=b: want NAME="},
		{"standin platform --target a=b,c,d,0", "", "SLOTS: want at least 1"},
		{"standin target --count 0", "", "--count"},
		{"where -", "{}", "--host"},
		{"where --host h -", "{}", "--path"},
		{"where --host h --path /q/", "", "FILE"},
		{"where --host h --path /q/ --timeout 0s -", "{}", "--timeout"},
		{"where --host h --path /q/ --address here -", "{}", `--address: "here"`},
		{"where --host h --path /q/ -", "{", "-: not a JSON value"},
		{"where --host h --path /q/ -", strings.Repeat(" ", 262_145), "-: 262145 bytes, at most 262144"},
	} {
		t.Run(test.args, func(t *testing.T) {
			c := qt.New(t)
			code, out, errOut := invoke(test.in, strings.Fields(test.args)...)
			c.Assert(code, qt.Equals, ExitUsage, qt.Commentf("%s%s", out, errOut))
			c.Assert(out, qt.Equals, "")
			c.Assert(errOut, qt.Matches, `rattanlever: [^\n]+\n`)
			c.Assert(errOut, qt.Contains, test.want)
		})
	}
}

// TestCommandFailures guards against failures that are reported with an exit code
// other than 1 or without naming the address, file or flag at fault.
func TestCommandFailures(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing.json")
	const unusedAddress = "127.0.0.1:1"
	for _, test := range []struct {
		args string
		want string
	}{
		{"config check " + missing, missing},
		{"config put --platform " + unusedAddress + " ../docs/examples/listaforge.json", unusedAddress},
		{"entry --config " + missing, missing},
		{"job submit " + missing, missing},
		{"plan intent " + missing, missing},
		{"plan show p --entry " + unusedAddress, unusedAddress},
		{"confirm p --entry " + unusedAddress, unusedAddress},
		{"report burn --entry " + unusedAddress, unusedAddress},
		{"report burn --certificate " + missing, missing},
		{"keys make --directory /dev/null/x Caller/app", "--directory"},
		{"standin platform --address 192.0.2.1:1", "--address"},
		{"standin target --platform " + unusedAddress, "--platform"},
		{"where --host h --path /q/ " + missing, missing},
		{"where --host h --path /q/ --address " + unusedAddress + " ../docs/examples/listaforge.json", unusedAddress},
	} {
		t.Run(test.args, func(t *testing.T) {
			c := qt.New(t)
			code, out, errOut := invoke("", strings.Fields(test.args)...)
			c.Assert(code, qt.Equals, ExitFailed, qt.Commentf("%s%s", out, errOut))
			c.Assert(errOut, qt.Matches, `rattanlever: [^\n]+\n`)
			c.Assert(errOut, qt.Contains, test.want)
		})
	}
}

// TestConfigCheck guards against invalid settings and documents that are
// accepted, and against errors that do not name the file and the key.
func TestConfigCheck(t *testing.T) {
	const settings, document = "../docs/examples/settings.json", "../docs/examples/transcript-desk.json"
	for _, test := range []struct {
		name, file, before, after, want string
	}{
		{"unknown setting", settings, `"LogLevel"`, `"Loglevel"`, "Loglevel"},
		{"setting of another type", settings, `"2m"`, `2`, "Home.DrainTimeout"},
		{"setting out of range", settings, `"2m"`, `"2ms"`, "Home.DrainTimeout"},
		{"address of a peer", settings, `"10.20.1.11:9090"`, `"pest"`, "Peers[1].PeerAddress"},
		{"unknown key", document, `"MaxTasks"`, `"Maxtasks"`, "JobKinds.extract-assembly.Maxtasks"},
		{"missing service", document, `"Service": "registry"`, `"Service": "register"`, "JobKinds.rush-confirmation.Service"},
		{"negative weight", document, `"Weight": 1`, `"Weight": -1`, "Callers.firm-arve.Weight"},
		{"goal above one", document, `0.995`, `1.5`, "Objectives.confirmations-in-time.Goal"},
		{"malformed", document, `{`, `[`, "line 2, column 13"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile(test.file)
			c.Assert(err, qt.IsNil)
			code, out, errOut := invoke("", "config", "check", test.file)
			c.Assert(code, qt.Equals, ExitOK, qt.Commentf(errOut))
			c.Assert(out, qt.Equals, test.file+": valid\n")
			file := filepath.Join(c.TempDir(), "changed.json")
			changed := strings.Replace(string(data), test.before, test.after, 1)
			c.Assert(changed, qt.Not(qt.Equals), string(data))
			c.Assert(os.WriteFile(file, []byte(changed), 0o600), qt.IsNil)
			code, _, errOut = invoke("", "config", "check", file)
			c.Assert(code, qt.Equals, ExitFailed)
			c.Assert(errOut, qt.Matches, `rattanlever: [^\n]+\n`)
			c.Assert(errOut, qt.Contains, file+": ")
			c.Assert(errOut, qt.Contains, test.want+": ")
		})
	}
}

// TestCommandsAgainstInstance guards against commands that are incompatible with
// the API of a running instance, and against refusals that exit with code 0 or do
// not state that nothing was run.
func TestCommandsAgainstInstance(t *testing.T) {
	c := qt.New(t)
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          []string{"buda"},
		EntriesPerZone: 1,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: 1, Service: "planner", Target: rattanstandin.TargetOptions{Slots: 8, Echo: true}}},
		Document: rattanconfig.Document{
			Revision: 1,
			Services: map[string]rattanconfig.Service{"planner": {}},
			JobKinds: map[string]rattanconfig.JobKind{"list": {Service: "planner", MaxTasks: 5, Deadline: rattanjson.Duration(5e9)}},
			Callers:  map[string]rattanconfig.Caller{"app": {Weight: 1}},
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(system.Close)
	entry := system.Addresses()[0]
	run := func(in, line string) (int, string, string) {
		return invoke(in, append(strings.Fields(line), "--entry", entry)...)
	}
	submission := func(kind, tasks string) string { return `{"Kind":"` + kind + `","Tasks":[` + tasks + `]}` }

	code, out, errOut := run(submission("list", "{}"), "job submit --caller app -")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf(errOut))
	c.Assert(out, qt.Contains, `"State": "Complete"`)
	key := strings.Fields(errOut)[1]
	for _, test := range []struct {
		in, args string
		code     int
		out, err string
	}{
		{"", "job status --caller app " + key, ExitOK, `"State": "Complete"`, ""},
		{"", "job explain --caller app " + key, ExitOK, `"Kind": "list"`, ""},
		{"", "job cancel --caller app " + key, ExitOK, `"State": "Complete"`, ""},
		{"", "job explain --caller other " + key, ExitFailed, "", "KeyUnknown"},
		{"", "job status --caller other " + key, ExitFailed, "", "KeyUnknown"},
		{submission("list", "{}"), "job submit --caller app --key " + key + " -", ExitOK, `"State": "Complete"`, ""},
		{submission("list", "{},{}"), "job submit --caller app --key " + key + " -", ExitFailed, "Conflict", "Conflict"},
		{submission("lst", "{}"), "job submit --caller app -", ExitFailed, "NotRun", "UnknownKind, NotRun"},
		{submission("list", "{}"), "job submit --caller ap -", ExitFailed, "NotRun", "UnknownCaller, NotRun"},
		{submission("list", "{}"), "job submit -", ExitFailed, "", "header Caller"},
		{submission("list", "{},{},{},{},{},{}"), "job submit --caller app -", ExitFailed, "want at most 5", "Invalid, NotRun"},
		{"", "plan share ap --quota 3", ExitFailed, "", `Name: no "ap" in Callers`},
		{"", "plan show p-none", ExitFailed, "", `plan p-none: key "Plans/p-none": not found`},
		{"", "report burn", ExitOK, "", ""},
	} {
		code, out, errOut := run(test.in, test.args)
		comment := qt.Commentf("%s\n%s%s", test.args, out, errOut)
		c.Check(code, qt.Equals, test.code, comment)
		c.Check(out, qt.Contains, test.out, comment)
		c.Check(errOut, qt.Contains, test.err, comment)
	}
	c.Assert(system.StartLog.Starts(), qt.Equals, uint64(1))

	code, out, errOut = run("", "plan share app --quota 3")
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf(errOut))
	plan := strings.Fields(out)[1]
	code, _, errOut = run("", "confirm "+plan)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf(errOut))
	code, _, errOut = run("", "plan abandon "+plan)
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(errOut, qt.Contains, "Refused, Conflict: plan "+plan)
}

// TestDemoFindsInjectedFaults guards against checks of the demo that miss
// violations: each injected fault must be reported.
func TestDemoFindsInjectedFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts three complete systems")
	}
	for _, fault := range []string{"double", "partial", "untrue"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			code, out, errOut := invoke("", "demo", "--duration", "1s", "--plant", fault)
			c.Assert(code, qt.Equals, ExitFailed, qt.Commentf("%s%s", out, errOut))
			c.Assert(out, qt.Contains, "VIOLATION")
			c.Assert(errOut, qt.Matches, `rattanlever: \d+ violations?\n`)
		})
	}
}
