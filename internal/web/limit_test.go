package web

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// TestLimitedListenerClosesExcessConnections checks that connections beyond the limit are
// closed at once, so that file descriptors are left for the rest of the process, and that
// IsNearLimit reports it when three quarters of the limit are open.
func TestLimitedListenerClosesExcessConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := LimitListener(inner, 4)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := listener.Accept()
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
		if listener.IsNearLimit() != (i >= 3) {
			t.Errorf("%d of 4 connections open: got IsNearLimit %v, want true from 3 on", i, listener.IsNearLimit())
		}
		dial()
		open = append(open, <-accepted)
	}
	if _, err := dial().Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from a fifth connection: got error %v, want EOF or connection reset", err)
	}
	open[0].Close()
	open[0].Close() // must not free a second slot
	if len(listener.slots) != 3 {
		t.Errorf("after closing a connection twice: got %d used slots, want 3", len(listener.slots))
	}
}
