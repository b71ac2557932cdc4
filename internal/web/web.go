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
	readBufferBytes = 2 << 10
	maxHeaderBytes  = 16 << 10
	maxUnreadBytes  = 4 << 10 // of a body that its handler left; beyond it the connection ends
)

// Server answers the requests of a listener's connections, one at a time each.
type Server struct {
	Handler http.Handler
	// Timeout bounds how long a connection may wait for its next request, and half
	// of it at least remains for that request's bytes and its answer.
	Timeout time.Duration

	// admission lets requests in one after the other, each until its handler has
	// handed it on (Next). When hundreds of machines report at once, on a slow
	// processor, each would otherwise be read and decoded before the one
	// goroutine that decides got its turn again, and a leader missed its own
	// renewals.
	admission sync.Mutex
}

// AdmitNext tells the server of w that what its request asks for has been handed on,
// so that the next request may pass while this one waits for its answer.
func AdmitNext(w http.ResponseWriter) {
	if a := responseOf(w); a != nil {
		a.admitNext()
	}
}

// ArrivedAt is when the request that w answers came; the zero time where that
// isn't known.
func ArrivedAt(w http.ResponseWriter) time.Time {
	if a := responseOf(w); a != nil {
		return a.arrivedAt
	}
	return time.Time{}
}

// responseOf finds this package's writer behind those that handlers put round it.
func responseOf(w http.ResponseWriter) *response {
	for {
		switch v := w.(type) {
		case *response:
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
			go s.serveConn(c)
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

// serveConn answers a connection's requests until one side ends it.
func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	a := &response{header: http.Header{}}
	defer func() {
		a.admitNext()                 // whatever ended it: the others wait at the gate
		if r := recover(); r != nil { // one request must not end the process
			slog.Error("handler failed", "panic", r, "stack", string(debug.Stack()))
		}
	}()
	in := &headReader{r: c}
	br := bufio.NewReaderSize(in, readBufferBytes)
	for {
		// Connections across a cut stay open at this end only: without a limit
		// they would use up the sockets.
		began := time.Now()
		if c.SetDeadline(began.Add(s.Timeout)) != nil {
			return
		}
		in.remaining = maxHeaderBytes
		req, err := s.readRequest(br, a)
		if err != nil {
			if status := in.rejectStatus(err); status != 0 {
				a.reject(status)
				_ = a.send(c, false)
			}
			return
		}
		in.remaining = -1
		if a.arrivedAt.Sub(began) > s.Timeout/2 {
			// It has come late in the time of its connection, and needs some of its own.
			if c.SetDeadline(a.arrivedAt.Add(s.Timeout)) != nil {
				return
			}
		}
		a.reset(req.Close || !req.ProtoAtLeast(1, 1))
		switch {
		case req.Host == "" && req.ProtoAtLeast(1, 1):
			a.reject(http.StatusBadRequest)
		case req.Header.Get("Expect") != "" && req.Header.Get("Expect") != "100-continue":
			a.reject(http.StatusExpectationFailed)
		default:
			if req.Header.Get("Expect") != "" {
				a.admitNext() // the client may be slow to take even that
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
			s.Handler.ServeHTTP(a, req)
		}
		a.admitNext()
		if a.send(c, req.Method == http.MethodHead) != nil || a.isLast() {
			return
		}
		if n, err := io.CopyN(io.Discard, req.Body, maxUnreadBytes); n == maxUnreadBytes || !errors.Is(err, io.EOF) {
			return // what is left of it would be read as the next request
		}
	}
}

// readRequest takes the next request. Only one that has arrived as a whole holds the
// gate: nobody is kept waiting by a client that is slow.
func (s *Server) readRequest(br *bufio.Reader, a *response) (*http.Request, error) {
	if _, err := br.Peek(1); err != nil {
		return nil, err
	}
	a.arrivedAt = time.Now()
	if there, _ := br.Peek(br.Buffered()); bytes.Contains(there, headEnd) {
		s.admission.Lock()
		a.admission = &s.admission
	}
	req, err := http.ReadRequest(br)
	if err != nil || req.ContentLength < 0 || req.ContentLength > int64(br.Buffered()) {
		a.admitNext()
	}
	return req, err
}

var headEnd = []byte("\r\n\r\n")

// headReader bounds what a request's head may hold: without end, one would fill the
// memory. left below 0: no bound.
type headReader struct {
	r         io.Reader
	remaining int
}

var errHeadTooLong = errors.New("request head too long")

func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.r.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// rejectStatus is the status for a request that could not be read; 0 where nobody
// is left to be told or nothing was asked.
func (h *headReader) rejectStatus(err error) int {
	var network net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return 0
	}
	return http.StatusBadRequest
}

// response is the http.ResponseWriter of a connection. An answer goes out in one
// write, with its length.
type response struct {
	arrivedAt time.Time   // of the request
	admission *sync.Mutex // held, or nil

	header http.Header
	status int
	body   bytes.Buffer
	output bytes.Buffer
}

// maxKeptBytes is what a connection's buffers may keep from one answer to the next.
const maxKeptBytes = 4 << 10

func (a *response) reset(last bool) {
	clear(a.header)
	a.status = 0
	if a.body.Cap() > maxKeptBytes {
		a.body = bytes.Buffer{}
	}
	if a.output.Cap() > maxKeptBytes {
		a.output = bytes.Buffer{}
	}
	a.body.Reset()
	a.output.Reset()
	if last {
		a.header.Set("Connection", "close")
	}
}

func (a *response) admitNext() {
	if a.admission != nil {
		a.admission.Unlock()
		a.admission = nil
	}
}

func (a *response) Header() http.Header { return a.header }

func (a *response) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

func (a *response) Write(b []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(b)
}

// reject answers a request that no handler gets to see, and ends the connection.
func (a *response) reject(status int) {
	a.reset(true)
	a.WriteHeader(status)
}

// isLast says whether the connection ends with this answer.
func (a *response) isLast() bool { return a.header.Get("Connection") == "close" }

func (a *response) send(c net.Conn, headOnly bool) error {
	a.WriteHeader(http.StatusOK)
	fmt.Fprintf(&a.output, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	a.header.Set("Content-Length", strconv.Itoa(a.body.Len()))
	if err := a.header.Write(&a.output); err != nil {
		return err
	}
	a.output.WriteString("\r\n")
	if !headOnly {
		a.output.Write(a.body.Bytes())
	}
	_, err := c.Write(a.output.Bytes())
	return err
}
