package rattanstandin

// Counts returns the number of starts by task ID.
func (l *StartLog) Counts() map[string]int {
	counts := map[string]int{}
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for id := range shard.first {
			counts[id] = 1 + len(shard.again[id])
		}
		shard.mu.Unlock()
	}
	return counts
}
