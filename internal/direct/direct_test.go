package direct

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// connPair is a connection over loopback, its near end direct.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near = Wrap(c)
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// TestWrappedConnBehavesLikeOriginal: a direct connection does what any other does: it carries
// more than a socket's buffers hold, waits for what has not come, ends with
// io.EOF and keeps its deadlines.
func TestWrappedConnBehavesLikeOriginal(t *testing.T) {
	near, far := connPair(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // 4 MiB
	sent := make(chan error, 1)
	go func() { _, err := near.Write(want); sent <- err }()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("written: %v, alike: %v", err, bytes.Equal(got, want))
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	go func() { far.Write(want); far.Close() }()
	if got, err := io.ReadAll(near); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("read: %v, alike: %v", err, bytes.Equal(got, want))
	}

	near, _ = connPair(t)
	if err := near.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read past the deadline: %v", err)
	}
	if _, err := near.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write past the deadline: %v", err)
	}
	near.Close()
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read from a closed connection: %v", err)
	}
}
