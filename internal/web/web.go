// Package web serves HTTP/1.1 on many connections that each send few and small
// requests. Requests are parsed by net/http and handled by an http.Handler; this
// package contains the loop in between.
//
// It replaces http.Server, which on a leader with few CPUs used more CPU time than
// scheduling did: for each request, http.Server starts a second goroutine that reads from
// the connection to detect that the client disconnects, and creates a context and three
// timers. This server doesn't. So handlers must not use the context of a request, and
// must limit the work for a client that may have disconnected.
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

// Limits of a connection. Most requests are a few hundred bytes long, so that one read
// gets a whole request. Longer bodies are read without the buffer.
const (
	readBufferBytes = 2 << 10
	maxHeaderBytes  = 16 << 10 // of a request's head: its request line and header fields
	maxUnreadBytes  = 4 << 10  // if a handler leaves this much or more of a body unread, the connection is closed
)

// Server serves the connections of a listener. It handles one request at a time on
// each connection.
type Server struct {
	Handler http.Handler
	// Timeout bounds how long a connection may wait for its next request and take to
	// receive it and send the response. If the first byte of the request arrives in the
	// second half of Timeout, the head must still be complete in time, but then Timeout
	// counts again from that byte.
	Timeout time.Duration

	// admission is held by one request at a time: from before it is parsed until its
	// handler has passed it to the goroutine that runs the core (package core) and calls
	// AdmitNext. Without this rule, a leader with a slow processor misses the renewals of
	// its leadership when hundreds of machines report at once: all reports are decoded
	// before the core's goroutine is scheduled again. Requests that arrive in pieces or
	// don't fit in the buffer are exempt (see readRequest).
	admission sync.Mutex
}

// AdmitNext tells the server of w that the handler has passed its request on. The
// server admits a request of another connection while this one waits for its reply.
func AdmitNext(w http.ResponseWriter) {
	if resp := responseOf(w); resp != nil {
		resp.admitNext()
	}
}

// ArrivedAt returns when the first byte of the request that w responds to arrived, or the
// zero time if that is not known.
func ArrivedAt(w http.ResponseWriter) time.Time {
	if resp := responseOf(w); resp != nil {
		return resp.arrivedAt
	}
	return time.Time{}
}

// responseOf returns the response that w is or wraps, or nil if there is none.
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

// Serve accepts connections until the listener is closed. After ctx is cancelled it also
// returns on any other error of the listener.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case err == nil:
			go s.serveConn(c)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return err
		default:
			// The error may be temporary, such as too many open files: keep listening.
			slog.Warn("connection not accepted", "error", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}

// serveConn serves the requests of a connection until either side closes it.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	resp := &response{header: http.Header{}}
	defer func() {
		resp.admitNext()              // other requests may be waiting for admission
		if r := recover(); r != nil { // a panic of a handler must not end the process
			slog.Error("handler panicked", "panic", r, "stack", string(debug.Stack()))
		}
	}()
	head := &headReader{r: conn}
	reader := bufio.NewReaderSize(head, readBufferBytes)
	for {
		// After a network failure, a connection may stay open at this end only. Without
		// a deadline such connections would use up the file descriptors.
		waitStartedAt := time.Now()
		if conn.SetDeadline(waitStartedAt.Add(s.Timeout)) != nil {
			return
		}
		head.remaining = maxHeaderBytes
		req, err := s.readRequest(reader, resp)
		if err != nil {
			if status := head.rejectStatus(err); status != 0 {
				resp.reject(status)
				_ = resp.send(conn, false)
			}
			return
		}
		head.remaining = -1
		if resp.arrivedAt.Sub(waitStartedAt) > s.Timeout/2 {
			// The first byte of the request arrived in the second half of the timeout:
			// extend the deadline, so that there is time for the body and the response.
			if conn.SetDeadline(resp.arrivedAt.Add(s.Timeout)) != nil {
				return
			}
		}
		resp.reset(req.Close || !req.ProtoAtLeast(1, 1))
		switch {
		case req.Host == "" && req.ProtoAtLeast(1, 1):
			resp.reject(http.StatusBadRequest)
		case req.Header.Get("Expect") != "" && req.Header.Get("Expect") != "100-continue":
			resp.reject(http.StatusExpectationFailed)
		default:
			if req.Header.Get("Expect") != "" {
				resp.admitNext() // the client may be slow to read the interim response
				if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return
				}
			}
			s.Handler.ServeHTTP(resp, req)
		}
		resp.admitNext()
		if resp.send(conn, req.Method == http.MethodHead) != nil || resp.isLast() {
			return
		}
		if n, err := io.CopyN(io.Discard, req.Body, maxUnreadBytes); n == maxUnreadBytes || !errors.Is(err, io.EOF) {
			return // the rest of the body would be read as the next request
		}
	}
}

