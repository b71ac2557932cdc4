package web

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestLimitedListenerClosesExcessConnections: beyond the share of the public side connections
// are closed at once, so that the others find their sockets; before that the
// listener says that it is crowded.
func TestLimitedListenerClosesExcessConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := LimitListener(inner, 4)
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
		if l.IsNearLimit() != (i >= 3) {
			t.Errorf("crowded with %d of 4 taken: %v", i, l.IsNearLimit())
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
