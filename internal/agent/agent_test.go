package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/model"
)

func startFakeWorker(t *testing.T, status int, answer string) (addr string, sent *string) {
	t.Helper()
	sent = new(string)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		*sent = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), sent
}

func newClient(now time.Duration) *Client {
	return &Client{HTTP: http.DefaultClient, Timeout: 10 * time.Second, Now: func() time.Duration { return now }}
}

func TestCommands(t *testing.T) {
	report := `{"host":"n-000231","tenure":2,"tick":90,"epoch":41,"pieces":[{"piece":"req-000412/4","try":2,"phase":"pulling"}]}`
	for _, c := range []struct {
		status int
		answer string
		want   int
	}{
		{200, report, 200},
		{409, report, 409},  // nothing executed, but the report is as good
		{200, `{"ho`, 0},    // cut short: the outcome isn't known
		{400, `{}`, 0},      // no report: nothing is known
		{502, `trouble`, 0}, // not the worker's own words
	} {
		addr, sent := startFakeWorker(t, c.status, c.answer)
		d := newClient(0).Do(context.Background(), core.AgentCall{CallID: 3, Endpoint: addr, Epoch: 41, Session: 2, SendBefore: time.Second,
			Orders: []model.Order{{Verb: model.OrderStart, Task: "req-000412/4", Attempt: 2}}})
		if want := `POST /commands {"epoch":41,"tenure":2,"orders":[{"verb":"start","piece":"req-000412/4","try":2}]}`; *sent != want {
			t.Errorf("sent %s\nwant %s", *sent, want)
		}
		if d.Status != c.want || d.CallID != 3 || (d.Report != nil) != (c.want != 0) {
			t.Errorf("%d %s: got %+v", c.status, c.answer, d)
		}
	}
}

// TestNothingIsSentAfterLeadershipExpired: the processor may have been away
// between the decision and the sending.
func TestNothingIsSentAfterLeadershipExpired(t *testing.T) {
	addr, sent := startFakeWorker(t, 200, `{}`)
	if d := newClient(time.Second).Do(context.Background(), core.AgentCall{Endpoint: addr, SendBefore: time.Second}); d.Status != 0 || *sent != "" {
		t.Errorf("sent %q", *sent)
	}
}
