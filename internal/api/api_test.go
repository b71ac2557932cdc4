package api

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// validJob is a valid submission. It also has an unknown field, "new", which is ignored.
const validJob = `{"id":"req-000412","lane":"l","owner":"t","shape":"batch","rank":"high","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"build":"img-07","pullGb":6.2,"flavors":["g8"],"site":null,
 "samePlace":true,"scatter":false,"loaners":true,"guessS":240.0,"snapshotEveryS":30.0,"snapshotCostS":4.0,"dueS":900.0,"new":[1]}`

// TestParseJob checks that a valid submission is decoded, and that the error for an
// invalid one says which field is wrong, or that it is not a JSON object.
func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validJob))
	if err != nil {
		t.Fatal(err)
	}
	if job.ID != "req-000412" || job.Tasks != 16 || job.GPUs != 1 || !job.OneZone || !job.Spot || *job.DueS != 900 || job.Zone != "" || job.Types[0] != "g8" {
		t.Errorf("got %+v, want the values of validJob", job)
	}
	wrong := []struct{ from, to, want string }{
		{validJob, `[1]`, "not a JSON object"},
		{validJob, `{"id":`, "not a JSON object"},
		{validJob, `null`, "not a JSON object"},
		{`"pieces":16`, `"pieces":0`, "pieces"},
		{`"pieces":16`, `"pieces":100001`, "pieces"},
		{`"pieces":16`, `"pieces":1.5`, "pieces"},
		{`"pieces":16,`, ``, "pieces: missing"},
		{`"cpus":8.0`, `"cpus":-1`, "cpus"},
		{`"cpus":8.0`, `"cpus":null`, "cpus: missing"},
		{`"cpus":8.0`, `"cpus":"NaN"`, "cpus"},
		{`"id":"req-000412"`, `"id":"job-1"`, "id"},
		{`"shape":"batch"`, `"shape":"crowd"`, "shape"},
		{`"rank":"high"`, `"rank":"urgent"`, "rank"},
		{`"dueS":900.0`, `"dueS":-1`, "dueS"},
	}
	for _, c := range wrong {
		if _, err := ParseJob([]byte(strings.Replace(validJob, c.from, c.to, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("validJob changed to contain %q: got error %v, want one that contains %q", c.to, err, c.want)
		}
	}
	// Fields that may be null may also be left out.
	if _, err := ParseJob([]byte(strings.NewReplacer(`"flavors":["g8"],`, "", `"site":null,`, "", `,"dueS":900.0`, "").Replace(validJob))); err != nil {
		t.Errorf("nullable fields left out: got error %v, want none", err)
	}
}

// fakeBackend gives the same reply to every event, or none in time if ok is false.
type fakeBackend struct {
	reply           core.Reply
	ok              bool
	now             time.Duration
	lastEvent       core.Event
	nearSocketLimit bool
}

func (f *fakeBackend) Process(makeEvent func(uint64) core.Event, _ time.Duration, onAccepted func()) (core.Reply, bool) {
	onAccepted()
	f.lastEvent = makeEvent(1)
	return f.reply, f.ok
}
func (f *fakeBackend) Now() time.Duration      { return f.now }
func (f *fakeBackend) IsNearSocketLimit() bool { return f.nearSocketLimit }

func serveRequest(backend *fakeBackend, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(backend, 2*maxBody).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// TestStatusCodes checks the status of the response for each path and method, and that
// the 503 of an overloaded controller comes with Retry-After.
func TestStatusCodes(t *testing.T) {
	responding := &fakeBackend{reply: core.Reply{Status: 200, Body: core.JobStatus{ID: "req-000001", Phase: "queued"}}, ok: true}
	overloaded := &fakeBackend{}
	cases := []struct {
		backend            *fakeBackend
		method, path, body string
		status             int
	}{
		{responding, "POST", "/api/jobs", validJob, 200},
		{responding, "POST", "/api/jobs", "{}", 400},
		{responding, "GET", "/api/jobs", "", 405},
		{responding, "GET", "/api/jobs/req-000001", "", 200},
		{responding, "GET", "/api/jobs/nonsense", "", 404},
		{responding, "DELETE", "/api/jobs/req-000001", "", 405},
		{responding, "POST", "/api/jobs/req-000001/withdraw", "", 200},
		{responding, "GET", "/api/jobs/req-000001/withdraw", "", 405},
		{responding, "POST", "/agent/beat", `{"host":"n-1","tenure":1,"tick":2,"epoch":0,"pieces":[]}`, 200},
		{responding, "POST", "/agent/beat", `{}`, 400},
		{responding, "GET", "/up", "", 200},
		{responding, "GET", "/elsewhere", "", 404},
		{overloaded, "POST", "/api/jobs", validJob, 503},
		{overloaded, "GET", "/api/jobs/req-000001", "", 503},
	}
	for _, c := range cases {
		w := serveRequest(c.backend, c.method, c.path, c.body)
		if w.Code != c.status {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.path, w.Code, c.status)
		}
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: got 503 without Retry-After, want the header", c.method, c.path)
		}
	}
}

