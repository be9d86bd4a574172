package rattanstandin

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// startLogShards reduces contention between targets that share a log.
const startLogShards = 64

// maxDoubleIDs bounds the IDs that Doubles returns.
const maxDoubleIDs = 1000

// Start is one start of a task.
type Start struct {
	Target string
	// Incarnation counts the processes of the target from 1.
	Incarnation int
	At          time.Time
}

// StartLog records every start of every task, by task ID. It outlives the
// targets' processes and grows with the number of tasks until Reset.
type StartLog struct {
	starts  atomic.Uint64
	doubles atomic.Uint64
	seed    maphash.Seed
	base    time.Time
	shards  [startLogShards]startShard

	mu        sync.Mutex
	doubleIDs []string
	targets   []string
}

type startShard struct {
	mu    sync.Mutex
	first map[string]compactStart
	// again has the further starts of tasks that were started twice.
	again map[string][]compactStart
}

// compactStart is a Start without pointers, as a log may hold millions.
type compactStart struct {
	// at is the time since the base of the log.
	at          time.Duration
	target      targetID
	incarnation int32
}

// targetID is the index of a target's name in the log.
type targetID int32

// NewStartLog returns an empty log.
func NewStartLog() *StartLog {
	log := &StartLog{seed: maphash.MakeSeed(), base: time.Now()}
	log.Reset()
	return log
}

// DoubleStarts returns the number of starts of tasks that had been started
// before, at any target.
func (l *StartLog) DoubleStarts() uint64 { return l.doubles.Load() }

// Doubles returns the IDs of tasks that were started more than once, at most
// the first 1,000.
func (l *StartLog) Doubles() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.doubleIDs)
}

// Reset empties the log.
func (l *StartLog) Reset() {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		shard.first = map[string]compactStart{}
		shard.again = map[string][]compactStart{}
		shard.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubleIDs = nil
	l.starts.Store(0)
	l.doubles.Store(0)
}

// Starts returns the number of starts.
func (l *StartLog) Starts() uint64 { return l.starts.Load() }

// Times returns the starts of a task in order.
func (l *StartLog) Times(id string) []Start {
	l.mu.Lock()
	targets := l.targets
	l.mu.Unlock()
	var starts []Start
	for _, compact := range l.times(id) {
		starts = append(starts, Start{
			Target:      targets[compact.target],
			Incarnation: int(compact.incarnation),
			At:          l.base.Add(compact.at),
		})
	}
	return starts
}

func (l *StartLog) times(id string) []compactStart {
	shard := l.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	first, ok := shard.first[id]
	if !ok {
		return nil
	}
	return append([]compactStart{first}, shard.again[id]...)
}

// addTarget returns the ID of a target that is new to the log.
func (l *StartLog) addTarget(name string) targetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = append(l.targets, name)
	return targetID(len(l.targets) - 1)
}

// record adds a start.
func (l *StartLog) record(now time.Time, id string, target targetID, incarnation int) {
	start := compactStart{at: now.Sub(l.base), target: target, incarnation: int32(incarnation)}
	l.starts.Add(1)
	shard := l.shard(id)
	shard.mu.Lock()
	_, double := shard.first[id]
	if double {
		shard.again[id] = append(shard.again[id], start)
	} else {
		shard.first[id] = start
	}
	shard.mu.Unlock()
	if double {
		l.recordDouble(id)
	}
}

func (l *StartLog) recordDouble(id string) {
	l.doubles.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.doubleIDs) < maxDoubleIDs && !slices.Contains(l.doubleIDs, id) {
		l.doubleIDs = append(l.doubleIDs, id)
	}
}

// startedBy reports whether one process of a target has started the task.
func (l *StartLog) startedBy(id string, target targetID, incarnation int) bool {
	return slices.ContainsFunc(l.times(id), func(start compactStart) bool {
		return start.target == target && start.incarnation == int32(incarnation)
	})
}

func (l *StartLog) shard(id string) *startShard {
	return &l.shards[maphash.String(l.seed, id)%startLogShards]
}
