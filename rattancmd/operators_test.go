package rattancmd_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattanstandin"
)

// inForceBound is the target value of section 2 for a configuration change at
// today's size.
const inForceBound = 2 * time.Second

// operator is one operator, connected to one instance.
type operator struct {
	client *rattanclient.Client
	plan   rattanentry.PlanReply
	err    error
}

// confirmTogether lets an operator at each of the instances make a plan for the
// same revision and then confirms all plans at once.
func (s *cluster) confirmTogether(ctx context.Context, round int, faults rattanstandin.Faults, entries ...*process) []*operator {
	var operators []*operator
	for number, entry := range entries {
		made := &operator{client: rattanclient.New(rattanclient.Config{Addresses: []string{entry.address}, Operator: "operator", Transport: s.transport})}
		intent := fmt.Sprintf(`{"Kind":"SetShare","Name":"app","Share":{"Weight":%d}}`, 10*round+number+1)
		body, err := made.client.Post(ctx, "/v1/plans", []byte(intent))
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(json.Unmarshal(body, &made.plan), qt.IsNil)
		operators = append(operators, made)
	}
	s.platform.SetFaults(faults)
	var confirming sync.WaitGroup
	for _, each := range operators {
		confirming.Go(func() {
			var body []byte
			body, each.err = each.client.Post(ctx, "/v1/plans/"+each.plan.Plan.ID+"/confirm", nil)
			if each.err == nil {
				each.err = json.Unmarshal(body, &each.plan)
			}
		})
	}
	confirming.Wait()
	s.platform.SetFaults(rattanstandin.Faults{})
	return operators
}

// document returns the configuration that the platform holds.
func (s *cluster) document(ctx context.Context) rattanconfig.Document {
	client := rattanplatform.New(rattanplatform.Options{Address: s.platform.Address()})
	defer client.Close()
	entry, err := client.Get(ctx, rattanconfig.PlatformKey)
	s.c.Assert(err, qt.IsNil)
	document, err := rattanconfig.Parse(entry.Value)
	s.c.Assert(err, qt.IsNil)
	return document
}

// Guards I8 against operators who race through different instances: one plan
// wins, the other operator gets a conflict that shows the difference, and the
// winner's change is in force at all instances within 2 s, also when the
// answers to the writes are lost after their effect.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	round := 0
	for _, test := range []struct {
		name   string
		faults rattanstandin.Faults
	}{
		{"sound", rattanstandin.Faults{}},
		{"answers lost", rattanstandin.Faults{LostAnswers: 1}},
		{"answers lost and slow", rattanstandin.Faults{LostAnswers: 0.5, Latency: rattanjson.Duration(20 * time.Millisecond)}},
	} {
		for range 5 {
			round++
			before := cluster.document(ctx).Revision
			operators := cluster.confirmTogether(ctx, round, test.faults, cluster.entries[round%3], cluster.entries[(round+1)%3])
			after := cluster.document(ctx)
			c.Assert(after.Revision, qt.Equals, before+1, qt.Commentf("%s", test.name))
			winners := 0
			for _, each := range operators {
				if each.err == nil {
					winners++
					c.Check(each.plan.Plan.ConfirmedRevision, qt.Equals, after.Revision, qt.Commentf("%s", test.name))
					c.Check(after.RequestID, qt.Equals, each.plan.Plan.ID, qt.Commentf("%s", test.name))
					continue
				}
				c.Check(errors.Is(each.err, rattanclient.ErrStatus), qt.IsTrue, qt.Commentf("%s: %v", test.name, each.err))
				text := each.err.Error()
				conflict := strings.Contains(text, "Refused, Conflict") && strings.Contains(text, fmt.Sprintf("the present revision is %d", after.Revision)) && strings.Contains(text, "Weight")
				c.Check(conflict, qt.IsTrue, qt.Commentf("%s: %s", test.name, text))
			}
			c.Check(winners, qt.Equals, 1, qt.Commentf("%s: %v, %v", test.name, operators[0].err, operators[1].err))
			cluster.waitRevision(after.Revision)
		}
	}
}

// waitRevision waits until the revision is in force at all instances.
func (s *cluster) waitRevision(revision uint64) {
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		behind := 0
		for _, entry := range s.entries {
			if health, _ := s.health(entry); health.Revision < revision {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Since(began) > inForceBound {
			s.c.Fatalf("revision %d is not in force at %d instances after %v", revision, behind, inForceBound)
		}
	}
}

// Guards against waves of cancellations: each of 2,000 at once, through all
// instances, gets a final answer that is true about what had started, and no
// submission that arrives later starts. It runs alone, because its requests
// would delay tests that measure times.
func TestWaveOfCancellations(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const jobs = 2000
	keys := append(cluster.keys(jobs/2), cluster.keys(jobs/2)...)
	sent := make([]rattanjob.Submission, jobs)
	for i, key := range keys {
		sent[i] = cluster.submission(key, 1+i%3, 100*time.Millisecond)
	}
	var requests sync.WaitGroup
	submit := func(i int) {
		requests.Go(func() { _, _ = cluster.submit(ctx, cluster.entries[i%3], sent[i], 20*time.Second) })
	}
	// Half of the jobs are submitted before the wave, so that some run, some
	// wait and some are not known when they are cancelled.
	for i := 0; i < jobs; i += 2 {
		submit(i)
	}
	time.Sleep(150 * time.Millisecond)
	answers := make([]rattanjob.Answer, jobs)
	var final atomic.Int64
	began := time.Now()
	for i, key := range keys {
		requests.Go(func() {
			entry := cluster.entries[(i+1)%3]
			asked := time.Now()
			answer, err := cluster.client(entry).Cancel(ctx, key)
			c.Check(err, qt.IsNil)
			cluster.history.Requested(rattancheck.Request{
				Operation: rattancheck.OperationCancel, Key: key, Instance: entry.name,
				SentAt: asked, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
			})
			answers[i] = answer
			if answer.State.Final() {
				final.Add(1)
			}
		})
	}
	requests.Wait()
	took := time.Since(began)
	for i := 1; i < jobs; i += 2 {
		submit(i)
	}
	requests.Wait()
	c.Check(final.Load(), qt.Equals, int64(jobs))
	starts := map[string]int{}
	for text, count := range cluster.fleet.Log().Counts() {
		id, err := rattanjob.ParseTaskID(text)
		c.Assert(err, qt.IsNil)
		starts[id.Submission] += count
	}
	outcomes := map[string]int{}
	for i, answer := range answers {
		outcomes[fmt.Sprintf("%v/%v", answer.State, answer.Execution)]++
		if answer.State == rattanjob.StateCancelled {
			started := starts[keys[i].ID()]
			c.Check(started <= answer.Started, qt.IsTrue, qt.Commentf("%d tasks started: %+v", started, answer))
		}
	}
	c.Logf("%d cancellations answered after %v: %v", jobs, took, outcomes)
	cluster.checkHistory()
}
