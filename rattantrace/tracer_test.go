package rattantrace

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanpool"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func key(number uint64) rattanjob.Key {
	key := rattanjob.Key{Epoch: rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-1", Number: 1}, Number: 1}}
	binary.BigEndian.PutUint64(key.Nonce[:], number+1)
	return key
}

func submission(number uint64) Submission {
	return Submission{Key: key(number), Caller: "app", Kind: "list", Tasks: 2, Deadline: 10 * time.Second, Front: "buda-2"}
}

// TestExplain guards against an explanation that leaves out a step of a job.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	tracer := New(Options{})
	id := tracer.Begin(start, submission(1))
	tracer.Admitted(id, 2*time.Second)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	first := tracer.Assigned(at(1), id, Assignment{Task: 0, Target: "t1", Attempt: 1, Waited: time.Millisecond})
	tracer.Waiting(at(2), id, 1, "caller is at its quota")
	tracer.Ended(at(3), id, first, 0, rattanpool.Report{Outcome: rattanpool.OutcomeNotStarted})
	second := tracer.Assigned(at(4), id, Assignment{Task: 0, Target: "t2", Attempt: 2, Cause: "retry, not started"})
	tracer.Assigned(at(5), id, Assignment{Task: 1, Target: "t1", Attempt: 1, Waited: 5 * time.Millisecond})
	tracer.Ended(at(9), id, second, 0, rattanpool.Report{Outcome: rattanpool.OutcomeDone, RunTime: 5 * time.Millisecond})

	trace, err := tracer.Explain(key(1))
	c.Assert(err, qt.IsNil)
	c.Check(trace.Text(), qt.Contains, "still running")
	tracer.Finished(at(10), id, rattanjob.Answer{State: rattanjob.StateFailed, Reason: rattanjob.ReasonTaskUnresolved, Detail: "t1 is silent"})
	trace, err = tracer.Explain(key(1))
	c.Assert(err, qt.IsNil)
	c.Assert(trace.Text(), qt.Equals, `Job `+key(1).String()+`
  submitted 2026-03-02T09:00:00Z by caller app through buda-2: 2 tasks of kind list, deadline 10s
  admitted, expected to take 2s
  +1ms task 0 to target t1, attempt 1, waited 1ms: NotStarted after 0s
  +2ms task 1 waits: caller is at its quota
  +4ms task 0 to target t2, attempt 2, waited 0s (retry, not started): Done after 5ms
  +5ms task 1 to target t1, attempt 1, waited 5ms: running
  Failed after 10ms, reason TaskUnresolved: t1 is silent
`)
	data, err := json.Marshal(trace)
	c.Assert(err, qt.IsNil)
	var received Trace
	c.Assert(rattanjson.DecodeStrict(data, &received), qt.IsNil)
	c.Assert(received, qt.DeepEquals, trace)
}

// TestBounds guards against memory that grows with the number of jobs and
// events, and against events that are shown for another job.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	tracer := New(Options{Jobs: 4, Events: 8})
	var ids []ID
	for number := range uint64(6) {
		ids = append(ids, tracer.Begin(start, submission(number)))
	}
	_, err := tracer.Explain(key(1))
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)
	c.Assert(tracer.byNonce, qt.HasLen, 4)
	c.Assert(tracer.Assigned(start, ids[0], Assignment{}), qt.Equals, EventRef(0))
	c.Assert(tracer.Assigned(start, 0, Assignment{}), qt.Equals, EventRef(0))

	lost := tracer.Assigned(start, ids[5], Assignment{Task: 1, Target: "lost"})
	for task := range 10 {
		for _, id := range ids[4:] {
			tracer.Assigned(start, id, Assignment{Task: task, Target: fmt.Sprint("t", id)})
		}
	}
	tracer.Ended(start, ids[5], lost, 1, rattanpool.Report{Outcome: rattanpool.OutcomeDone})
	trace, err := tracer.Explain(key(5))
	c.Assert(err, qt.IsNil)
	c.Assert(trace.EventsLost, qt.Equals, 12-len(trace.Events))
	var tasks []int
	for _, event := range trace.Events[:len(trace.Events)-1] {
		c.Check(event.Target, qt.Equals, fmt.Sprint("t", ids[5]))
		tasks = append(tasks, event.Task)
	}
	c.Assert(tasks, qt.DeepEquals, []int{6, 7, 8, 9})
	c.Assert(trace.Events[len(trace.Events)-1].Kind, qt.Equals, EventEnded)
	other := key(5)
	other.Epoch.Number = 9
	_, err = tracer.Explain(other)
	c.Assert(errors.Is(err, ErrNotFound), qt.IsTrue)
}

