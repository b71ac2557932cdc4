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

// Asker hands an event to the node, says so by calling accepted, and waits for
// the reply until the time given. The event is made from the number that the
// reply will carry. False: no reply in time.
type Asker interface {
	Ask(make func(req uint64) core.Event, until time.Duration, accepted func()) (core.Reply, bool)
	Now() time.Duration
	// Crowded says that sockets are running out.
	Crowded() bool
}

// Users wait 5 s for a submission, 2 s for a poll, workers 4 s for a report:
// each is told before that.
const (
	submitWait = 4 * time.Second
	pollWait   = 1800 * time.Millisecond
	reportWait = 3 * time.Second
)

// Handler serves all paths. Bodies that are longer than most requests take no
// more than room bytes at a time: with a connection each, a thousand clients
// could otherwise fill the memory of a small machine.
func Handler(n Asker, room int64) http.Handler {
	e := &edge{node: n}
	e.bodies.room.Store(room)
	mux := http.NewServeMux()
	for _, route := range []struct {
		path, method string
		serve        http.HandlerFunc
	}{
		{"/api/jobs", http.MethodPost, e.submit},
		{"/api/jobs/{id}", http.MethodGet, e.poll},
		{"/api/jobs/{id}/withdraw", http.MethodPost, e.withdraw},
		{"/agent/beat", http.MethodPost, e.report},
		{"/up", http.MethodGet, e.up},
	} {
		mux.HandleFunc(route.path, only(route.method, route.serve))
	}
	return mux
}

// edge turns requests into the core's events, and its replies into answers.
type edge struct {
	node   Asker
	bodies bodies
}

func (e *edge) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := e.bodies.read(w, r, maxBody)
	if !ok {
		return
	}
	job, err := ParseJob(body)
	if err != nil {
		send(w, 400, core.Problem{Error: err.Error()}, 0)
		return
	}
	wall := time.Now().UnixMilli()
	ask(w, e.node, submitWait, func(req uint64) core.Event { return core.Submit{RequestID: req, Job: *job, WallMs: wall} })
}

func (e *edge) poll(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		ask(w, e.node, pollWait, func(req uint64) core.Event { return core.Poll{RequestID: req, ID: id} })
	}
}

func (e *edge) withdraw(w http.ResponseWriter, r *http.Request) {
	if id, ok := jobID(w, r); ok {
		ask(w, e.node, submitWait, func(req uint64) core.Event { return core.Cancel{RequestID: req, ID: id} })
	}
}

func (e *edge) report(w http.ResponseWriter, r *http.Request) {
	// A worker's list may be long; it is bounded by what it runs.
	body, ok := e.bodies.read(w, r, 16*maxBody)
	if !ok {
		return
	}
	var report model.Report
	if err := fast.Unmarshal(body, &report); err != nil || report.Host == "" {
		send(w, 400, core.Problem{Error: "not a report"}, 0)
		return
	}
	if e.node.Crowded() {
		w.Header().Set("Connection", "close")
	}
	ask(refusals{w}, e.node, reportWait, func(req uint64) core.Event { return core.WorkerReport{RequestID: req, Report: report} })
}

func (e *edge) up(w http.ResponseWriter, _ *http.Request) {
	ask(w, e.node, pollWait, func(req uint64) core.Event { return core.HealthCheck{RequestID: req} })
}

// jobID is the job that a path names. One that no job can have is answered 404.
func jobID(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := r.PathValue("id")
	if !validID(id) {
		send(w, 404, core.Problem{Error: "no such job"}, 0)
		return "", false
	}
	return id, true
}

// refusals closes the connection of whoever isn't answered with 200: a worker
// that is sent on has no use for it, and after a crash all workers of a large
// fleet come by at every controller, whose sockets are few.
type refusals struct{ http.ResponseWriter }

// Unwrap is for package web, by the convention of net/http.
func (r refusals) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r refusals) WriteHeader(status int) {
	if status != http.StatusOK {
		r.Header().Set("Connection", "close")
	}
	r.ResponseWriter.WriteHeader(status)
}

// only answers requests of any other method with 405.
func only(method string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			send(w, 405, core.Problem{Error: "method not allowed"}, 0)
			return
		}
		serve(w, r)
	}
}

// bodies reads requests' bodies within bounds.
type bodies struct{ room atomic.Int64 }

// usualBody is what nearly all bodies fit in.
const usualBody = 4 << 10

// read takes a body of at most that many bytes; a longer one is refused unread,
// and one for which there is no room now is told to come back.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	if r.ContentLength > most {
		refuse(w, &http.MaxBytesError{Limit: most})
		return nil, false
	}
	size := r.ContentLength
	if size < 0 {
		size = most // not announced
	}
	if size > usualBody {
		defer b.room.Add(size)
		if b.room.Add(-size) < 0 {
			w.Header().Set("Connection", "close")
			send(w, 503, core.Problem{Error: "overloaded"}, 1)
			return nil, false
		}
	}
	var body bytes.Buffer
	body.Grow(int(min(size, usualBody)) + bytes.MinRead) // more is believed when it comes
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, most)); err != nil {
		refuse(w, err)
		return nil, false
	}
	return body.Bytes(), true
}

func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		send(w, 400, core.Problem{Error: "body too long"}, 0)
		return
	}
	send(w, 400, core.Problem{Error: "body not readable"}, 0)
}

func ask(w http.ResponseWriter, n Asker, wait time.Duration, make func(uint64) core.Event) {
	until := n.Now() + wait
	if at := web.Arrived(w); !at.IsZero() {
		until -= time.Since(at) // it has waited for its turn
	}
	r, ok := n.Ask(make, until, func() { web.Next(w) })
	if !ok {
		send(w, 503, core.Problem{Error: "overloaded"}, 1)
		return
	}
	body, err := fast.Marshal(r.Body)
	if err != nil {
		send(w, 500, core.Problem{Error: "reply not encodable"}, 0)
		return
	}
	if r.SendBefore != 0 && n.Now() >= r.SendBefore {
		// The entitlement behind the answer ended while it waited here.
		send(w, 503, core.Problem{Error: "no longer leading"}, 0)
		return
	}
	write(w, r.Status, body, r.RetryAfter)
}

func send(w http.ResponseWriter, status int, body any, retryAfter int) {
	b, err := json.Marshal(body)
	if err != nil {
		b = []byte(`{}`)
	}
	write(w, status, b, retryAfter)
}

func write(w http.ResponseWriter, status int, body []byte, retryAfter int) {
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
