package rattanstandin

// ByID returns all starts by task ID.
func (l *StartLog) ByID() map[string][]Start {
	all := map[string][]Start{}
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for id, first := range shard.first {
			all[id] = append([]Start{first}, shard.again[id]...)
		}
		shard.mu.Unlock()
	}
	return all
}
