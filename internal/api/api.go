// Package api serves users, workers and health checks over HTTP. It validates
// requests, passes them as events to the core (package core, which makes all decisions)
// and writes the core's replies.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	// fastjson encodes replies in less time than encoding/json.
	fastjson "github.com/segmentio/encoding/json"

	"mulleinfall/internal/core"
	"mulleinfall/internal/exactjson"
	"mulleinfall/internal/model"
	"mulleinfall/internal/web"
)

// maxBody is the longest body of a submission that the protocol allows, in bytes. A
// report may be 16 times as long.
const maxBody = 64 << 10

// Backend is the controller that processes the requests.
type Backend interface {
	// Process passes an event to the core and waits for the reply until the deadline.
	// It makes the event from the id that the reply will carry, and calls onAccepted
	// once the core's goroutine has taken the event. The result is false if there was no
	// reply in time.
	Process(makeEvent func(requestID uint64) core.Event, deadline time.Duration, onAccepted func()) (core.Reply, bool)
	// Now returns the monotonic clock that deadlines refer to.
	Now() time.Duration
	// IsNearSocketLimit reports whether few sockets are left for new connections.
	IsNearSocketLimit() bool
}

// Users wait 5 s for the response to a submission and 2 s for the response to a poll,
// workers wait 4 s for the response to a report. The timeouts are shorter, so that the
// client normally gets a response before it gives up. Cancellations have the timeout of
// submissions, health checks that of polls.
const (
	submitTimeout = 4 * time.Second
	pollTimeout   = 1800 * time.Millisecond
	reportTimeout = 3 * time.Second
)

// Handler serves all paths. Bodies longer than smallBody that are being read at the same
// time take at most maxLargeBodyBytes together: otherwise a thousand clients with one
// connection each could fill the memory of a small machine.
func Handler(backend Backend, maxLargeBodyBytes int64) http.Handler {
	h := &handler{backend: backend}
	h.bodyReader.freeBytes.Store(maxLargeBodyBytes)
	mux := http.NewServeMux()
	for _, route := range []struct {
		path, method string
		serve        http.HandlerFunc
	}{
		{"/api/jobs", http.MethodPost, h.submit},
		{"/api/jobs/{id}", http.MethodGet, h.poll},
		{"/api/jobs/{id}/withdraw", http.MethodPost, h.cancel},
		{"/agent/beat", http.MethodPost, h.report},
		{"/up", http.MethodGet, h.health},
	} {
		mux.HandleFunc(route.path, allowMethod(route.method, route.serve))
	}
	return mux
}

// handler turns requests into events of the core, and the core's replies into responses.
type handler struct {
	backend    Backend
	bodyReader bodyReader
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := h.bodyReader.read(w, r, maxBody)
	if !ok {
		return
	}
	job, err := ParseJob(body)
	if err != nil {
		writeJSON(w, 400, core.Problem{Error: err.Error()}, 0)
		return
	}
	wallMs := time.Now().UnixMilli()
	processEvent(w, h.backend, submitTimeout, func(requestID uint64) core.Event { return core.Submit{RequestID: requestID, Job: *job, WallMs: wallMs} })
}

func (h *handler) poll(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		processEvent(w, h.backend, pollTimeout, func(requestID uint64) core.Event { return core.Poll{RequestID: requestID, ID: id} })
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		processEvent(w, h.backend, submitTimeout, func(requestID uint64) core.Event { return core.Cancel{RequestID: requestID, ID: id} })
	}
}

func (h *handler) report(w http.ResponseWriter, r *http.Request) {
	// A report lists all tasks of its worker, so it may be longer than a submission. Its
	// length is bounded by what a worker can run.
	body, ok := h.bodyReader.read(w, r, 16*maxBody)
	if !ok {
		return
	}
	var report model.Report
	if err := exactjson.Unmarshal(body, &report); err != nil || report.Host == "" {
		writeJSON(w, 400, core.Problem{Error: "not a report"}, 0)
		return
	}
	if h.backend.IsNearSocketLimit() {
		w.Header().Set("Connection", "close")
	}
	processEvent(closeUnlessOK{w}, h.backend, reportTimeout, func(requestID uint64) core.Event { return core.WorkerReport{RequestID: requestID, Report: report} })
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	processEvent(w, h.backend, pollTimeout, func(requestID uint64) core.Event { return core.HealthCheck{RequestID: requestID} })
}

