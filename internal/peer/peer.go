// Package peer carries messages between controllers: msgpack over one TCP
// connection in each direction. A message may be lost or late; the core
// counts with both.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulleinfall/internal/core"
	"mulleinfall/internal/direct"
)

// Limits of the channel. A frame holds at most a job's description (64 KiB, as a
// user may send it) or the counts of 1,000 jobs, some 20 KiB. What waits for a
// peer that is slow or out of reach is dropped beyond the limit: promises are
// asked for again within a second, news comes by the state service as well.
const (
	maxFrameBytes     = 1 << 20
	maxQueuedMessages = 256
)

// envelope is a frame: who sends it, and the message.
type envelope struct {
	From string       `msgpack:"f"`
	Msg  core.PeerMsg `msgpack:"m"`
}

// Link sends to one peer.
type Link struct {
	self, addr string
	timeout    time.Duration
	queue      chan core.PeerMsg
}

// NewLink makes a link from self to the peer at addr; Run serves it.
func NewLink(self, addr string, timeout time.Duration) *Link {
	return &Link{self: self, addr: addr, timeout: timeout, queue: make(chan core.PeerMsg, maxQueuedMessages)}
}

// Send queues a message, or drops it when the peer can't keep up.
func (l *Link) Send(m core.PeerMsg) {
	select {
	case l.queue <- m:
	default:
	}
}

// Run keeps a connection to the peer while there is something to say.
func (l *Link) Run(ctx context.Context) {
	var conn net.Conn
	drop := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer drop()
	for {
		var m core.PeerMsg
		select {
		case <-ctx.Done():
			return
		case m = <-l.queue:
		}
		b, err := encode(envelope{l.self, m})
		if err != nil {
			slog.Error("peer message not encoded", "error", err)
			continue
		}
		if conn == nil {
			d := net.Dialer{Timeout: l.timeout}
			c, err := d.DialContext(ctx, "tcp", l.addr)
			if err != nil {
				slog.Debug("peer not reached", "peer", l.addr, "error", err)
				l.dropQueue()
				continue
			}
			conn = direct.Wrap(c)
		}
		if err := conn.SetWriteDeadline(time.Now().Add(l.timeout)); err == nil {
			_, err = conn.Write(b)
			if err == nil {
				continue
			}
		}
		drop()
	}
}

// dropQueue forgets what has piled up for a peer that can't be reached: by the
// time it can be, it would be stale.
func (l *Link) dropQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func encode(e envelope) ([]byte, error) {
	body, err := msgpack.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(body) > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes is too long", len(body))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...), nil
}

// ReadFrames takes frames from a connection until it ends.
func ReadFrames(r io.Reader, deliver func(from string, m core.PeerMsg)) error {
	br := bufio.NewReader(r)
	var head [4]byte
	for {
		if _, err := io.ReadFull(br, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxFrameBytes {
			return fmt.Errorf("frame of %d bytes is too long", n)
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(br, body); err != nil {
			return err
		}
		var e envelope
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return fmt.Errorf("decode: %w", err)
		}
		deliver(e.From, e.Msg)
	}
}

// Serve accepts the peers' connections.
func Serve(ctx context.Context, ln net.Listener, deliver func(from string, m core.PeerMsg)) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			slog.Warn("peer connection not accepted", "error", err)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		go func() {
			defer conn.Close()
			if err := ReadFrames(direct.Wrap(conn), deliver); err != nil {
				slog.Debug("peer connection ended", "error", err)
			}
		}()
	}
}
