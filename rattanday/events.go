package rattanday

import "time"

// event is something that happens at a time of the day.
type event interface {
	time() time.Duration
}

// eventQueue is a heap of events, the earliest first. It implements
// heap.Interface.
type eventQueue[T event] []T

func (q eventQueue[T]) Len() int           { return len(q) }
func (q eventQueue[T]) Less(i, j int) bool { return q[i].time() < q[j].time() }
func (q eventQueue[T]) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends an event; use heap.Push.
func (q *eventQueue[T]) Push(x any) { *q = append(*q, x.(T)) }

// Pop removes the last event; use heap.Pop.
func (q *eventQueue[T]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
