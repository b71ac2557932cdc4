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

// connPair returns the two ends of a loopback connection, the first one wrapped.
func connPair(t *testing.T) (wrapped, plain net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	plain, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	wrapped = Wrap(accepted)
	t.Cleanup(func() { wrapped.Close(); plain.Close() })
	return wrapped, plain
}

// TestWrappedConnBehavesLikeOriginal checks that a wrapped connection behaves like any
// other: it carries more data than the buffers of a socket hold, waits for data, returns
// io.EOF at the end, os.ErrDeadlineExceeded after its deadline and net.ErrClosed after
// Close.
func TestWrappedConnBehavesLikeOriginal(t *testing.T) {
	wrapped, plain := connPair(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<18) // 4 MiB
	sent := make(chan error, 1)
	go func() { _, err := wrapped.Write(want); sent <- err }()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(plain, got); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("data written by the wrapped end: got error %v, equal %v, want no error and equal data", err, bytes.Equal(got, want))
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	go func() { plain.Write(want); plain.Close() }()
	if got, err := io.ReadAll(wrapped); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("data read by the wrapped end: got error %v, equal %v, want no error and equal data", err, bytes.Equal(got, want))
	}

	wrapped, _ = connPair(t)
	if err := wrapped.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := wrapped.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read after the deadline: got error %v, want os.ErrDeadlineExceeded", err)
	}
	if _, err := wrapped.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write after the deadline: got error %v, want os.ErrDeadlineExceeded", err)
	}
	wrapped.Close()
	if _, err := wrapped.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read from a closed connection: got error %v, want net.ErrClosed", err)
	}
}
