package web

import (
	"net"
	"sync"

	"mulleinfall/internal/direct"
)

// Bound is a listener that keeps to a number of open connections, so that
// sockets are left for the rest of the process. What comes beyond is closed at
// once.
type Bound struct {
	net.Listener
	slots chan struct{}
}

// Limit bounds the open connections of ln to most.
func Limit(ln net.Listener, most int) *Bound {
	return &Bound{Listener: ln, slots: make(chan struct{}, most)}
}

// Crowded says whether three quarters of the connections are taken.
func (b *Bound) Crowded() bool { return len(b.slots)*4 >= cap(b.slots)*3 }

// Accept waits for a connection within the bound.
func (b *Bound) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.slots <- struct{}{}:
			return &boundConn{Conn: direct.Conn(c), slots: b.slots}, nil
		default:
			c.Close()
		}
	}
}

type boundConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

func (c *boundConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
