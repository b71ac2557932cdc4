// Package direct reads and writes sockets by system calls that the runtime isn't
// told of. It need not be: such a socket never blocks, and net still does the
// waiting. Told of a call, a process that was idle wakes the runtime's watchdog
// thread, which then looks around some 20 µs apart until all is idle again: on a
// controller that wakes up for each report that was two fifths of all its
// processor time.
package direct

import (
	"io"
	"net"
	"syscall"
	"unsafe"
)

// Wrap is c with direct reads and writes, or c itself where it has no socket of
// that kind.
func Wrap(c net.Conn) net.Conn {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return c
	}
	return &conn{Conn: c, raw: raw}
}

type conn struct {
	net.Conn
	raw syscall.RawConn
}

// retrySyscall makes one system call on the socket as often as it takes, and waits by
// way of wait (the raw connection's Read or Write) while it would block.
func retrySyscall(wait func(func(fd uintptr) bool) error, number uintptr, p []byte) (int, error) {
	var n uintptr
	var errno syscall.Errno
	err := wait(func(fd uintptr) bool {
		for {
			n, _, errno = syscall.RawSyscall(number, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
			if errno != syscall.EINTR {
				return errno != syscall.EAGAIN
			}
		}
	})
	if err == nil && errno != 0 {
		err = errno
	}
	if err != nil {
		return 0, err
	}
	return int(n), nil
}

func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := retrySyscall(c.raw.Read, syscall.SYS_READ, p)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		n, err := retrySyscall(c.raw.Write, syscall.SYS_WRITE, p[done:])
		if err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}
