package rattanlimit

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestReservedShare guards against large requests that take the bytes reserved for
// small ones, and against small ones that find no room beside them.
func TestReservedShare(t *testing.T) {
	c := qt.New(t)
	budget := NewBudget(100, 25)
	large, other, small := budget.NewShare(), budget.NewShare(), budget.NewShare()
	c.Check(large.Resize(75, true), qt.IsTrue)
	c.Check(other.Resize(1, true), qt.IsFalse)
	c.Check(small.Resize(25, false), qt.IsTrue)
	c.Check(small.Resize(26, false), qt.IsFalse)
	c.Check(small.Resize(25, true), qt.IsFalse, qt.Commentf("a small share becomes large without room"))
	large.Release()
	c.Check(small.Resize(25, true), qt.IsTrue)
	c.Check(budget.Held(), qt.Equals, int64(25))
	small.Release()
	small.Release()
	c.Check(budget.Held(), qt.Equals, int64(0))
}

// TestBudgetModel guards against bytes that are lost or counted twice in any sequence
// of operations, and against bounds that are exceeded.
func TestBudgetModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, reserved, count = 1000, 250, 5
		budget := NewBudget(total, reserved)
		shares := make([]Share, count)
		for i := range shares {
			shares[i] = budget.NewShare()
		}
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			share := &shares[rapid.IntRange(0, count-1).Draw(t, "share")]
			if rapid.Bool().Draw(t, "release") {
				share.Release()
				continue
			}
			before := *share
			bytes, large := rapid.Int64Range(0, 600).Draw(t, "bytes"), rapid.Bool().Draw(t, "large")
			if !share.Resize(bytes, large) && *share != before {
				t.Fatalf("failed resize changes the share")
			}
			if bytes <= before.bytes && large == before.large && share.bytes != bytes {
				t.Fatalf("share cannot shrink")
			}
		}
		var held, largeHeld int64
		for _, share := range shares {
			held += share.bytes
			if share.large {
				largeHeld += share.bytes
			}
		}
		if held != budget.held || largeHeld != budget.large || held > total || largeHeld > total-reserved {
			t.Fatalf("held %d, counted %d; large %d, counted %d", held, budget.held, largeHeld, budget.large)
		}
	})
}

// TestBudgetConcurrent guards against bounds that are exceeded by concurrent requests.
func TestBudgetConcurrent(t *testing.T) {
	budget := NewBudget(50, 10)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 2000 {
				share := budget.NewShare()
				if share.Resize(int64(i%40), i%2 == 0) && budget.Held() > 50 {
					t.Errorf("%d bytes held", budget.Held())
				}
				share.Release()
			}
		})
	}
	group.Wait()
	qt.New(t).Check(budget.Held(), qt.Equals, int64(0))
}

// TestPeerJobs guards against jobs without room that are not reported as such or not
// counted.
func TestPeerJobs(t *testing.T) {
	c := qt.New(t)
	budget := NewBudget(100, 0)
	jobs := NewJobs(budget, nil)
	release, admission := jobs.Admit(90)
	c.Check(admission, qt.Equals, Admitted)
	releaseOther, admission := jobs.Admit(20)
	c.Check(admission, qt.Equals, AdmittedWithoutRoom)
	c.Check(budget.Held(), qt.Equals, int64(110))
	releaseRejected, admission := jobs.Admit(91)
	c.Check(admission, qt.Equals, NotAdmitted)
	c.Check(budget.Held(), qt.Equals, int64(110))
	releaseRejected()
	c.Check(budget.Held(), qt.Equals, int64(110))
	release()
	releaseOther()
	c.Check(budget.Held(), qt.Equals, int64(0))
}

// TestLimits guards against limits that leave too little to peers and targets, exceed
// the soft limit of the runtime, or keep a single legal request from being served.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	for _, machine := range []struct {
		memoryMB, descriptors int
	}{{144, 3075}, {536, 10250}, {144, 10250}, {536, 3075}, {64, 400}, {0, 0}} {
		limits := ForMachine(int64(machine.memoryMB)<<20, machine.descriptors)
		comment := qt.Commentf("%+v: %+v", machine, limits)
		c.Check(limits.BodyBytes-limits.ReservedBytes >= 4<<20, qt.IsTrue, comment)
		c.Check(limits.Connections >= 100, qt.IsTrue, comment)
		if machine.memoryMB >= 144 {
			sum := limits.BodyBytes + limits.PeerBytes + int64(limits.Connections)*connectionBytes
			c.Check(sum <= int64(machine.memoryMB)<<20/3, qt.IsTrue, comment)
			c.Check(limits.Connections >= 1000, qt.IsTrue, comment)
		}
		if machine.descriptors > 0 {
			c.Check(machine.descriptors-reservedDescriptors-limits.Connections >= (machine.descriptors-reservedDescriptors)/3, qt.IsTrue, comment)
		}
	}
}

// TestProgress guards against giving up a body that arrives at a legal rate, and
// against keeping one that does not.
func TestProgress(t *testing.T) {
	tests := map[string]struct {
		rate     int64 // bytes per second
		pause    time.Duration
		duration time.Duration
		fault    bool
		cause    Cause
	}{
		"262,144 bytes at 4,500 a second": {rate: 4500, duration: 59 * time.Second},
		"pause of 9 s":                    {rate: 100000, pause: 9 * time.Second, duration: 9 * time.Second},
		"100 bytes a second":              {rate: 100, duration: 11 * time.Second, fault: true, cause: BodyStalled},
		"pause of 10 s":                   {rate: 100000, pause: 10 * time.Second, duration: 10 * time.Second, fault: true, cause: BodyStalled},
		"longer than a minute":            {rate: 4500, duration: 61 * time.Second, fault: true, cause: BodyTooLong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Now()
			p := progress{startedAt: start, advancedAt: start}
			const step = 100 * time.Millisecond
			var cause Cause
			fault := false
			for elapsed := step; elapsed <= test.duration && !fault; elapsed += step {
				if elapsed > test.pause && p.advance(test.rate/10) {
					p.advancedAt = start.Add(elapsed)
				}
				cause, fault = p.fault(start.Add(elapsed))
			}
			c.Check(fault, qt.Equals, test.fault)
			c.Check(cause, qt.Equals, test.cause)
		})
	}
}
