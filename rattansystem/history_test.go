package rattansystem_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rattanlever/rattanlever/rattancheck"
	"github.com/rattanlever/rattanlever/rattanclient"
	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattansettings"
	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattansystem"
)

const (
	// historiesVariable is the environment variable for the number of
	// histories. Their seeds are consecutive and start at the value of
	// seedVariable. 1,000 histories take about 10 minutes and need a longer
	// -timeout.
	historiesVariable = "RATTAN_HISTORIES"
	seedVariable      = "RATTAN_SEED"
	// shrinkVariable enables the search for a minimal failing plan with rapid.
	shrinkVariable = "RATTAN_SHRINK"

	defaultHistories = 12
	// parallelHistories is the maximum number of systems that run concurrently.
	parallelHistories = 4
	// resolveTimeout is far above the 3 s within which the jobs of a killed
	// instance are resolved, because partitions and outages last up to 0.9 s
	// and two faults may follow each other.
	resolveTimeout = 20 * time.Second
)

// violationLog collects the invariant violations that the instances under test
// report.
var violationLog struct {
	mutex sync.Mutex
	errs  []error
}

func TestMain(m *testing.M) {
	rattanentry.OnViolation(func(err error) {
		violationLog.mutex.Lock()
		defer violationLog.mutex.Unlock()
		violationLog.errs = append(violationLog.errs, err)
	})
	os.Exit(m.Run())
}

func reportedViolations() []error {
	violationLog.mutex.Lock()
	defer violationLog.mutex.Unlock()
	return append([]error(nil), violationLog.errs...)
}

func envInt(name string, defaultValue int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return defaultValue
	}
	return value
}

// TestHistories guards against violations of the invariants I1 to I5, I7 and I8 in
// randomised runs with injected faults: tasks that start twice, answers that are
// incomplete or belong to another request, false "not run" answers, requests of a
// key that are not linearizable, requests that a graceful shutdown interrupts, and
// lost or reverted configuration changes.
func TestHistories(t *testing.T) {
	count := envInt(historiesVariable, defaultHistories)
	if testing.Short() {
		count = min(count, parallelHistories)
	}
	first := envInt(seedVariable, 1)
	semaphore := make(chan struct{}, parallelHistories)
	var totals historyTotals
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+count; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				plan := historyPlans.Example(seed)
				failure := runHistory(plan, &totals)
				if failure != nil {
					t.Errorf("seed %d (%s=%d %s=1): %v\nplan: %v", seed, seedVariable, seed, historiesVariable, failure, plan)
				}
			})
		}
	})
	t.Logf("seeds %d to %d: %v", first, first+count-1, &totals)
}

// TestHistoriesShrink searches for a minimal failing plan. The flags of rapid set
// the seed and the number of checks.
func TestHistoriesShrink(t *testing.T) {
	if os.Getenv(shrinkVariable) == "" {
		t.Skipf("set %s to search for small failing plans", shrinkVariable)
	}
	var totals historyTotals
	rapid.Check(t, func(t *rapid.T) {
		plan := historyPlans.Draw(t, "plan")
		if err := runHistory(plan, &totals); err != nil {
			t.Fatalf("%v", err)
		}
	})
}

// historyTotals sums up the coverage of several histories.
type historyTotals struct {
	histories, submissions, requests, starts atomic.Int64
	mutex                                    sync.Mutex
	outcomes                                 map[string]int
}

func (h *historyTotals) String() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return fmt.Sprintf("%d histories, %d submissions, %d requests, %d task starts, answers %v",
		h.histories.Load(), h.submissions.Load(), h.requests.Load(), h.starts.Load(), h.outcomes)
}

func (h *historyTotals) countAnswer(answer rattanjob.Answer) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.outcomes == nil {
		h.outcomes = map[string]int{}
	}
	h.outcomes[fmt.Sprintf("%v/%v", answer.State, answer.Reason)]++
}

// historyRun is one execution of a plan.
type historyRun struct {
	plan            historyPlan
	system          *rattansystem.System
	history         *rattancheck.History
	totals          *historyTotals
	startTime       time.Time
	transport       *http.Transport
	injector        *injector
	revisionMonitor *revisionMonitor
	jobs            sync.WaitGroup
	keyFailures     atomic.Int64
	// interrupted counts requests that a graceful shutdown interrupted.
	interrupted atomic.Int64
}

// violationsError is the error of a run that violated invariants.
type violationsError []rattancheck.Violation

