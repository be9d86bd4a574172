package rattancmd_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattansite"
)

// oddEntries returns odd forms of the entry of a target, by what is odd about them.
func oddEntries(entry string) map[string]string {
	nested := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	odd := map[string]string{"not text": "\xff\xfe", "null": "null"}
	for name, change := range map[string]struct{ pattern, replacement string }{
		"nested labels":       {`"labels":\[.*?\]`, `"labels":` + nested},
		"nested other field":  {`"slots":8`, `"slots":` + nested},
		"shallow other field": {`"slots":8`, `"slots":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000)},
		"number too large":    {`"cpu":\d+`, `"cpu":1e400`},
		"largest capacity":    {`"cpu":\d+`, `"cpu":9223372036854775807`},
		"largest memory":      {`"mem_mb":\d+`, `"mem_mb":9223372036854775807`},
		"negative capacity":   {`"cpu":\d+`, `"cpu":-5`},
		"port out of range":   {`"address":".*?"`, `"address":"127.0.0.1:99999"`},
		"address with space":  {`"address":".*?"`, `"address":"127.0.0.1 :9"`},
		"no port":             {`"address":".*?"`, `"address":"127.0.0.1"`},
		"no service":          {`"service":".*?"`, `"service":""`},
		"no zone":             {`"zone":".*?"`, `"zone":""`},
		"largest start time":  {`"born":\d+`, `"born":9223372036854775807`},
	} {
		odd[name] = regexp.MustCompile(change.pattern).ReplaceAllLiteralString(entry, change.replacement)
	}
	return odd
}

// TestServeOddEntries guards against instances that end, or no longer follow the inventory, for one odd entry.
func TestServeOddEntries(t *testing.T) {
	t.Parallel()
	const targets = 2
	deployment := startDeployment(t, []string{"a", "b"}, 1, targets)
	zoneA, zoneB := deployment.instances[0], deployment.instances[1]
	entry := strings.Replace(string(deployment.store.Value("servers/i-b-0")), deployment.targets[targets].Address(), "127.0.0.1:9", 1)
	for name, odd := range oddEntries(entry) {
		deployment.store.PutBytes("servers/"+name, []byte(odd))
		deployment.checkJob(zoneB)
	}
	for _, id := range []string{"", "line\nbreak", strings.Repeat("x", 200)} {
		deployment.store.PutBytes("servers/"+id, []byte(entry))
	}
	waitFree := deployment.fillZone(zoneA, targets, 1200*time.Millisecond)
	deployment.waitForStarts(fmt.Sprintf("%016x", 0xf000+targets-1), 1)
	time.Sleep(300 * time.Millisecond)
	// Zone a has no room, so zone b takes the job.
	deployment.checkJob(zoneA)
	waitFree()
	home := deployment.homeOf("b")
	deployment.kill(home, syscall.SIGKILL)
	deployment.start(home)
	deployment.waitReady(home)
	deployment.checkJob(zoneB)
	deployment.checkRunning()
}

// TestServeOverwrittenEntry guards against overcommitting a target whose entry another program overwrites.
func TestServeOverwrittenEntry(t *testing.T) {
	t.Parallel()
	const overwriteTime = 1000 * time.Millisecond
	deployment := startDeployment(t, []string{"b"}, 2, 2)
	load := deployment.startLoad(20)
	load.waitForSuccess(time.Now())
	for name, odd := range oddEntries(string(deployment.store.Value("servers/i-b-0"))) {
		for until := time.Now().Add(overwriteTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			deployment.store.PutBytes("servers/i-b-0", []byte(odd))
		}
		load.waitForSuccess(time.Now())
		if violations := deployment.checker.Violations(); len(violations) > 0 {
			deployment.Fatalf("%s: %s", name, violations[0])
		}
	}
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
	deployment.Check(load.unanswered.Load(), qt.Equals, int64(0))
	deployment.checkRunning()
}

// checkRunning checks that no process has ended.
func (d *deployment) checkRunning() {
	d.Helper()
	for _, instance := range d.instances {
		if !instance.Alive() {
			d.Errorf("%s has ended", instance.Name)
		}
	}
}

// checkJob checks that a job of two tasks is complete in time and starts each task
// once.
func (d *deployment) checkJob(instance *serveInstance) {
	d.Helper()
	id := fmt.Sprintf("%016x", 0xb0000+d.checker.Starts())
	d.checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: 16000, Duration: 100 * time.Millisecond})
	answer := d.send(&http.Client{}, instance, id, []byte(`{"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":16000,"mem_mb":64,"estimate_ms":100}]}`))
	d.Check(answer.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", instance.Name, answer.Body))
	d.Check(d.checker.StartsOf(id), qt.Equals, 2)
}
