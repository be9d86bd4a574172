package rattanhome

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRoundTripTimeout guards against detecting lost requests late when targets
// answer fast, and against false losses when answer times vary or the instance
// is slow.
func TestRoundTripTimeout(t *testing.T) {
	tests := map[string]struct {
		answers []time.Duration
		want    time.Duration
	}{
		"no answer yet": {want: maxTimeout},
		"fast":          {answers: []time.Duration{2 * time.Millisecond, time.Millisecond, 2 * time.Millisecond}, want: minTimeout},
		"constant":      {answers: repeat(30*time.Millisecond, 60), want: 30 * time.Millisecond},
		"slow":          {answers: repeat(200*time.Millisecond, 10), want: maxTimeout},
		"one stall":     {answers: append(repeat(time.Millisecond, 10), 60*time.Millisecond), want: maxTimeout},
		"after a stall": {answers: append(append(repeat(time.Millisecond, 10), 60*time.Millisecond), repeat(time.Millisecond, 40)...), want: minTimeout},
	}
	for name, test := range tests {
		var r roundTripEstimator
		for _, answer := range test.answers {
			r.observe(answer)
		}
		qt.Check(t, (r.timeout()-test.want).Abs() < time.Millisecond, qt.IsTrue, qt.Commentf("%s: %v", name, r.timeout()))
	}
}

func repeat(duration time.Duration, times int) []time.Duration {
	var list []time.Duration
	for range times {
		list = append(list, duration)
	}
	return list
}