// Error describes the first violation.
func (v violationsError) Error() string {
	return fmt.Sprintf("%d violations, first %v %s: %s", len(v), v[0].Invariant, v[0].SubmissionID, v[0].Detail)
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 1024}
}

// historyOptions replaces parts of a run, to show that the checks detect faults.
// Zero values keep the default.
type historyOptions struct {
	newRunner           func() rattanentry.TaskRunner
	adjustSettings      func(settings *rattansettings.Settings)
	shutdown            func(system *rattansystem.System, entry *rattansystem.Entry) error
	changeConfiguration func(system *rattansystem.System) []uint64
}

func historyDocument() rattanconfig.Document {
	document := testDocument()
	list := document.JobKinds["list"]
	list.Deadline = rattanjson.Duration(3 * time.Second)
	document.JobKinds["list"] = list
	// No target provides the service of this kind, so its jobs can never run.
	document.Services["missing"] = rattanconfig.Service{Description: "without targets"}
	document.JobKinds["orphan"] = rattanconfig.JobKind{
		Service: "missing", MaxTasks: 250,
		RunTime:  rattanjson.Duration(20 * time.Millisecond),
		Deadline: rattanjson.Duration(time.Second),
	}
	document.JobKinds["rush"] = rattanconfig.JobKind{
		Service: "planner", MaxTasks: 250,
		RunTime:  rattanjson.Duration(20 * time.Millisecond),
		Deadline: rattanjson.Duration(3 * time.Second),
	}
	return document
}

// shortenTimings makes epochs expire and lost homes be detected within the duration
// of a run.
func shortenTimings(settings *rattansettings.Settings) {
	settings.Home.HeartbeatInterval = rattanjson.Duration(100 * time.Millisecond)
	settings.Home.TenureDuration = rattanjson.Duration(400 * time.Millisecond)
	settings.Home.VerdictMargin = rattanjson.Duration(100 * time.Millisecond)
}

func runHistory(plan historyPlan, totals *historyTotals) error {
	return runHistoryWith(plan, totals, historyOptions{})
}

// runHistoryWith runs a plan with options and returns an error if a check fails.
func runHistoryWith(plan historyPlan, totals *historyTotals, options historyOptions) error {
	zones := []string{"buda", "pest", "csepel"}[:plan.Zones]
	injector := &injector{zones: zones, faults: plan.Faults, errs: make(chan error, 16), shutdownEntry: options.shutdown, changeConfiguration: options.changeConfiguration}
	newRunner := options.newRunner
	if newRunner == nil {
		newRunner = newHookedRunners(injector.onDispatch)
	}
	adjustSettings := options.adjustSettings
	if adjustSettings == nil {
		adjustSettings = shortenTimings
	}
	system, err := rattansystem.Start(rattansystem.Config{
		Zones:          zones,
		EntriesPerZone: plan.Entries,
		Fleets:         []rattanstandin.TargetFleetOptions{{Count: plan.Targets, Service: "planner", Target: rattanstandin.TargetOptions{Slots: plan.Slots, Echo: true}}},
		Document:       historyDocument(),
		NewRunner:      newRunner,
		NewScheduler:   injector.newScheduler,
		AdjustSettings: adjustSettings,
	})
	if err != nil {
		return fmt.Errorf("start the system: %w", err)
	}
	defer system.Close()
	injector.system = system
	run := &historyRun{
		plan:            plan,
		system:          system,
		history:         rattancheck.NewHistory(),
		totals:          totals,
		startTime:       time.Now(),
		transport:       newTransport(),
		injector:        injector,
		revisionMonitor: &revisionMonitor{highest: map[string]uint64{}},
	}
	defer run.transport.CloseIdleConnections()
	done := make(chan struct{})
	var monitoring sync.WaitGroup
	monitoring.Go(func() { run.revisionMonitor.run(system, 10*time.Millisecond, done) })
	injector.start()
	run.runJobs()
	injector.running.Wait()
	err = run.check(injector.errs)
	close(done)
	monitoring.Wait()
	if err == nil && run.revisionMonitor.reversions > 0 {
		return errConfigurationReverted
	}
	return err
}

// Errors of a run that violated invariant I7 or I8.
var (
	errRequestsInterrupted   = errors.New("requests in progress interrupted by a graceful shutdown")
	errConfigurationReverted = errors.New("an instance reverted to an earlier configuration revision")
	errDuplicateRevision     = errors.New("two operators created the same revision")
	errNotPropagated         = errors.New("an accepted configuration is not in force on all instances")
)

