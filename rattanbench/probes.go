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

// probeResult is the result of a task in the ledger probe, a short JSON value.
var probeResult = json.RawMessage(`{"Items":[1,2,3]}`)

// Probes returns the probes of the parts whose state grows with the system.
func Probes() []Probe {
	return []Probe{
		{
			Name: "scheduler, per target", Sizes: []int{17, 128, 1024, 8700}, Build: buildPool,
			StepName: "admit, place and finish one task", Step: stepPool,
		},
		{Name: "scheduler, per waiting job of 1 task", Sizes: []int{1000, 10_000}, Build: func(size int) any { return buildBacklog(size, 1) }},
		{Name: "scheduler, per waiting job of 250 tasks", Sizes: []int{100, 1000}, Build: func(size int) any { return buildBacklog(size, rattanjob.MaxTasks) }},
		{Name: "ledger, per running record", Sizes: []int{1000, 50_000}, Build: func(size int) any { return buildLedger(size, 0, false) }},
		{Name: "ledger, per answered record without results", Sizes: []int{1000, 50_000}, Build: func(size int) any { return buildLedger(size, 0, true) }},
		{Name: "ledger, per answered record with 30 results", Sizes: []int{1000, 20_000}, Build: func(size int) any { return buildLedger(size, 30, true) }},
		{
			Name: "members, per member", Sizes: []int{9, 100, 1000}, Build: buildMembers,
			StepName: "make due heartbeats", Step: stepMembers,
		},
	}
}

// probePool is a scheduler whose slots are mostly in use.
type probePool struct {
	scheduler *rattanpool.Scheduler
	now       time.Time
	next      rattanpool.JobID
	// running is a ring in the order of starts; oldest is its first element.
	running []rattanpool.Assignment
	oldest  int
}

func buildPool(size int) any {
	pool := &probePool{scheduler: rattanpool.New(rattanpool.Config{}), now: virtualEpoch}
	pool.scheduler.SetTargets(pool.now, poolTargets(Fleet{Targets: size, SlotsPerTarget: 8}))
	pool.scheduler.SetCallers(pool.now, []rattanpool.Caller{{Name: "App", Weight: 1}})
	const filled = 6
	for range size * filled {
		pool.running = append(pool.running, pool.start())
	}
	return pool
}

func (p *probePool) start() rattanpool.Assignment {
	p.next++
	p.scheduler.Admit(p.now, rattanpool.Job{
		ID: p.next, Caller: "App", Kind: "List", Service: virtualService, Tasks: 1,
		RunTime: time.Second, Deadline: p.now.Add(time.Minute), Idempotent: true,
	})
	assignment, _ := p.scheduler.Next(p.now)
	return assignment
}

// stepPool finishes the oldest task and starts another one.
func stepPool(part any, _ int) {
	pool := part.(*probePool)
	pool.now = pool.now.Add(10 * time.Microsecond)
	ended := pool.running[pool.oldest]
	pool.scheduler.Finish(pool.now, ended, rattanpool.Report{Outcome: rattanpool.OutcomeDone, RunTime: time.Second})
	pool.running[pool.oldest] = pool.start()
	pool.oldest = (pool.oldest + 1) % len(pool.running)
}

func buildBacklog(jobs, tasks int) any {
	scheduler := rattanpool.New(rattanpool.Config{})
	scheduler.SetTargets(virtualEpoch, poolTargets(Fleet{Targets: 17, SlotsPerTarget: 8}))
	scheduler.SetCallers(virtualEpoch, []rattanpool.Caller{{Name: "App", Weight: 1}})
	for id := range jobs {
		scheduler.Admit(virtualEpoch, rattanpool.Job{
			ID: rattanpool.JobID(id + 1), Caller: "App", Kind: "List", Service: virtualService, Tasks: tasks,
			RunTime: time.Microsecond, Deadline: virtualEpoch.Add(time.Hour), Idempotent: true,
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
	ledger.OpenEpoch(virtualEpoch, probeKey(0).Epoch, virtualEpoch)
	for number := range records {
		key := probeKey(number)
		ledger.Begin(virtualEpoch, key, "App", uint64(number))
		if !answered {
			continue
		}
		answer := rattanjob.Answer{State: rattanjob.StateComplete, Execution: rattanjob.ExecutionRan}
		for range results {
			payload := append(json.RawMessage(nil), probeResult...)
			answer.Results = append(answer.Results, rattanjob.Result{Payload: payload})
		}
		_ = ledger.Finish(virtualEpoch, key, answer)
	}
	return ledger
}

// probeMembers is a table with its clock.
type probeMembers struct {
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

func buildMembers(size int) any {
	self := probeMember(0)
	table := rattanmember.New(virtualEpoch, rattanmember.Config{
		Self: self, Pools: 1, Random: rand.New(rand.NewPCG(1, 1)),
		HeartbeatInterval: 500 * time.Millisecond, TenureDuration: 1200 * time.Millisecond, VerdictMargin: 300 * time.Millisecond,
	})
	for number := 1; number < size; number++ {
		table.HandleHeartbeat(virtualEpoch, rattanmember.Heartbeat{From: probeMember(number), To: self.Incarnation})
	}
	return &probeMembers{table: table, now: virtualEpoch}
}

func stepMembers(part any, number int) {
	members := part.(*probeMembers)
	const interval = 50 * time.Millisecond
	members.table.Heartbeats(members.now.Add(time.Duration(number) * interval))
}
