package node

import (
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// TestAbandonedQuestions: what waited in the queue for longer than its asker
// is dropped unprocessed; answers from outside never are.
func TestAbandonedQuestions(t *testing.T) {
	n := &Node{asks: map[uint64]chan core.Reply{}, events: make(chan core.Event, 4)}
	if _, ok := n.Ask(func(req uint64) core.Event { return core.Beat{Req: req} }, time.Nanosecond); ok {
		t.Fatal("nobody works, and there was an answer")
	}
	if ev := <-n.events; !n.abandoned(ev) {
		t.Error("a report is worked on though its sender has been refused")
	}
	done := make(chan bool)
	go func() {
		_, ok := n.Ask(func(req uint64) core.Event { return core.Poll{Req: req} }, time.Hour)
		done <- ok
	}()
	ev := <-n.events
	if n.abandoned(ev) {
		t.Error("a question that somebody waits for is dropped")
	}
	n.mu.Lock()
	ch := n.asks[ev.(core.Poll).Req]
	n.mu.Unlock()
	ch <- core.Reply{}
	if !<-done {
		t.Error("the answer did not arrive")
	}
	if n.abandoned(core.StoreDone{Call: 9}) {
		t.Error("an answer of the state service is dropped")
	}
}
