package rattanbench

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func newTestJob(arrival time.Duration, runTimes ...time.Duration) Job {
	return Job{Arrival: arrival, RunTimes: runTimes}
}

// TestIdeal guards against an ideal scheduler that serves jobs in another order
// than the documented one: its response times are the denominator of the
// slowdown. The expected values are computed by hand.
func TestIdeal(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		order Order
		jobs  []Job
		want  []time.Duration
	}{
		{
			name: "free slots", slots: 2, order: OrderFIFO,
			jobs: []Job{newTestJob(0, 100*ms, 30*ms), newTestJob(200*ms, 50*ms)},
			want: []time.Duration{100 * ms, 50 * ms},
		},
		{
			name: "longest task of a job first", slots: 2, order: OrderFIFO,
			jobs: []Job{newTestJob(0, 10*ms, 10*ms, 20*ms)},
			want: []time.Duration{20 * ms},
		},
		{
			name: "FIFO keeps a small job behind a large one", slots: 1, order: OrderFIFO,
			jobs: []Job{newTestJob(0, 100*ms, 100*ms), newTestJob(10*ms, 10*ms)},
			want: []time.Duration{200 * ms, 200 * ms},
		},
		{
			name: "a small job overtakes the waiting task of a large one", slots: 1, order: OrderSmallestFirst,
			jobs: []Job{newTestJob(0, 100*ms, 100*ms), newTestJob(10*ms, 10*ms)},
			want: []time.Duration{210 * ms, 100 * ms},
		},
		{
			name: "remaining work counts, not total work", slots: 1, order: OrderSmallestFirst,
			jobs: []Job{newTestJob(0, 100*ms, 20*ms), newTestJob(10*ms, 50*ms)},
			want: []time.Duration{120 * ms, 160 * ms},
		},
		{
			name: "arrival at the end of a task", slots: 1, order: OrderFIFO,
			jobs: []Job{newTestJob(0, 100*ms), newTestJob(100*ms, 10*ms)},
			want: []time.Duration{100 * ms, 10 * ms},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := Ideal(Merge(test.jobs), test.slots, test.order)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
