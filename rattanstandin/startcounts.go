package rattanstandin

// StartsPerTask returns the number of starts of each task, by task ID.
func (l *StartLog) StartsPerTask() map[string]int {
	counts := map[string]int{}
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for id := range shard.firstStarts {
			counts[id] = 1 + len(shard.repeatedStarts[id])
		}
		shard.mu.Unlock()
	}
	return counts
}
