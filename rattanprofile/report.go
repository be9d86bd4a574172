package rattanprofile

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "jobs/s\tjobs\tsucceeded\trefused\tfailed\texcess p50\tp99\thome cores\thome/task\tothers/task\tpeak MB\t\n")
	for _, run := range r.Runs {
		fmt.Fprintf(table, "%.0f\t%d\t%d\t%d\t%d\t%s\t%s\t%.2f\t%s\t%s\t%.0f\t\n", run.JobsPerSecond, run.Jobs, run.Succeeded, run.Refused, run.Failed,
			run.MedianExcess.Round(time.Millisecond), run.P99Excess.Round(time.Millisecond), run.HomeCores,
			run.PerTask.Round(time.Microsecond), run.PerTaskFront.Round(time.Microsecond), run.PeakMemoryMB)
	}
	fmt.Fprintf(table, "\nhome per task")
	for _, run := range r.Runs {
		fmt.Fprintf(table, "\t%.0f jobs/s", run.JobsPerSecond)
	}
	fmt.Fprintf(table, "\t\n")
	for stage := range StageOther + 1 {
		fmt.Fprintf(table, "%s", stage)
		for _, run := range r.Runs {
			fmt.Fprintf(table, "\t%s", run.Stages[stage].PerTask.Round(time.Microsecond))
		}
		fmt.Fprintf(table, "\t\n")
	}
	return errors.Trace(table.Flush())
}