// checkConfiguration checks invariant I8: no revision is created twice, and the
// highest revision is in force on all instances within the timeout. The limit
// maxPropagationTime only holds without faults, and here an instance may have been
// disconnected when the change was made.
func (r *historyRun) checkConfiguration(timeout time.Duration) error {
	recorded := r.injector.recordedRevisions()
	if len(recorded) == 0 {
		return nil
	}
	if len(slices.Compact(slices.Clone(recorded))) != len(recorded) {
		return errDuplicateRevision
	}
	for deadline := time.Now().Add(timeout); lowestRevision(r.system) < recorded[len(recorded)-1]; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errNotPropagated
		}
	}
	return nil
}

// runJobs runs all jobs of the plan and waits until they end.
func (r *historyRun) runJobs() {
	for _, job := range r.plan.Jobs {
		r.jobs.Go(func() { r.runJob(job) })
	}
	if r.plan.WaveJobs > 0 {
		r.jobs.Go(r.runCancellationWave)
	}
	r.jobs.Wait()
}

// check waits until no job is in progress and checks the history.
func (r *historyRun) check(errs chan error) error {
	deadline := time.Now().Add(resolveTimeout)
	for r.hasJobsInProgress() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	r.totals.histories.Add(1)
	r.totals.submissions.Add(int64(r.history.Len()))
	r.totals.starts.Add(int64(r.system.StartLog.Starts()))
	violations := r.history.Check(r.system.StartsPerTask())
	switch {
	case len(errs) > 0:
		return fmt.Errorf("fault could not be injected: %w", <-errs)
	case len(violations) > 0:
		return violationsError(violations)
	case r.hasJobsInProgress():
		return fmt.Errorf("jobs still in progress after %v", resolveTimeout)
	case len(reportedViolations()) > 0:
		return fmt.Errorf("violation reported by an instance: %w", reportedViolations()[0])
	case r.interrupted.Load() > 0:
		return fmt.Errorf("%w: %d", errRequestsInterrupted, r.interrupted.Load())
	}
	return r.checkConfiguration(resolveTimeout)
}

func (r *historyRun) hasJobsInProgress() bool {
	for _, entry := range r.system.Entries() {
		if !entry.Killed() && entry.Instance.Home.Jobs() > 0 {
			return true
		}
	}
	return false
}

// entryAddress returns the address of the instance with index entry modulo the
// number of instances.
func (r *historyRun) entryAddress(entry int) string {
	entries := r.system.Entries()
	return entries[entry%len(entries)].Instance.CallerAddress()
}

func (r *historyRun) entryClient(entry int) *rattanclient.Client {
	return r.clientFor(r.entryAddress(entry))
}

func (r *historyRun) clientFor(address string) *rattanclient.Client {
	return rattanclient.New(rattanclient.Config{Addresses: []string{address}, Caller: "app", Transport: r.transport})
}

