package node

import (
	"errors"
	"io"
	"net"
	"syscall"
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

// TestPublicSocketsAreBounded: beyond the share of the public side connections
// are closed at once, so that the others find their sockets; before that the
// listener says that it is crowded.
func TestPublicSocketsAreBounded(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := limit(inner, 4)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var open []net.Conn
	for i := range 4 {
		if l.crowded() != (i >= 3) {
			t.Errorf("crowded with %d of 4 taken: %v", i, l.crowded())
		}
		dial()
		open = append(open, <-accepted)
	}
	if _, err := dial().Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a fifth connection is kept: %v", err)
	}
	open[0].Close()
	open[0].Close() // frees one slot, however often
	if len(l.slots) != 3 {
		t.Errorf("%d slots are taken, want 3", len(l.slots))
	}
}
