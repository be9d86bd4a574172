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

// maxPropagationTime is the time within which a configuration change must be in
// force at all instances at the current size of the system.
const maxPropagationTime = 2 * time.Second

// operator holds the client of an operator that is connected to one instance, the
// plan that the operator made and the error of its confirmation.
type operator struct {
	client *rattanclient.Client
	plan   rattanentry.PlanReply
	err    error
}

// confirmConcurrently makes a plan through each of the instances, all for the
// same revision, and then confirms the plans concurrently while the platform
// has the given faults.
func (cl *cluster) confirmConcurrently(ctx context.Context, round int, faults rattanstandin.Faults, entries ...*process) []*operator {
	var operators []*operator
	for index, entry := range entries {
		operator := &operator{client: rattanclient.New(rattanclient.Config{Addresses: []string{entry.address}, Operator: "operator", Transport: cl.transport})}
		intent := fmt.Sprintf(`{"Kind":"SetShare","Name":"app","Share":{"Weight":%d}}`, 10*round+index+1)
		body, err := operator.client.Post(ctx, "/v1/plans", []byte(intent))
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(json.Unmarshal(body, &operator.plan), qt.IsNil)
		operators = append(operators, operator)
	}
	cl.platform.SetFaults(faults)
	var confirming sync.WaitGroup
	for _, operator := range operators {
		confirming.Go(func() {
			var body []byte
			body, operator.err = operator.client.Post(ctx, "/v1/plans/"+operator.plan.Plan.ID+"/confirm", nil)
			if operator.err == nil {
				operator.err = json.Unmarshal(body, &operator.plan)
			}
		})
	}
	confirming.Wait()
	cl.platform.SetFaults(rattanstandin.Faults{})
	return operators
}

// document returns the configuration document that the platform has stored.
func (cl *cluster) document(ctx context.Context) rattanconfig.Document {
	client := rattanplatform.New(rattanplatform.Options{Address: cl.platform.Address()})
	defer client.Close()
	entry, err := client.Get(ctx, rattanconfig.PlatformKey)
	cl.c.Assert(err, qt.IsNil)
	document, err := rattanconfig.Parse(entry.Value)
	cl.c.Assert(err, qt.IsNil)
	return document
}

// TestOperatorsConfirmConcurrently guards against lost updates when operators
// confirm conflicting plans through different instances. Exactly one plan must be
// accepted, the other operator must get a conflict that shows the difference, and
// the accepted change must be in force at all instances within 2 s. This also
// applies if the platform's answers are lost after a write took effect.
func TestOperatorsConfirmConcurrently(t *testing.T) {
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
		{"no fault", rattanstandin.Faults{}},
		{"answers lost", rattanstandin.Faults{LostResponseRate: 1}},
		{"answers lost and slow", rattanstandin.Faults{LostResponseRate: 0.5, Latency: rattanjson.Duration(20 * time.Millisecond)}},
	} {
		for range 5 {
			round++
			before := cluster.document(ctx).Revision
			operators := cluster.confirmConcurrently(ctx, round, test.faults, cluster.entries[round%3], cluster.entries[(round+1)%3])
			after := cluster.document(ctx)
			c.Assert(after.Revision, qt.Equals, before+1, qt.Commentf("%s", test.name))
			winners := 0
			for _, operator := range operators {
				if operator.err == nil {
					winners++
					c.Check(operator.plan.Plan.ConfirmedRevision, qt.Equals, after.Revision, qt.Commentf("%s", test.name))
					c.Check(after.RequestID, qt.Equals, operator.plan.Plan.ID, qt.Commentf("%s", test.name))
					continue
				}
				c.Check(errors.Is(operator.err, rattanclient.ErrUnexpectedResponse), qt.IsTrue, qt.Commentf("%s: %v", test.name, operator.err))
				text := operator.err.Error()
				conflict := strings.Contains(text, "Refused, Conflict") && strings.Contains(text, fmt.Sprintf("the present revision is %d", after.Revision)) && strings.Contains(text, "Weight")
				c.Check(conflict, qt.IsTrue, qt.Commentf("%s: %s", test.name, text))
			}
			c.Check(winners, qt.Equals, 1, qt.Commentf("%s: %v, %v", test.name, operators[0].err, operators[1].err))
			cluster.waitRevision(after.Revision)
		}
	}
}

// waitRevision waits until the revision is in force at all instances.
func (cl *cluster) waitRevision(revision uint64) {
	for startedAt := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		outdated := 0
		for _, entry := range cl.entries {
			if health, _ := cl.health(entry); health.Revision < revision {
				outdated++
			}
		}
		if outdated == 0 {
			return
		}
		if time.Since(startedAt) > maxPropagationTime {
			cl.c.Fatalf("revision %d is not in force at %d instances after %v", revision, outdated, maxPropagationTime)
		}
	}
}

// TestWaveOfCancellations guards against cancellations that are lost or answered
// falsely under load. Each of 2,000 concurrent cancellations, spread over all
// instances, must get a final answer that does not understate how many tasks had
// started, and no submission that arrives later may start. The test is not
// parallel, because its requests would delay tests that measure times.
func TestWaveOfCancellations(t *testing.T) {
	c := qt.New(t)
	cluster := startCluster(c, 3, 0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const jobs = 2000
	keys := append(cluster.keys(jobs/2), cluster.keys(jobs/2)...)
	submissions := make([]rattanjob.Submission, jobs)
	for i, key := range keys {
		submissions[i] = cluster.newSubmission(key, 1+i%3, 100*time.Millisecond)
	}
	var requests sync.WaitGroup
	submit := func(i int) {
		requests.Go(func() { _, _ = cluster.submit(ctx, cluster.entries[i%3], submissions[i], 20*time.Second) })
	}
	// Half of the jobs are submitted before the cancellations, so that some are
	// running, some waiting and some unknown when they are cancelled.
	for i := 0; i < jobs; i += 2 {
		submit(i)
	}
	time.Sleep(150 * time.Millisecond)
	answers := make([]rattanjob.Answer, jobs)
	var finalAnswers atomic.Int64
	startedAt := time.Now()
	for i, key := range keys {
		requests.Go(func() {
			entry := cluster.entries[(i+1)%3]
			sentAt := time.Now()
			answer, err := cluster.client(entry).Cancel(ctx, key)
			c.Check(err, qt.IsNil)
			cluster.history.Requested(rattancheck.Request{
				Operation: rattancheck.OperationCancel, Key: key, Instance: entry.name,
				SentAt: sentAt, ReceivedAt: time.Now(), Answered: err == nil, Answer: answer,
			})
			answers[i] = answer
			if answer.State.Final() {
				finalAnswers.Add(1)
			}
		})
	}
	requests.Wait()
	elapsed := time.Since(startedAt)
	for i := 1; i < jobs; i += 2 {
		submit(i)
	}
	requests.Wait()
	c.Check(finalAnswers.Load(), qt.Equals, int64(jobs))
	starts := map[string]int{}
	for taskID, count := range cluster.fleet.Log().StartsPerTask() {
		id, err := rattanjob.ParseTaskID(taskID)
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
	c.Logf("%d cancellations answered after %v: %v", jobs, elapsed, outcomes)
	cluster.checkHistory()
}
