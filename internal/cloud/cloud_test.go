package cloud

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// TestWireFormat checks each call and answer against the protocol's own examples.
func TestWireFormat(t *testing.T) {
	cases := []struct {
		call    core.CloudCall
		request string
		status  int
		answer  string
		want    string // of the result, as JSON
	}{
		{core.CloudCall{Op: core.CloudTypes}, "GET /flavors ", 200,
			`{"flavors":[{"label":"g8","cpus":96,"cards":8,"memoryGb":768,"localGb":200,"fetchGbPerS":1.0,"price":12.0,"marketPrice":4.5,"bootS":45,"sites":["a","b"]}]}`,
			`"cards":8,"memoryGb":768,"localGb":200,"fetchGbPerS":1,"price":12,"marketPrice":4.5,"bootS":45,"sites":["a","b"]`},
		{core.CloudCall{Op: core.CloudRent, Request: "r-17", Type: "g8", Zone: "a", Spot: true, Count: 12},
			`POST /machines {"hire":"r-17","flavor":"g8","site":"a","loaners":true,"howMany":12}`, 200,
			`{"hosts":["n-000231"]}`, `"Hosts":["n-000231"]`},
		{core.CloudCall{Op: core.CloudRent, Request: "r-18"},
			`POST /machines {"hire":"r-18","flavor":"","site":"","loaners":false,"howMany":0}`, 503,
			`{"error":"no capacity"}`, `"Status":503`},
		{core.CloudCall{Op: core.CloudReturn, Hosts: []string{"n-1", "n-2"}}, `POST /machines/return {"hosts":["n-1","n-2"]}`, 200, ``, `"Status":200`},
		{core.CloudCall{Op: core.CloudList, After: "n-000230", Limit: 500}, "GET /machines?after=n-000230&page=500 ", 200,
			`{"hosts":[{"id":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","site":"a","loaners":true,"phase":"running","ageS":61.5}],"truncated":true}`,
			`"id":"n-000231","endpoint":"10.1.0.232:9000","flavor":"g8","site":"a","loaners":true,"phase":"running","ageS":61.5}],"More":true`},
	}
	for _, c := range cases {
		var got string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			got = r.Method + " " + r.URL.RequestURI() + " " + string(b)
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.answer)
		}))
		cl := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client(), Timeout: 10 * time.Second}
		done := cl.Do(context.Background(), c.call)
		srv.Close()
		if got != c.request {
			t.Errorf("%s: sent %s\nwant %s", c.call.Op, got, c.request)
		}
		if b, _ := json.Marshal(done); !strings.Contains(string(b), c.want) {
			t.Errorf("%s: got %s\nwant %s", c.call.Op, b, c.want)
		}
	}
}

// TestBrokenResponseMeansUnknownOutcome: a rental whose answer is cut short may have been
// made, so it must not pass for refused.
func TestBrokenResponseMeansUnknownOutcome(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"hosts":["n-0002`)
	}))
	defer srv.Close()
	cl := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client(), Timeout: 10 * time.Second}
	if d := cl.Do(context.Background(), core.CloudCall{Op: core.CloudRent, Request: "r-1"}); d.Status != 0 {
		t.Errorf("status %d", d.Status)
	}
}
