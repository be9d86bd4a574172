package rattanbench

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanledger"
	"github.com/rattanlever/rattanlever/rattanmember"
	"github.com/rattanlever/rattanlever/rattanpool"
)

// ledgerResultPayload is the payload of a task result in the ledger probes.
var ledgerResultPayload = json.RawMessage(`{"Items":[1,2,3]}`)

// Probes returns the probes of the components whose state grows with the size of
// the system.
func Probes() []Probe {
	return []Probe{
		{
			Name: "scheduler, per target", Sizes: []int{17, 128, 1024, 8700}, Build: buildScheduler,
			StepName: "admit, place and finish one task", Step: stepScheduler,
		},
		{Name: "scheduler, per waiting job of 1 task", Sizes: []int{1000, 10_000}, Build: func(size int) any { return buildBacklog(size, 1) }},
		{Name: "scheduler, per waiting job of 250 tasks", Sizes: []int{100, 1000}, Build: func(size int) any { return buildBacklog(size, rattanjob.MaxTasks) }},
		{Name: "ledger, per running record", Sizes: []int{1000, 50_000}, Build: func(size int) any { return buildLedger(size, 0, false) }},
		{Name: "ledger, per answered record without results", Sizes: []int{1000, 50_000}, Build: func(size int) any { return buildLedger(size, 0, true) }},
		{Name: "ledger, per answered record with 30 results", Sizes: []int{1000, 20_000}, Build: func(size int) any { return buildLedger(size, 30, true) }},
		{
			Name: "members, per member", Sizes: []int{9, 100, 1000}, Build: buildMembership,
			StepName: "make due heartbeats", Step: stepMembership,
		},
	}
}

// schedulerProbe is a scheduler with most slots in use.
type schedulerProbe struct {
	scheduler *rattanpool.Scheduler
	now       time.Time
	lastID    rattanpool.JobID
	// running is a ring buffer in order of starts; oldest is the index of its first
	// element.
	running []rattanpool.Assignment
	oldest  int
}

func buildScheduler(size int) any {
	probe := &schedulerProbe{scheduler: rattanpool.New(rattanpool.Config{}), now: virtualStart}
	probe.scheduler.SetTargets(probe.now, schedulerTargets(Fleet{Targets: size, SlotsPerTarget: 8}))
	probe.scheduler.SetCallers(probe.now, []rattanpool.Caller{{Name: "App", Weight: 1}})
	const busySlotsPerTarget = 6
	for range size * busySlotsPerTarget {
		probe.running = append(probe.running, probe.startTask())
	}
	return probe
}

func (p *schedulerProbe) startTask() rattanpool.Assignment {
	p.lastID++
	p.scheduler.Admit(p.now, rattanpool.Job{
		ID: p.lastID, Caller: "App", Kind: "List", Service: benchService, Tasks: 1,
		RunTime: time.Second, Deadline: p.now.Add(time.Minute), Idempotent: true,
	})
	assignment, _ := p.scheduler.Next(p.now)
	return assignment
}

// stepScheduler finishes the oldest task and starts another one.
func stepScheduler(component any, _ int) {
	probe := component.(*schedulerProbe)
	probe.now = probe.now.Add(10 * time.Microsecond)
	oldest := probe.running[probe.oldest]
	probe.scheduler.Finish(probe.now, oldest, rattanpool.Report{Outcome: rattanpool.OutcomeDone, RunTime: time.Second})
	probe.running[probe.oldest] = probe.startTask()
	probe.oldest = (probe.oldest + 1) % len(probe.running)
}

func buildBacklog(jobs, tasks int) any {
	scheduler := rattanpool.New(rattanpool.Config{})
	scheduler.SetTargets(virtualStart, schedulerTargets(Fleet{Targets: 17, SlotsPerTarget: 8}))
	scheduler.SetCallers(virtualStart, []rattanpool.Caller{{Name: "App", Weight: 1}})
	for id := range jobs {
		scheduler.Admit(virtualStart, rattanpool.Job{
			ID: rattanpool.JobID(id + 1), Caller: "App", Kind: "List", Service: benchService, Tasks: tasks,
			RunTime: time.Microsecond, Deadline: virtualStart.Add(time.Hour), Idempotent: true,
		})
	}
	return scheduler
}

func probeKey(number int) rattanjob.Key {
	key := rattanjob.Key{
		Epoch:      rattanjob.EpochID{Home: rattanjob.Incarnation{Instance: "buda-entry-1", Number: 1}, Number: 1},
		CallerHash: rattanjob.HashCaller("App"),
	}
	binary.BigEndian.PutUint64(key.Nonce[:], uint64(number))
	return key
}

func buildLedger(records, results int, answered bool) any {
	ledger := rattanledger.New(rattanledger.Config{
		KeyLifetime: time.Minute, Retention: 10 * time.Minute, AnswerRetention: time.Minute,
		MaxRecords: 1 << 20, MaxAnswerBytes: 1 << 30,
	})
	ledger.OpenEpoch(virtualStart, probeKey(0).Epoch, virtualStart)
	for number := range records {
		key := probeKey(number)
		ledger.Begin(virtualStart, key, "App", uint64(number))
		if !answered {
			continue
		}
		answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
		for range results {
			payload := append(json.RawMessage(nil), ledgerResultPayload...)
			answer.Results = append(answer.Results, rattanjob.Result{Payload: payload})
		}
		_ = ledger.Finish(virtualStart, key, answer)
	}
	return ledger
}

// membershipProbe is a membership table and its current time.
type membershipProbe struct {
	table *rattanmember.Table
	now   time.Time
}

func probeMember(number int) rattanmember.Member {
	return rattanmember.Member{
		Incarnation:      rattanjob.Incarnation{Instance: fmt.Sprintf("entry-%d", number), Number: uint64(number) + 1},
		AvailabilityZone: fmt.Sprintf("zone-%d", number%5),
		PeerAddress:      fmt.Sprintf("10.0.%d.%d:7000", number/250, number%250+1),
		Status:           rattanmember.StatusAlive,
		Version:          1,
	}
}

func buildMembership(size int) any {
	self := probeMember(0)
	table := rattanmember.New(virtualStart, rattanmember.Config{
		Self: self, Pools: 1, Random: rand.New(rand.NewPCG(1, 1)),
		HeartbeatInterval: 500 * time.Millisecond, TenureDuration: 1200 * time.Millisecond, VerdictMargin: 300 * time.Millisecond,
	})
	for number := 1; number < size; number++ {
		table.HandleHeartbeat(virtualStart, rattanmember.Heartbeat{From: probeMember(number), To: self.Incarnation})
	}
	return &membershipProbe{table: table, now: virtualStart}
}

func stepMembership(component any, iteration int) {
	probe := component.(*membershipProbe)
	const interval = 50 * time.Millisecond
	probe.table.Heartbeats(probe.now.Add(time.Duration(iteration) * interval))
}
