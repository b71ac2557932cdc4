package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

// startFakeWorker starts a worker that gives the same response to every request, and
// returns its address and the last request that it received.
func startFakeWorker(t *testing.T, status int, response string) (addr string, sent *string) {
	t.Helper()
	sent = new(string)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		*sent = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, response)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), sent
}

// newClient returns a client whose clock always returns now.
func newClient(now time.Duration) *Client {
	return &Client{HTTP: http.DefaultClient, Timeout: 10 * time.Second, Now: func() time.Duration { return now }}
}

// TestCommands checks the request of a direct command, and the result for each response
// to it. Without a valid report of the worker, the result must have status 0, which means
// that the outcome is unknown.
func TestCommands(t *testing.T) {
	report := `{"host":"n-000231","tenure":2,"tick":90,"epoch":41,"pieces":[{"piece":"req-000412/4","try":2,"phase":"pulling"}]}`
	for _, c := range []struct {
		status   int
		response string
		want     int
	}{
		{200, report, 200},
		{409, report, 409},  // the worker executed nothing, but its report is valid
		{200, `{"ho`, 0},    // truncated: the outcome is unknown
		{400, `{}`, 0},      // no report: the outcome is unknown
		{502, `trouble`, 0}, // neither 200 nor 409: the outcome is unknown
	} {
		addr, sent := startFakeWorker(t, c.status, c.response)
		result := newClient(0).Do(context.Background(), core.AgentCall{CallID: 3, Endpoint: addr, Epoch: 41, Session: 2, SendBefore: time.Second,
			Orders: []model.Order{{Verb: model.OrderStart, Task: "req-000412/4", Attempt: 2}}})
		if want := `POST /commands {"epoch":41,"tenure":2,"orders":[{"verb":"start","piece":"req-000412/4","try":2}]}`; *sent != want {
			t.Errorf("got request %s\nwant %s", *sent, want)
		}
		if result.Status != c.want || result.CallID != 3 || (result.Report != nil) != (c.want != 0) {
			t.Errorf("response %d %s: got %+v, want CallID 3, and the status and the report of a 200 or 409 response with a valid report, otherwise status 0 and no report", c.status, c.response, result)
		}
	}
}

// TestNothingIsSentAfterLeadershipExpired checks that no command is sent once the leader's
// right to act has expired, which may happen between the decision and the sending if the
// process gets no processor time.
func TestNothingIsSentAfterLeadershipExpired(t *testing.T) {
	addr, sent := startFakeWorker(t, 200, `{}`)
	if result := newClient(time.Second).Do(context.Background(), core.AgentCall{Endpoint: addr, SendBefore: time.Second}); result.Status != 0 || *sent != "" {
		t.Errorf("command after the leadership expired: got request %q, want none, and a result with status 0", *sent)
	}
}

// TestAnswerIgnoresForeignNames guards against fields of a worker's answer that replace known
// ones because their names differ only by case or fold to them.
func TestAnswerIgnoresForeignNames(t *testing.T) {
	addr, _ := startFakeWorker(t, 200, `{"host":"n-1","tenure":2,"tick":90,"pieces":[{"piece":"req-000412/4","try":2,"phase":"running","Phase":"exited","cau\u017fe":"done"}],
		"HOST":"n-2","Tenure":3,"Tick":91,"Pieces":[]}`)
	report := newClient(0).Do(context.Background(), core.AgentCall{Endpoint: addr, SendBefore: time.Second}).Report
	want := model.Report{Host: "n-1", Session: 2, Seq: 90, Tasks: []model.TaskReport{{Task: "req-000412/4", Attempt: 2, State: model.TaskRunning}}}
	if report == nil || !reflect.DeepEqual(*report, want) {
		t.Errorf("got %+v, want %+v", report, want)
	}
}
