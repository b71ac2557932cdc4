package web

import (
	"net"
	"sync"

	"mulleinfall/internal/direct"
)

// LimitedListener is a listener with a limit on its open connections, so that file
// descriptors are left for the rest of the process. Connections beyond the limit are
// closed at once.
type LimitedListener struct {
	net.Listener
	slots chan struct{}
}

// LimitListener limits the open connections of ln to maxConns.
func LimitListener(ln net.Listener, maxConns int) *LimitedListener {
	return &LimitedListener{Listener: ln, slots: make(chan struct{}, maxConns)}
}

// IsNearLimit reports whether at least three quarters of the allowed connections are open.
func (l *LimitedListener) IsNearLimit() bool { return len(l.slots)*4 >= cap(l.slots)*3 }

// Accept waits for a connection that is within the limit.
func (l *LimitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: direct.Wrap(conn), slots: l.slots}, nil
		default:
			conn.Close()
		}
	}
}

// limitedConn frees its slot of the listener when it is closed the first time.
type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