// jobID returns the job id in the path of a request. It responds with 404 to an id that
// no job can have.
func jobID(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := r.PathValue("id")
	if !isValidJobID(id) {
		writeJSON(w, 404, core.Problem{Error: "no such job"}, 0)
		return "", false
	}
	return id, true
}

// closeUnlessOK closes the connection after any response other than 200. A worker that is
// redirected to the leader no longer needs its connection. And after a crash of the
// leader, all workers of a large fleet try every controller, each of which has few
// sockets.
type closeUnlessOK struct{ http.ResponseWriter }

// Unwrap lets package web find its own response writer. http.ResponseController uses the
// same convention.
func (r closeUnlessOK) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r closeUnlessOK) WriteHeader(status int) {
	if status != http.StatusOK {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// allowMethod responds with 405 to requests with any other method.
func allowMethod(method string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeJSON(w, 405, core.Problem{Error: "method not allowed"}, 0)
			return
		}
		serve(w, r)
	}
}

// bodyReader reads the bodies of requests and limits the memory that they take. freeBytes
// is what is left for bodies longer than smallBody.
type bodyReader struct{ freeBytes atomic.Int64 }

// smallBody is the size in bytes that nearly all bodies fit in.
const smallBody = 4 << 10

// read reads a body of at most limit bytes. It rejects a longer body: at once if there is
// a Content-Length, otherwise when limit bytes have been read. If the bodies being read
// leave too little of freeBytes, it responds with 503 and Retry-After. It returns false if
// it has responded.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	if r.ContentLength > limit {
		rejectBody(w, &http.MaxBytesError{Limit: limit})
		return nil, false
	}
	size := r.ContentLength
	if size < 0 {
		size = limit // no Content-Length: assume the longest body
	}
	if size > smallBody {
		defer b.freeBytes.Add(size)
		if b.freeBytes.Add(-size) < 0 {
			w.Header().Set("Connection", "close")
			writeJSON(w, 503, core.Problem{Error: "overloaded"}, 1)
			return nil, false
		}
	}
	var body bytes.Buffer
	body.Grow(int(min(size, smallBody)) + bytes.MinRead) // the buffer grows further only when bytes arrive
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, limit)); err != nil {
		rejectBody(w, err)
		return nil, false
	}
	return body.Bytes(), true
}

// rejectBody responds with 400 to a body that is too long or could not be read. It closes
// the connection, because the unread rest would be read as the next request.
func rejectBody(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		writeJSON(w, 400, core.Problem{Error: "body too long"}, 0)
		return
	}
	writeJSON(w, 400, core.Problem{Error: "body not readable"}, 0)
}

// processEvent passes an event to the backend and writes its reply, or 503 if there is no
// reply within the timeout.
func processEvent(w http.ResponseWriter, backend Backend, timeout time.Duration, makeEvent func(uint64) core.Event) {
	deadline := backend.Now() + timeout
	if arrivedAt := web.ArrivedAt(w); !arrivedAt.IsZero() {
		// Count the timeout from the arrival of the request, which may have waited for its
		// admission (see web.Server).
		deadline -= time.Since(arrivedAt)
	}
	reply, ok := backend.Process(makeEvent, deadline, func() { web.AdmitNext(w) })
	if !ok {
		writeJSON(w, 503, core.Problem{Error: "overloaded"}, 1)
		return
	}
	body, err := fastjson.Marshal(reply.Body)
	if err != nil {
		writeJSON(w, 500, core.Problem{Error: "reply not encodable"}, 0)
		return
	}
	if reply.SendBefore != 0 && backend.Now() >= reply.SendBefore {
		// The right to act as leader, on which the reply depends, expired before the
		// reply could be sent. Only replies to reports have such a limit. After a 503 a
		// worker tries the next controller by itself, without Retry-After.
		writeJSON(w, 503, core.Problem{Error: "no longer leading"}, 0)
		return
	}
	writeResponse(w, reply.Status, body, reply.RetryAfter)
}

// writeJSON writes a response with body encoded as JSON. A retryAfter of 0 seconds means
// no Retry-After header.
func writeJSON(w http.ResponseWriter, status int, body any, retryAfter int) {
	b, err := json.Marshal(body)
	if err != nil {
		b = []byte(`{}`)
	}
	writeResponse(w, status, b, retryAfter)
}

// writeResponse writes a response with an encoded body, as writeJSON does.
func writeResponse(w http.ResponseWriter, status int, body []byte, retryAfter int) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h["Date"] = nil // no client uses it, and it would cost a reading of the clock
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_, _ = w.Write(body)
}
