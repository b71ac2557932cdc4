package sim

import "time"

// The queue of what happens, by time.

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}

func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
