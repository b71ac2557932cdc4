package sim

import "time"

// event is a function that runs at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64 // events of the same time run in the order in which they were queued
	run func()
}

// eventQueue is a heap of events, the next one first. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}

func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
