// Package api serves users, workers and health checks over HTTP. It checks
// form, hands events to the node and writes its replies; what the answer is,
// the core decides.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	// Reports are most of what a leader reads; this decodes them in a third of
	// the time that encoding/json takes.
	fast "github.com/segmentio/encoding/json"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
	"mulleinfall/internal/web"
)

// maxBody is the protocol's bound on a request body.
const maxBody = 64 << 10

// Backend hands an event to the node, says so by calling accepted, and waits for
// the reply until the time given. The event is made from the number that the
// reply will carry. False: no reply in time.
type Backend interface {
	Process(make func(req uint64) core.Event, until time.Duration, accepted func()) (core.Reply, bool)
	Now() time.Duration
	// IsNearSocketLimit says that sockets are running out.
	IsNearSocketLimit() bool
}

// Users wait 5 s for a submission, 2 s for a poll, workers 4 s for a report:
// each is told before that.
const (
	submitTimeout = 4 * time.Second
	pollTimeout   = 1800 * time.Millisecond
	reportTimeout = 3 * time.Second
)

// Handler serves all paths. Bodies that are longer than most requests take no
// more than room bytes at a time: with a connection each, a thousand clients
// could otherwise fill the memory of a small machine.
func Handler(n Backend, room int64) http.Handler {
	e := &handler{backend: n}
	e.bodyReader.freeBytes.Store(room)
	mux := http.NewServeMux()
	for _, route := range []struct {
		path, method string
		serve        http.HandlerFunc
	}{
		{"/api/jobs", http.MethodPost, e.submit},
		{"/api/jobs/{id}", http.MethodGet, e.poll},
		{"/api/jobs/{id}/withdraw", http.MethodPost, e.cancel},
		{"/agent/beat", http.MethodPost, e.report},
		{"/up", http.MethodGet, e.health},
	} {
		mux.HandleFunc(route.path, allowMethod(route.method, route.serve))
	}
	return mux
}

// handler turns requests into the core's events, and its replies into answers.
type handler struct {
	backend    Backend
	bodyReader bodyReader
}

func (e *handler) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := e.bodyReader.read(w, r, maxBody)
	if !ok {
		return
	}
	job, err := ParseJob(body)
	if err != nil {
		writeJSON(w, 400, core.Problem{Error: err.Error()}, 0)
		return
	}
	wall := time.Now().UnixMilli()
	processEvent(w, e.backend, submitTimeout, func(req uint64) core.Event { return core.Submit{RequestID: req, Job: *job, WallMs: wall} })
}

func (e *handler) poll(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		processEvent(w, e.backend, pollTimeout, func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} })
	}
}

func (e *handler) cancel(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		processEvent(w, e.backend, submitTimeout, func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} })
	}
}

func (e *handler) report(w http.ResponseWriter, r *http.Request) {
	// A worker's list may be long; it is bounded by what it runs.
	body, ok := e.bodyReader.read(w, r, 16*maxBody)
	if !ok {
		return
	}
	var report model.Report
	if err := fast.Unmarshal(body, &report); err != nil || report.Host == "" {
		writeJSON(w, 400, core.Problem{Error: "not a report"}, 0)
		return
	}
	if e.backend.IsNearSocketLimit() {
		w.Header().Set("Connection", "close")
	}
	processEvent(closeUnlessOK{w}, e.backend, reportTimeout, func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: report} })
}

func (e *handler) health(w http.ResponseWriter, _ *http.Request) {
	processEvent(w, e.backend, pollTimeout, func(req uint64) core.Event { return core.HealthCheck{RequestID: req} })
}

// jobID is the job that a path names. One that no job can have is answered 404.
func jobID(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := r.PathValue("id")
	if !isValidJobID(id) {
		writeJSON(w, 404, core.Problem{Error: "no such job"}, 0)
		return "", false
	}
	return id, true
}

// closeUnlessOK closes the connection of whoever isn't answered with 200: a worker
// that is sent on has no use for it, and after a crash all workers of a large
// fleet come by at every controller, whose sockets are few.
type closeUnlessOK struct{ http.ResponseWriter }

// Unwrap is for package web, by the convention of net/http.
func (r closeUnlessOK) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r closeUnlessOK) WriteHeader(status int) {
	if status != http.StatusOK {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// allowMethod answers requests of any other method with 405.
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

// bodyReader reads requests' bodies within bounds.
type bodyReader struct{ freeBytes atomic.Int64 }

// smallBody is what nearly all bodies fit in.
const smallBody = 4 << 10

// read takes a body of at most that many bytes; a longer one is refused unread,
// and one for which there is no room now is told to come back.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	if r.ContentLength > most {
		rejectBody(w, &http.MaxBytesError{Limit: most})
		return nil, false
	}
	size := r.ContentLength
	if size < 0 {
		size = most // not announced
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
	body.Grow(int(min(size, smallBody)) + bytes.MinRead) // more is believed when it comes
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, most)); err != nil {
		rejectBody(w, err)
		return nil, false
	}
	return body.Bytes(), true
}

func rejectBody(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		writeJSON(w, 400, core.Problem{Error: "body too long"}, 0)
		return
	}
	writeJSON(w, 400, core.Problem{Error: "body not readable"}, 0)
}

func processEvent(w http.ResponseWriter, n Backend, wait time.Duration, make func(uint64) core.Event) {
	until := n.Now() + wait
	if at := web.ArrivedAt(w); !at.IsZero() {
		until -= time.Since(at) // it has waited for its turn
	}
	r, ok := n.Process(make, until, func() { web.AdmitNext(w) })
	if !ok {
		writeJSON(w, 503, core.Problem{Error: "overloaded"}, 1)
		return
	}
	body, err := fast.Marshal(r.Body)
	if err != nil {
		writeJSON(w, 500, core.Problem{Error: "reply not encodable"}, 0)
		return
	}
	if r.SendBefore != 0 && n.Now() >= r.SendBefore {
		// The entitlement behind the answer ended while it waited here.
		writeJSON(w, 503, core.Problem{Error: "no longer leading"}, 0)
		return
	}
	writeResponse(w, r.Status, body, r.RetryAfter)
}

func writeJSON(w http.ResponseWriter, status int, body any, retryAfter int) {
	b, err := json.Marshal(body)
	if err != nil {
		b = []byte(`{}`)
	}
	writeResponse(w, status, b, retryAfter)
}

func writeResponse(w http.ResponseWriter, status int, body []byte, retryAfter int) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h["Date"] = nil // costs a clock reading and serves nobody here
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	// An error means that the client has gone: nobody is left to tell.
	_, _ = w.Write(body)
}
