package rattanstandin

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// startLogShards is the number of shards, which reduce lock contention between
// targets that share a log.
const startLogShards = 64

// maxDoubleStartIDs is the maximum number of task IDs that are kept for double
// starts.
const maxDoubleStartIDs = 1000

// Start is one start of a task.
type Start struct {
	Target string
	// Incarnation is the number of the target's process, counted from 1.
	Incarnation int
	At          time.Time
}

// StartLog records all task starts by task ID. It is kept when targets are killed
// and grows with the number of tasks until Reset.
type StartLog struct {
	starts       atomic.Uint64
	doubleStarts atomic.Uint64
	hashSeed     maphash.Seed
	baseTime     time.Time
	shards       [startLogShards]startShard

	mu             sync.Mutex
	doubleStartIDs []string
	targetNames    []string
}

type startShard struct {
	mu          sync.Mutex
	firstStarts map[string]compactStart
	// repeatedStarts holds the starts of a task after its first one.
	repeatedStarts map[string][]compactStart
}

// compactStart is a Start without pointers, because a log may hold millions of
// starts.
type compactStart struct {
	// sinceBase is the time since baseTime.
	sinceBase   time.Duration
	target      targetIndex
	incarnation int32
}

// targetIndex is the index of a target in StartLog.targetNames.
type targetIndex int32

// NewStartLog returns an empty log.
func NewStartLog() *StartLog {
	log := &StartLog{hashSeed: maphash.MakeSeed(), baseTime: time.Now()}
	log.Reset()
	return log
}

// DoubleStarts returns the number of starts of tasks that had already been
// started at any target.
func (l *StartLog) DoubleStarts() uint64 { return l.doubleStarts.Load() }

// DoubleStartIDs returns the IDs of tasks that were started more than once, at
// most the first 1,000.
func (l *StartLog) DoubleStartIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.doubleStartIDs)
}

// Reset removes all starts from the log.
func (l *StartLog) Reset() {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		shard.firstStarts = map[string]compactStart{}
		shard.repeatedStarts = map[string][]compactStart{}
		shard.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubleStartIDs = nil
	l.starts.Store(0)
	l.doubleStarts.Store(0)
}

// Starts returns the total number of starts.
func (l *StartLog) Starts() uint64 { return l.starts.Load() }

// TaskStarts returns the starts of a task in the order of their recording.
func (l *StartLog) TaskStarts(id string) []Start {
	l.mu.Lock()
	targetNames := l.targetNames
	l.mu.Unlock()
	var starts []Start
	for _, start := range l.compactStarts(id) {
		starts = append(starts, Start{
			Target:      targetNames[start.target],
			Incarnation: int(start.incarnation),
			At:          l.baseTime.Add(start.sinceBase),
		})
	}
	return starts
}

func (l *StartLog) compactStarts(id string) []compactStart {
	shard := l.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	first, ok := shard.firstStarts[id]
	if !ok {
		return nil
	}
	return append([]compactStart{first}, shard.repeatedStarts[id]...)
}

// addTarget adds a target and returns its index.
func (l *StartLog) addTarget(name string) targetIndex {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targetNames = append(l.targetNames, name)
	return targetIndex(len(l.targetNames) - 1)
}

// record adds a start.
func (l *StartLog) record(now time.Time, id string, index targetIndex, incarnation int) {
	start := compactStart{sinceBase: now.Sub(l.baseTime), target: index, incarnation: int32(incarnation)}
	l.starts.Add(1)
	shard := l.shard(id)
	shard.mu.Lock()
	_, double := shard.firstStarts[id]
	if double {
		shard.repeatedStarts[id] = append(shard.repeatedStarts[id], start)
	} else {
		shard.firstStarts[id] = start
	}
	shard.mu.Unlock()
	if double {
		l.recordDoubleStart(id)
	}
}

func (l *StartLog) recordDoubleStart(id string) {
	l.doubleStarts.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.doubleStartIDs) < maxDoubleStartIDs && !slices.Contains(l.doubleStartIDs, id) {
		l.doubleStartIDs = append(l.doubleStartIDs, id)
	}
}

// startedByProcess reports whether the given incarnation of a target has started
// the task.
func (l *StartLog) startedByProcess(id string, index targetIndex, incarnation int) bool {
	return slices.ContainsFunc(l.compactStarts(id), func(start compactStart) bool {
		return start.target == index && start.incarnation == int32(incarnation)
	})
}

func (l *StartLog) shard(id string) *startShard {
	return &l.shards[maphash.String(l.hashSeed, id)%startLogShards]
}