// readRequest reads the head of the next request. The request holds the admission only if
// its head and body are in the buffer of reader already, so that a slow client doesn't
// delay the others.
func (s *Server) readRequest(reader *bufio.Reader, resp *response) (*http.Request, error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	resp.arrivedAt = time.Now()
	if buffered, _ := reader.Peek(reader.Buffered()); bytes.Contains(buffered, headEnd) {
		s.admission.Lock()
		resp.admission = &s.admission
	}
	req, err := http.ReadRequest(reader)
	if err != nil || req.ContentLength < 0 || req.ContentLength > int64(reader.Buffered()) {
		resp.admitNext()
	}
	return req, err
}

// headEnd separates the head of a request from its body.
var headEnd = []byte("\r\n\r\n")

// headReader bounds the size of the head of a request, which could otherwise fill the
// memory. It doesn't bound the body.
type headReader struct {
	r         io.Reader
	remaining int // bytes that may still be read; negative means no limit
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

// rejectStatus returns the status for a request that could not be read, or 0 if the
// connection was closed, failed or timed out.
func (h *headReader) rejectStatus(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return 0
	}
	return http.StatusBadRequest
}

// response is the http.ResponseWriter of a connection. It sends a response in one
// write, with its Content-Length.
type response struct {
	arrivedAt time.Time   // when the first byte of the request arrived
	admission *sync.Mutex // nil if this request doesn't hold it

	header http.Header
	status int
	body   bytes.Buffer
	output bytes.Buffer
}

// maxKeptBytes bounds the size of a buffer that a connection keeps for its next
// response.
const maxKeptBytes = 4 << 10

// reset prepares for the next response. With closeAfter, the connection is closed after
// that response.
func (r *response) reset(closeAfter bool) {
	clear(r.header)
	r.status = 0
	if r.body.Cap() > maxKeptBytes {
		r.body = bytes.Buffer{}
	}
	if r.output.Cap() > maxKeptBytes {
		r.output = bytes.Buffer{}
	}
	r.body.Reset()
	r.output.Reset()
	if closeAfter {
		r.header.Set("Connection", "close")
	}
}

// admitNext releases the admission if this request holds it.
func (r *response) admitNext() {
	if r.admission != nil {
		r.admission.Unlock()
		r.admission = nil
	}
}

func (r *response) Header() http.Header { return r.header }

func (r *response) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *response) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

// reject prepares a response with status to a request that no handler sees. The
// connection is closed after the response.
func (r *response) reject(status int) {
	r.reset(true)
	r.WriteHeader(status)
}

// isLast reports whether the connection is closed after this response.
func (r *response) isLast() bool { return r.header.Get("Connection") == "close" }

// send writes the response to the connection, without its body if headOnly is set.
func (r *response) send(conn net.Conn, headOnly bool) error {
	r.WriteHeader(http.StatusOK)
	fmt.Fprintf(&r.output, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	r.header.Set("Content-Length", strconv.Itoa(r.body.Len()))
	if err := r.header.Write(&r.output); err != nil {
		return err
	}
	r.output.WriteString("\r\n")
	if !headOnly {
		r.output.Write(r.body.Bytes())
	}
	_, err := conn.Write(r.output.Bytes())
	return err
}
