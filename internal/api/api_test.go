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

const validJob = `{"id":"req-000412","lane":"l","owner":"t","shape":"batch","rank":"high","pieces":16,
 "cpus":8.0,"cards":1.0,"memoryGb":64.0,"build":"img-07","pullGb":6.2,"flavors":["g8"],"site":null,
 "samePlace":true,"scatter":false,"loaners":true,"guessS":240.0,"snapshotEveryS":30.0,"snapshotCostS":4.0,"dueS":900.0,"new":[1]}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(validJob))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "req-000412" || j.Tasks != 16 || j.GPUs != 1 || !j.OneZone || !j.Spot || *j.DueS != 900 || j.Zone != "" || j.Types[0] != "g8" {
		t.Errorf("parsed as %+v", j)
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
			t.Errorf("%s: got %v, want a complaint about %s", c.to, err, c.want)
		}
	}
	// What may be null may be left out.
	if _, err := ParseJob([]byte(strings.NewReplacer(`"flavors":["g8"],`, "", `"site":null,`, "", `,"dueS":900.0`, "").Replace(validJob))); err != nil {
		t.Errorf("nullable fields left out: %v", err)
	}
}

// fakeBackend answers every event in the same way.
type fakeBackend struct {
	reply           core.Reply
	ok              bool
	now             time.Duration
	lastEvent       core.Event
	nearSocketLimit bool // few sockets are left
}

func (f *fakeBackend) Process(make func(uint64) core.Event, _ time.Duration, accepted func()) (core.Reply, bool) {
	accepted()
	f.lastEvent = make(1)
	return f.reply, f.ok
}
func (f *fakeBackend) Now() time.Duration      { return f.now }
func (f *fakeBackend) IsNearSocketLimit() bool { return f.nearSocketLimit }

func serveRequest(f *fakeBackend, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(f, 2*maxBody).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func TestStatusCodes(t *testing.T) {
	ok := &fakeBackend{reply: core.Reply{Status: 200, Body: core.JobStatus{ID: "req-000001", Phase: "queued"}}, ok: true}
	full := &fakeBackend{}
	cases := []struct {
		f                  *fakeBackend
		method, path, body string
		status             int
	}{
		{ok, "POST", "/api/jobs", validJob, 200},
		{ok, "POST", "/api/jobs", "{}", 400},
		{ok, "GET", "/api/jobs", "", 405},
		{ok, "GET", "/api/jobs/req-000001", "", 200},
		{ok, "GET", "/api/jobs/nonsense", "", 404},
		{ok, "DELETE", "/api/jobs/req-000001", "", 405},
		{ok, "POST", "/api/jobs/req-000001/withdraw", "", 200},
		{ok, "GET", "/api/jobs/req-000001/withdraw", "", 405},
		{ok, "POST", "/agent/beat", `{"host":"n-1","tenure":1,"tick":2,"epoch":0,"pieces":[]}`, 200},
		{ok, "POST", "/agent/beat", `{}`, 400},
		{ok, "GET", "/up", "", 200},
		{ok, "GET", "/elsewhere", "", 404},
		{full, "POST", "/api/jobs", validJob, 503},
		{full, "GET", "/api/jobs/req-000001", "", 503},
	}
	for _, c := range cases {
		w := serveRequest(c.f, c.method, c.path, c.body)
		if w.Code != c.status {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, w.Code, c.status)
		}
		if w.Code == 503 && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: 503 without Retry-After", c.method, c.path)
		}
	}
}

func TestLongBodyRefusedUnread(t *testing.T) {
	w := serveRequest(&fakeBackend{ok: true}, "POST", "/api/jobs", `{"id":"`+strings.Repeat("x", 70<<10)+`"}`)
	if w.Code != 400 || w.Header().Get("Connection") != "close" {
		t.Errorf("got %d, Connection %q", w.Code, w.Header().Get("Connection"))
	}
}

// TestLargeBodiesShareMemoryLimit: long bodies that are still on their way take a
// bounded part of the memory; whoever finds none left is told to come back at
// once, and short requests are served all the same.
func TestLargeBodiesShareMemoryLimit(t *testing.T) {
	f := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{}}, ok: true}
	h := Handler(f, 20<<10)
	beat := func(body io.Reader, length int64) *httptest.ResponseRecorder {
		w, r := httptest.NewRecorder(), httptest.NewRequest("POST", "/agent/beat", body)
		r.ContentLength = length
		h.ServeHTTP(w, r)
		return w
	}
	long := `{"host":"n-1","x":"` + strings.Repeat("x", 16<<10) + `"}`
	pr, pw := io.Pipe()
	first := make(chan int)
	go func() { first <- beat(pr, int64(len(long))).Code }()
	if _, err := io.WriteString(pw, long[:1]); err != nil { // its handler reads
		t.Fatal(err)
	}
	if w := beat(strings.NewReader(long), int64(len(long))); w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("a second long body is answered %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
	if w := beat(strings.NewReader(`{"host":"n-1"}`), 14); w.Code != 200 {
		t.Errorf("a short one beside it is answered %d", w.Code)
	}
	if _, err := io.WriteString(pw, long[1:]); err != nil {
		t.Fatal(err)
	}
	pw.Close()
	if code := <-first; code != 200 {
		t.Errorf("the first long body is answered %d", code)
	}
	if w := beat(strings.NewReader(long), int64(len(long))); w.Code != 200 {
		t.Errorf("a long body after it is answered %d", w.Code)
	}
}

// TestReportAllocations: what a report allocates on its way in and out stays
// bounded, and grows by the tasks that it lists and nothing else.
func TestReportAllocations(t *testing.T) {
	f := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 5, Orders: []model.Order{}}}, ok: true}
	h := Handler(f, 1<<20)
	cost := func(tasks int) float64 {
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
			if h.ServeHTTP(w, r); w.Code != 200 {
				t.Fatalf("answered %d", w.Code)
			}
		})
	}
	none, four, sixteen := cost(0), cost(4), cost(16)
	if none > 28 || four-none > 12 || sixteen-four > 30 {
		t.Errorf("allocations of reports with 0, 4 and 16 tasks: %v, %v, %v", none, four, sixteen)
	}
}

// TestReplyAfterLeadershipExpiredIsRefused: an answer that waited for the processor past the
// leader's entitlement must not renew a worker's lease.
func TestReplyAfterLeadershipExpiredIsRefused(t *testing.T) {
	f := &fakeBackend{reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 5}, SendBefore: time.Second}, ok: true, now: time.Second}
	if w := serveRequest(f, "POST", "/agent/beat", `{"host":"n-1"}`); w.Code != 503 {
		t.Errorf("got %d after the entitlement ended", w.Code)
	}
}

func TestReportAndOrdersWireFormat(t *testing.T) {
	f := &fakeBackend{ok: true, reply: core.Reply{Status: 200, Body: core.ReportReply{Epoch: 41, Orders: []model.Order{
		{Verb: model.OrderStart, Task: "req-000412/4", Attempt: 2},
		{Verb: model.OrderKill, Task: "req-000377/1", Attempt: 1, GraceS: new(float64)},
	}}}}
	w := serveRequest(f, "POST", "/agent/beat", `{"host":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","site":"a","loaners":true,
	 "tenure":1,"tick":88,"epoch":41,"recallS":7.5,"pieces":[{"piece":"req-000412/3","try":2,"phase":"exited","cause":"done"}]}`)
	want := `{"epoch":41,"orders":[{"verb":"start","piece":"req-000412/4","try":2},{"verb":"kill","piece":"req-000377/1","try":1,"windDownS":0}]}`
	if w.Body.String() != want {
		t.Errorf("orders: %s", w.Body)
	}
	got, _ := json.Marshal(f.lastEvent)
	for _, part := range []string{`"host":"n-000231"`, `"recallS":7.5`, `"tick":88`, `"cause":"done"`} {
		if !strings.Contains(string(got), part) {
			t.Errorf("report lost %s: %s", part, got)
		}
	}
	if f.lastEvent.(core.WorkerReport).Report.Seq != 88 || http.StatusOK != w.Code {
		t.Error(fmt.Sprint(f.lastEvent))
	}
}

// TestRefusedWorkersAreDisconnected: a worker that is sent on must not keep a socket of a
// controller that has few; one that is answered keeps its connection.
func TestRefusedWorkersAreDisconnected(t *testing.T) {
	for status, want := range map[int]string{200: "", 421: "close", 503: "close"} {
		f := &fakeBackend{ok: true, reply: core.Reply{Status: status, Body: core.Redirect{Leader: "peon-2"}}}
		w := serveRequest(f, "POST", "/agent/beat", `{"host":"n-1"}`)
		if w.Code != status || w.Header().Get("Connection") != want {
			t.Errorf("status %d, Connection %q; want %d, %q", w.Code, w.Header().Get("Connection"), status, want)
		}
	}
	// With few sockets left a worker connects anew for each report; a user
	// keeps the connection.
	f := &fakeBackend{ok: true, reply: core.Reply{Status: 200, Body: core.ReportReply{}}, nearSocketLimit: true}
	if w := serveRequest(f, "POST", "/agent/beat", `{"host":"n-1"}`); w.Code != 200 || w.Header().Get("Connection") != "close" {
		t.Errorf("few sockets left: a worker is answered %d and keeps its connection", w.Code)
	}
	if w := serveRequest(f, "GET", "/api/jobs/req-000001", ""); w.Header().Get("Connection") != "" {
		t.Error("few sockets left: a user's connection is closed")
	}
}
