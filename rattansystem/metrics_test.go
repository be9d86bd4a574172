package rattansystem_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanmetric"
)

// TestMetricsAreDocumented guards against metrics that are missing from
// docs/metrics.md, and against documented metrics that no instance exports.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	system := startSystem(c, "buda")
	client := rattanclient.New(rattanclient.Config{Addresses: system.Addresses(), Caller: "app"})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	keys, err := client.Keys(ctx, 2)
	c.Assert(err, qt.IsNil)
	_, err = client.SubmitAndWait(ctx, newSubmission(keys[0], 3, 0))
	c.Assert(err, qt.IsNil)
	unknown := newSubmission(keys[1], 1, 0)
	unknown.Kind = "other"
	_, err = client.SubmitAndWait(ctx, unknown)
	c.Assert(err, qt.IsNil)

	home := system.Home("buda")
	c.Assert(home.Instance.Metrics.Undocumented(), qt.HasLen, 0)
	response, err := http.Get("http://" + home.Instance.CallerAddress() + "/metrics")
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	page := string(data)
	for _, row := range rattanmetric.InstanceMetrics() {
		if row.Name == rattanmetric.CertificateLifeSeconds {
			continue
		}
		c.Check(strings.Contains(page, "\n"+row.Name) || strings.HasPrefix(page, row.Name), qt.IsTrue, qt.Commentf(row.Name))
	}
	for _, line := range []string{
		"rattanlever_jobs_admitted_total 1\n",
		"rattanlever_jobs_in_progress 0\n",
		"rattanlever_ledger_records 2\n",
		"rattanlever_members_alive 3\n",
		"rattanlever_pool_slots 32\n",
		"rattanlever_pool_busy_slots 0\n",
		"rattanlever_tasks_started_total 3\n",
		`rattanlever_task_wait_seconds_count{kind="list"} 3` + "\n",
		`rattanlever_job_response_seconds_count{kind="list"} 1` + "\n",
		`rattanlever_jobs_refused_total{reason="UnknownKind"} 1` + "\n",
		"process_cpu_seconds_total",
	} {
		c.Check(page, qt.Contains, line)
	}
}