// keys gets keys from the instance. If that fails, it tries the next instances in
// turn.
func (r *historyRun) keys(ctx context.Context, entry, count int) []rattanjob.Key {
	for ; ctx.Err() == nil; entry++ {
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		keys, err := r.entryClient(entry).Keys(requestCtx, count)
		cancel()
		if err == nil {
			return keys
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.keyFailures.Add(1)
	return nil
}

// runJob submits a job until its answer is final, sends the additional requests of
// the plan concurrently, and queries the status once more at the end.
func (r *historyRun) runJob(plan jobPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	time.Sleep(plan.At)
	keys := r.keys(ctx, plan.Entry, 1)
	if len(keys) == 0 {
		return
	}
	submission := plan.newSubmission(keys[0], "first")
	otherSubmission := plan.newSubmission(keys[0], "other")
	r.history.Submitted(submission)
	r.history.Submitted(otherSubmission)
	var requests sync.WaitGroup
	earliest := time.Duration(0)
	for _, request := range plan.Requests {
		earliest = min(earliest, request.Offset)
	}
	start := time.Now()
	for _, request := range plan.Requests {
		requests.Go(func() {
			time.Sleep(request.Offset - earliest)
			switch request.Kind {
			case requestResubmit:
				r.submit(ctx, request.Entry, submission)
			case requestOtherBody:
				r.submit(ctx, request.Entry, otherSubmission)
			case requestStatus:
				r.status(ctx, request.Entry, submission.Key)
			case requestCancel:
				r.cancel(ctx, request.Entry, submission.Key)
			}
		})
	}
	time.Sleep(time.Until(start.Add(-earliest)))
	for entry := plan.Entry; ctx.Err() == nil && !r.submit(ctx, entry, submission); entry++ {
		time.Sleep(50 * time.Millisecond)
	}
	requests.Wait()
	r.status(ctx, plan.Entry+1, submission.Key)
}

// runCancellationWave submits many jobs and cancels them concurrently.
func (r *historyRun) runCancellationWave() {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	time.Sleep(r.plan.WaveAt)
	keys := r.keys(ctx, 0, r.plan.WaveJobs)
	var requests sync.WaitGroup
	for i, key := range keys {
		plan := jobPlan{Kind: "list", Tasks: 1, RunTime: 50 * time.Millisecond}
		submission := plan.newSubmission(key, "wave")
		r.history.Submitted(submission)
		requests.Go(func() {
			for entry := i; ctx.Err() == nil && !r.submit(ctx, entry, submission); entry++ {
				time.Sleep(50 * time.Millisecond)
			}
		})
		requests.Go(func() {
			for entry := i; ctx.Err() == nil && !r.cancel(ctx, entry, key); entry++ {
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	requests.Wait()
}

func (p jobPlan) newSubmission(key rattanjob.Key, bodyName string) rattanjob.Submission {
	submission := newSubmission(key, p.Tasks, p.RunTime)
	submission.Kind = p.Kind
	submission.Deadline = rattanjson.Duration(p.Deadline)
	for i := range submission.Tasks {
		runTime := p.RunTime
		if p.HasStraggler && i == 0 {
			runTime = stragglerRunTime
		}
		payload := fmt.Sprintf(`{"RunTime":%q,"Token":"%s-%d-%s"}`, runTime, key.ID(), i, bodyName)
		submission.Tasks[i].Payload = []byte(payload)
		submission.Tasks[i].RunTime = rattanjson.Duration(p.DeclaredRunTime)
	}
	return submission
}

// submit sends the submission once and reports whether the answer is final.
func (r *historyRun) submit(ctx context.Context, entry int, submission rattanjob.Submission) bool {
	request := rattancheck.Request{Operation: rattancheck.OperationSubmit, Key: submission.Key, BodyDigest: submission.Digest()}
	return r.request(ctx, entry, request, func(ctx context.Context, client *rattanclient.Client) (rattanjob.Answer, error) {
		return client.Submit(ctx, submission, 2*time.Second)
	})
}

func (r *historyRun) status(ctx context.Context, entry int, key rattanjob.Key) bool {
	request := rattancheck.Request{Operation: rattancheck.OperationStatus, Key: key}
	return r.request(ctx, entry, request, func(ctx context.Context, client *rattanclient.Client) (rattanjob.Answer, error) {
		return client.Status(ctx, key, 50*time.Millisecond)
	})
}

func (r *historyRun) cancel(ctx context.Context, entry int, key rattanjob.Key) bool {
	request := rattancheck.Request{Operation: rattancheck.OperationCancel, Key: key}
	return r.request(ctx, entry, request, func(ctx context.Context, client *rattanclient.Client) (rattanjob.Answer, error) {
		return client.Cancel(ctx, key)
	})
}

// request sends one request, records it, and reports whether the answer is final.
func (r *historyRun) request(ctx context.Context, entry int, request rattancheck.Request, send func(context.Context, *rattanclient.Client) (rattanjob.Answer, error)) bool {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	request.Instance = fmt.Sprintf("entry %d", entry%len(r.system.Entries()))
	address := r.entryAddress(entry)
	request.SentAt = time.Now()
	answer, err := send(ctx, r.clientFor(address))
	request.ReceivedAt = time.Now()
	if err != nil && ctx.Err() == nil && r.injector != nil && r.injector.interruptedByShutdown(address, request.SentAt) {
		r.interrupted.Add(1)
	}
	request.Answered = err == nil
	request.Answer = answer
	r.history.Requested(request)
	r.totals.requests.Add(1)
	if err != nil {
		return false
	}
	r.totals.countAnswer(answer)
	return answer.State.Final()
}

// TestPlansAreReproducible guards against seeds that do not determine the plan, so
// that failing histories cannot be repeated.
func TestPlansAreReproducible(t *testing.T) {
	c := qt.New(t)
	for seed := range 20 {
		c.Assert(historyPlans.Example(seed), qt.DeepEquals, historyPlans.Example(seed))
	}
}
