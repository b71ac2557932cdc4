package web

import (
	"net"
	"sync"

	"mulleinfall/internal/direct"
)

// LimitedListener is a listener that keeps to a number of open connections, so that
// sockets are left for the rest of the process. What comes beyond is closed at
// once.
type LimitedListener struct {
	net.Listener
	slots chan struct{}
}

// LimitListener bounds the open connections of ln to most.
func LimitListener(ln net.Listener, most int) *LimitedListener {
	return &LimitedListener{Listener: ln, slots: make(chan struct{}, most)}
}

// IsNearLimit says whether three quarters of the connections are taken.
func (b *LimitedListener) IsNearLimit() bool { return len(b.slots)*4 >= cap(b.slots)*3 }

// Accept waits for a connection within the bound.
func (b *LimitedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.slots <- struct{}{}:
			return &limitedConn{Conn: direct.Wrap(c), slots: b.slots}, nil
		default:
			c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