// TestLongBodyRefusedUnread checks that a body above the limit is refused and that its
// connection is closed: the unread rest would otherwise be read as the next request.
func TestLongBodyRefusedUnread(t *testing.T) {
	w := serveRequest(&fakeBackend{ok: true}, "POST", "/api/jobs", `{"id":"`+strings.Repeat("x", 70<<10)+`"}`)
	if w.Code != 400 || w.Header().Get("Connection") != "close" {
		t.Errorf("got status %d, Connection %q, want 400, \"close\"", w.Code, w.Header().Get("Connection"))
	}
}

// TestLargeBodiesShareMemoryLimit checks that the long bodies being read take a bounded
// part of the memory. A client with a long body beyond that gets 503 with Retry-After at
// once, and short requests are still served.
func TestLargeBodiesShareMemoryLimit(t *testing.T) {
	backend := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{}}, ok: true}
	handler := Handler(backend, 20<<10)
	report := func(body io.Reader, length int64) *httptest.ResponseRecorder {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/agent/beat", body)
		r.ContentLength = length
		handler.ServeHTTP(w, r)
		return w
	}
	longBody := `{"host":"n-1","x":"` + strings.Repeat("x", 16<<10) + `"}`
	bodyReader, bodyWriter := io.Pipe()
	first := make(chan int)
	go func() { first <- report(bodyReader, int64(len(longBody))).Code }()
	if _, err := io.WriteString(bodyWriter, longBody[:1]); err != nil { // returns once the handler reads the body
		t.Fatal(err)
	}
	if w := report(strings.NewReader(longBody), int64(len(longBody))); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("second long body: got status %d, Retry-After %q, want 503 with Retry-After", w.Code, w.Header().Get("Retry-After"))
	}
	if w := report(strings.NewReader(`{"host":"n-1"}`), 14); w.Code != 200 {
		t.Errorf("short body while a long one is read: got status %d, want 200", w.Code)
	}
	if _, err := io.WriteString(bodyWriter, longBody[1:]); err != nil {
		t.Fatal(err)
	}
	bodyWriter.Close()
	if code := <-first; code != 200 {
		t.Errorf("first long body: got status %d, want 200", code)
	}
	if w := report(strings.NewReader(longBody), int64(len(longBody))); w.Code != 200 {
		t.Errorf("long body after the first one: got status %d, want 200", w.Code)
	}
}

// TestReportAllocations bounds the allocations of a report and its reply, which should
// grow only with the number of tasks that the report lists.
func TestReportAllocations(t *testing.T) {
	backend := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 5, Orders: []model.Order{}}}, ok: true}
	handler := Handler(backend, 1<<20)
	allocations := func(tasks int) float64 {
		var list []string
		for i := range tasks {
			list = append(list, fmt.Sprintf(`{"piece":"req-000412/%d","try":16777217,"phase":"running"}`, i))
		}
		body := `{"host":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","site":"a","loaners":true,"tenure":1,"tick":88,"epoch":41,"recallS":null,"pieces":[` + strings.Join(list, ",") + `]}`
		r := httptest.NewRequest("POST", "/agent/beat", nil)
		r.ContentLength = int64(len(body))
		return testing.AllocsPerRun(100, func() {
			r.Body = io.NopCloser(strings.NewReader(body))
			w := httptest.NewRecorder()
			if handler.ServeHTTP(w, r); w.Code != 200 {
				t.Fatalf("got status %d, want 200", w.Code)
			}
		})
	}
	none, four, sixteen := allocations(0), allocations(4), allocations(16)
	if none > 28 || four-none > 12 || sixteen-four > 30 {
		t.Errorf("reports with 0, 4 and 16 tasks: got %v, %v and %v allocations, want at most 28 for no task, 12 more for 4 tasks and 30 more for 16 than for 4", none, four, sixteen)
	}
}

