// Package web serves HTTP/1.1 to many connections that each ask little and
// seldom. net/http reads the requests and its handlers answer them; what is
// ours is the loop in between.
//
// It stands in for http.Server because that cost a leader on a small machine
// more than the decisions did: a second goroutine and a second read for each
// request, to notice a client that leaves, a context and three timers. Nobody
// here asks for a request's context, and what a client that has left still gets
// done is bounded by the handlers.
package web

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"
)

// Limits of a connection. Requests are mostly a few hundred bytes, so that one
// read takes a whole one; a longer body passes the buffer by.
const (
	readBuffer = 2 << 10
	maxHeader  = 16 << 10
	maxUnread  = 4 << 10 // of a body that its handler left; beyond it the connection ends
)

// Server answers the requests of a listener's connections, one at a time each.
type Server struct {
	Handler http.Handler
	// Timeout bounds how long a connection may wait for its next request, and half
	// of it at least remains for that request's bytes and its answer.
	Timeout time.Duration

	// gate lets requests in one after the other, each until its handler has
	// handed it on (Next). When hundreds of machines report at once, on a slow
	// processor, each would otherwise be read and decoded before the one
	// goroutine that decides got its turn again, and a leader missed its own
	// renewals.
	gate sync.Mutex
}

// Next tells the server of w that what its request asks for has been handed on,
// so that the next request may pass while this one waits for its answer.
func Next(w http.ResponseWriter) {
	if a := answerOf(w); a != nil {
		a.next()
	}
}

// Arrived is when the request that w answers came; the zero time where that
// isn't known.
func Arrived(w http.ResponseWriter) time.Time {
	if a := answerOf(w); a != nil {
		return a.arrived
	}
	return time.Time{}
}

// answerOf finds this package's writer behind those that handlers put round it.
func answerOf(w http.ResponseWriter) *answer {
	for {
		switch v := w.(type) {
		case *answer:
			return v
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			return nil
		}
	}
}

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case err == nil:
			go s.serve(c)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return err
		default:
			// Out of sockets, say: that passes, the listener stays.
			slog.Warn("connection not accepted", "error", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}

// serve answers a connection's requests until one side ends it.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	a := &answer{header: http.Header{}}
	defer func() {
		a.next()                      // whatever ended it: the others wait at the gate
		if r := recover(); r != nil { // one request must not end the process
			slog.Error("handler failed", "panic", r, "stack", string(debug.Stack()))
		}
	}()
	in := &head{r: c}
	br := bufio.NewReaderSize(in, readBuffer)
	for {
		// Connections across a cut stay open at this end only: without a limit
		// they would use up the sockets.
		began := time.Now()
		if c.SetDeadline(began.Add(s.Timeout)) != nil {
			return
		}
		in.left = maxHeader
		req, err := s.read(br, a)
		if err != nil {
			if status := in.refusal(err); status != 0 {
				a.refuse(status)
				_ = a.send(c, false)
			}
			return
		}
		in.left = -1
		if a.arrived.Sub(began) > s.Timeout/2 {
			// It has come late in the time of its connection, and needs some of its own.
			if c.SetDeadline(a.arrived.Add(s.Timeout)) != nil {
				return
			}
		}
		a.reset(req.Close || !req.ProtoAtLeast(1, 1))
		switch {
		case req.Host == "" && req.ProtoAtLeast(1, 1):
			a.refuse(http.StatusBadRequest)
		case req.Header.Get("Expect") != "" && req.Header.Get("Expect") != "100-continue":
			a.refuse(http.StatusExpectationFailed)
		default:
			if req.Header.Get("Expect") != "" {
				a.next() // the client may be slow to take even that
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
			s.Handler.ServeHTTP(a, req)
		}
		a.next()
		if a.send(c, req.Method == http.MethodHead) != nil || a.last() {
			return
		}
		if n, err := io.CopyN(io.Discard, req.Body, maxUnread); n == maxUnread || !errors.Is(err, io.EOF) {
			return // what is left of it would be read as the next request
		}
	}
}

// read takes the next request. Only one that has arrived as a whole holds the
// gate: nobody is kept waiting by a client that is slow.
func (s *Server) read(br *bufio.Reader, a *answer) (*http.Request, error) {
	if _, err := br.Peek(1); err != nil {
		return nil, err
	}
	a.arrived = time.Now()
	if there, _ := br.Peek(br.Buffered()); bytes.Contains(there, headEnd) {
		s.gate.Lock()
		a.gate = &s.gate
	}
	req, err := http.ReadRequest(br)
	if err != nil || req.ContentLength < 0 || req.ContentLength > int64(br.Buffered()) {
		a.next()
	}
	return req, err
}

var headEnd = []byte("\r\n\r\n")

// head bounds what a request's head may hold: without end, one would fill the
// memory. left below 0: no bound.
type head struct {
	r    io.Reader
	left int
}

var errTooLong = errors.New("request head too long")

func (h *head) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// refusal is the status for a request that could not be read; 0 where nobody
// is left to be told or nothing was asked.
func (h *head) refusal(err error) int {
	var network net.Error
	switch {
	case errors.Is(err, errTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return 0
	}
	return http.StatusBadRequest
}

// answer is the http.ResponseWriter of a connection. An answer goes out in one
// write, with its length.
type answer struct {
	arrived time.Time   // of the request
	gate    *sync.Mutex // held, or nil

	header http.Header
	status int
	body   bytes.Buffer
	out    bytes.Buffer
}

// maxKept is what a connection's buffers may keep from one answer to the next.
const maxKept = 4 << 10

func (a *answer) reset(last bool) {
	clear(a.header)
	a.status = 0
	if a.body.Cap() > maxKept {
		a.body = bytes.Buffer{}
	}
	if a.out.Cap() > maxKept {
		a.out = bytes.Buffer{}
	}
	a.body.Reset()
	a.out.Reset()
	if last {
		a.header.Set("Connection", "close")
	}
}

func (a *answer) next() {
	if a.gate != nil {
		a.gate.Unlock()
		a.gate = nil
	}
}

func (a *answer) Header() http.Header { return a.header }

func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

func (a *answer) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(b)
}

// refuse answers a request that no handler gets to see, and ends the connection.
func (a *answer) refuse(status int) {
	a.reset(true)
	a.WriteHeader(status)
}

// last says whether the connection ends with this answer.
func (a *answer) last() bool { return a.header.Get("Connection") == "close" }

func (a *answer) send(c net.Conn, headOnly bool) error {
	a.WriteHeader(http.StatusOK)
	fmt.Fprintf(&a.out, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	a.header.Set("Content-Length", strconv.Itoa(a.body.Len()))
	if err := a.header.Write(&a.out); err != nil {
		return err
	}
	a.out.WriteString("\r\n")
	if !headOnly {
		a.out.Write(a.body.Bytes())
	}
	_, err := c.Write(a.out.Bytes())
	return err
}
