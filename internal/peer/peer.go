// Package peer carries messages between controllers, encoded as msgpack over one TCP
// connection in each direction. Messages may be lost or late, which the core (package
// core, which makes all decisions) tolerates.
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

// Limits of a link, in bytes and messages. A frame is one encoded message. Long messages
// contain the description of a job (64 KiB, the longest submission), the task counts of
// 1,000 jobs (about 20 KiB), or entries for up to 2,000 cancelled jobs or all machines.
// Messages beyond maxQueuedMessages for a slow or unreachable peer are dropped. That is
// safe: promises (votes that bind their voter for a limited time) are requested again after
// at most a quarter of that time (less than a second if lease_s is 20), and changes of keys
// also arrive through the state service.
const (
	maxFrameBytes     = 1 << 20
	maxQueuedMessages = 256
)

// envelope is the content of a frame: the name of the sender and the message.
type envelope struct {
	From string       `msgpack:"f"`
	Msg  core.PeerMsg `msgpack:"m"`
}

// Link sends messages to one peer (another controller).
type Link struct {
	self, addr string
	timeout    time.Duration
	queue      chan core.PeerMsg
}

// NewLink returns a link from self to the peer at addr. Run sends its messages; timeout
// bounds each connection attempt and each write.
func NewLink(self, addr string, timeout time.Duration) *Link {
	return &Link{self: self, addr: addr, timeout: timeout, queue: make(chan core.PeerMsg, maxQueuedMessages)}
}

// Send queues a message, or drops it if the queue is full.
func (l *Link) Send(m core.PeerMsg) {
	select {
	case l.queue <- m:
	default:
	}
}

// Run sends the queued messages until ctx is cancelled. It connects when there is a
// message to send. If connecting fails, that message and all queued ones are dropped. If
// writing a message fails, only this message is lost, and the next one opens a new
// connection.
func (l *Link) Run(ctx context.Context) {
	var conn net.Conn
	closeConn := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer closeConn()
	for {
		var m core.PeerMsg
		select {
		case <-ctx.Done():
			return
		case m = <-l.queue:
		}
		frame, err := encode(envelope{l.self, m})
		if err != nil {
			slog.Error("peer message not encoded", "error", err)
			continue
		}
		if conn == nil {
			dialer := net.Dialer{Timeout: l.timeout}
			c, err := dialer.DialContext(ctx, "tcp", l.addr)
			if err != nil {
				slog.Debug("peer not reached, queued messages dropped", "peer", l.addr, "error", err)
				l.dropQueue()
				continue
			}
			conn = direct.Wrap(c)
		}
		if err := conn.SetWriteDeadline(time.Now().Add(l.timeout)); err == nil {
			_, err = conn.Write(frame)
			if err == nil {
				continue
			}
		}
		closeConn()
	}
}

// dropQueue drops the messages queued for a peer that can't be reached. They would be
// stale by the time the peer can be reached again.
func (l *Link) dropQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// encode returns a frame: the length of the encoded envelope in four bytes, big-endian,
// and the envelope.
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

// ReadFrames reads frames from a connection and delivers their messages until the
// connection ends. Its error is nil if the connection ends between two frames.
func ReadFrames(r io.Reader, deliver func(from string, m core.PeerMsg)) error {
	reader := bufio.NewReader(r)
	var lengthPrefix [4]byte
	for {
		if _, err := io.ReadFull(reader, lengthPrefix[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		length := binary.BigEndian.Uint32(lengthPrefix[:])
		if length > maxFrameBytes {
			return fmt.Errorf("frame of %d bytes is too long", length)
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return err
		}
		var e envelope
		if err := msgpack.Unmarshal(body, &e); err != nil {
			return fmt.Errorf("decode: %w", err)
		}
		deliver(e.From, e.Msg)
	}
}

// Serve accepts connections of peers and delivers their messages. It returns when
// accepting fails and ctx is cancelled; after other failures it goes on.
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
				slog.Debug("peer connection closed after a failed read", "error", err)
			}
		}()
	}
}