// TestReplyAfterLeadershipExpiredIsRefused checks that a reply to a report is not sent once
// the leader's right to act has expired. A reply can be delayed that long on a busy
// processor, and it would renew the worker's lease.
func TestReplyAfterLeadershipExpiredIsRefused(t *testing.T) {
	backend := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 5}, SendBefore: time.Second}, ok: true, now: time.Second}
	if w := serveRequest(backend, "POST", "/agent/beat", `{"host":"n-1"}`); w.Code != 503 {
		t.Errorf("reply after the leadership expired: got status %d, want 503", w.Code)
	}
}

// TestReportAndOrdersWireFormat checks the JSON names of a report and of the orders in its
// reply.
func TestReportAndOrdersWireFormat(t *testing.T) {
	backend := &fakeBackend{ok: true, reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 41, Orders: []model.Order{
		{Verb: model.OrderStart, Task: "req-000412/4", Attempt: 2},
		{Verb: model.OrderKill, Task: "req-000377/1", Attempt: 1, GraceS: new(float64)},
	}}}}
	w := serveRequest(backend, "POST", "/agent/beat", `{"host":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","site":"a","loaners":true,
	 "tenure":1,"tick":88,"epoch":41,"recallS":7.5,"pieces":[{"piece":"req-000412/3","try":2,"phase":"exited","cause":"done"}]}`)
	want := `{"epoch":41,"orders":[{"verb":"start","piece":"req-000412/4","try":2},{"verb":"kill","piece":"req-000377/1","try":1,"windDownS":0}]}`
	if w.Body.String() != want {
		t.Errorf("got body %s, want epoch 41, a start of req-000412/4 as attempt 2, and a kill of req-000377/1, attempt 1, with windDownS 0", w.Body)
	}
	got, _ := json.Marshal(backend.lastEvent)
	for _, part := range []string{`"host":"n-000231"`, `"recallS":7.5`, `"tick":88`, `"cause":"done"`} {
		if !strings.Contains(string(got), part) {
			t.Errorf("got event %s, want it to contain %s", got, part)
		}
	}
	if backend.lastEvent.(core.WorkerReport).Report.Seq != 88 || http.StatusOK != w.Code {
		t.Error(fmt.Sprint(backend.lastEvent))
	}
}

// TestRefusedWorkersAreDisconnected checks that the connection of a worker is closed if its
// report is refused, because the sockets of a controller are few, and is kept otherwise.
func TestRefusedWorkersAreDisconnected(t *testing.T) {
	for status, want := range map[int]string{200: "", 421: "close", 503: "close"} {
		backend := &fakeBackend{ok: true, reply: core.Reply{Status: status, Body: core.Redirect{Leader: "c1"}}}
		w := serveRequest(backend, "POST", "/agent/beat", `{"host":"n-1"}`)
		if w.Code != status || w.Header().Get("Connection") != want {
			t.Errorf("got status %d, Connection %q, want %d, %q", w.Code, w.Header().Get("Connection"), status, want)
		}
	}
	// When few sockets are left, the connection of a worker is closed after each report.
	// Users keep theirs.
	backend := &fakeBackend{ok: true, reply: core.Reply{Status: 200, Body: core.ReportReply{}}, nearSocketLimit: true}
	if w := serveRequest(backend, "POST", "/agent/beat", `{"host":"n-1"}`); w.Code != 200 || w.Header().Get("Connection") != "close" {
		t.Errorf("reply to a worker when few sockets are left: got status %d, want 200 with Connection: close", w.Code)
	}
	if w := serveRequest(backend, "GET", "/api/jobs/req-000001", ""); w.Header().Get("Connection") != "" {
		t.Error("reply to a user when few sockets are left: got a Connection header, want none")
	}
}
