package rattancmd_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanfront"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// where runs the command against an instance and returns its exit code and its output.
func (d *deployment) where(instance *serveInstance, path, body string) (code int, report rattanfront.WhereReport, errOut string) {
	d.Helper()
	command := exec.Command(binary, "where", "--address", "127.0.0.1:1", "--address", instance.IP+":7735", "--host", queueHost, "--path", path, "-")
	var stdout, stderr bytes.Buffer
	command.Stdin, command.Stdout, command.Stderr = strings.NewReader(body), &stdout, &stderr
	if err := command.Run(); err != nil && command.ProcessState == nil {
		d.Fatal(err)
	}
	if stdout.Len() > 0 {
		d.Assert(json.Unmarshal(stdout.Bytes(), &report), qt.IsNil, qt.Commentf("%s", &stdout))
	}
	return command.ProcessState.ExitCode(), report, stderr.String()
}

// whereJob returns the body of a job with one task.
func whereJob(milliCPU int) string {
	return fmt.Sprintf(`{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":50}]}`, milliCPU)
}

// TestServeWhere guards against a preview that starts the job, that only the home itself
// can give, or that does not follow what happens in the zone.
func TestServeWhere(t *testing.T) {
	t.Parallel()
	deployment := startDeploymentWith(t, []string{"a"}, 2, 2, evacuateMillis)
	const id = "00000000000000ab"
	// The targets are known once a job has started.
	load := deployment.startLoad(1)
	deployment.awaitStarts("a")
	load.finish()
	startsBefore := deployment.checker.StartsIn("a")
	home := deployment.homeOf("a")
	for _, instance := range deployment.instances {
		code, report, errOut := deployment.where(instance, queuePrefix+id, whereJob(8000))
		deployment.Assert(code, qt.Equals, 0, qt.Commentf("%s", errOut))
		deployment.Check(report.Instance, qt.Equals, instance.Name)
		deployment.Check(report.Home, qt.Equals, home.Name)
		deployment.Check(report.Service, qt.Equals, queueService)
		deployment.Check(report.Evacuation, qt.Equals, "none")
		deployment.Check(report.EvacuationsRevision > 0, qt.IsTrue)
		deployment.Check(report.InventoryAge, qt.IsNotNil)
		deployment.Check(report.Decision.Outcome, qt.Equals, rattanscheduler.PreviewStarts)
		deployment.Check(report.Decision.Starts, qt.HasLen, 1)
		deployment.Check(report.Decision.Targets.Usable, qt.Equals, 2)

		code, report, errOut = deployment.where(instance, queuePrefix, whereJob(33_000))
		deployment.Check(code, qt.Equals, 1)
		deployment.Check(report.Decision.Outcome, qt.Equals, rattanscheduler.PreviewRefused)
		deployment.Check(errOut, qt.Equals, "rattanlever: the job would be refused: no target for it\n")

		code, _, errOut = deployment.where(instance, "/other/", whereJob(8000))
		deployment.Check(code, qt.Equals, 1)
		deployment.Check(errOut, qt.Contains, `no route for host "queue.example" and path "/other/"`)

		code, _, errOut = deployment.where(instance, queuePrefix, `{"best_effort":true,"steps":[]}`)
		deployment.Check(code, qt.Equals, 2)
		deployment.Check(errOut, qt.Matches, `rattanlever: -: [^\n]*steps[^\n]*\n`)
	}
	deployment.evacuate("a")
	deployment.awaitEvacuated(home, 1)
	code, report, _ := deployment.where(deployment.instances[0], queuePrefix+id, whereJob(8000))
	deployment.Check(code, qt.Equals, 1)
	deployment.Check(report.Evacuation, qt.Equals, "active")
	deployment.Check(report.Decision.Reason, qt.Equals, "zone is evacuated")
	deployment.Check(report.Decision.RetryAfter.Std(), qt.Equals, 2*time.Second)

	deployment.Check(deployment.checker.StartsIn("a"), qt.Equals, startsBefore)
	for _, instance := range deployment.instances {
		deployment.Check(strings.Contains(instance.Output(), id), qt.IsFalse)
	}
}