// TestNames guards against a table of names that grows without bound, or that
// gives an event another name after unused ones were dropped.
func TestNames(t *testing.T) {
	c := qt.New(t)
	const events = 4
	// The kept events need two names each, and the new event two.
	for limit := 2 + 2*events + 2; limit < 20; limit++ {
		tracer := New(Options{Jobs: 2, Events: events})
		tracer.names = newNameTable(limit)
		id := tracer.Begin(start, submission(1))
		for number := range 40 {
			now := start.Add(time.Duration(number) * 2 * collectEvery)
			tracer.Assigned(now, id, Assignment{Task: number, Target: fmt.Sprint("t", number), Cause: fmt.Sprint("c", number)})
			trace, err := tracer.Explain(key(1))
			c.Assert(err, qt.IsNil)
			for _, event := range trace.Events {
				c.Check(event.Target, qt.Equals, fmt.Sprint("t", event.Task))
				c.Check(event.Cause, qt.Equals, fmt.Sprint("c", event.Task))
			}
		}
		c.Assert(len(tracer.names.names) <= limit, qt.IsTrue)
	}
	tracer := New(Options{Jobs: 2, Events: events})
	tracer.names = newNameTable(3)
	id := tracer.Begin(start, submission(1))
	tracer.Assigned(start, id, Assignment{Target: "t1", Cause: "c1"})
	trace, err := tracer.Explain(key(1))
	c.Assert(err, qt.IsNil)
	c.Assert(trace.Events[0].Target, qt.Equals, "t1")
	c.Assert(trace.Events[0].Cause, qt.Equals, unknownName)
}

// TestAllocates guards against allocation on the start path.
func TestAllocates(t *testing.T) {
	tracer := New(Options{Jobs: 64, Events: 256})
	id := tracer.Begin(start, submission(1))
	assignment := Assignment{Target: "t1", Attempt: 1, Cause: "least loaded"}
	qt.Assert(t, testing.AllocsPerRun(1000, func() {
		ref := tracer.Assigned(start, id, assignment)
		tracer.Ended(start, id, ref, 0, rattanpool.Report{})
	}), qt.Equals, 0.0)
}

// startCost is the time of one start that the overhead is measured against.
const startCost = 50 * time.Microsecond

// BenchmarkStart measures the events of one task, with the part of a start of
// 50 microseconds that they take; the target is below 3%.
func BenchmarkStart(b *testing.B) {
	tracer := New(Options{})
	targets := make([]string, 128)
	for i := range targets {
		targets[i] = fmt.Sprint("target-", i)
	}
	now := start
	var id ID
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		if i%30 == 0 {
			id = tracer.Begin(now, submission(uint64(i)))
		}
		now = now.Add(startCost)
		ref := tracer.Assigned(now, id, Assignment{Task: i % 30, Target: targets[i%len(targets)], Attempt: 1, Cause: "least loaded"})
		tracer.Ended(now, id, ref, i%30, rattanpool.Report{RunTime: time.Second})
		i++
	}
	b.ReportMetric(100*float64(b.Elapsed())/float64(b.N)/float64(startCost), "%-of-start")
}
