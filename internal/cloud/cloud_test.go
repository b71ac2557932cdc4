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

// TestWireFormat checks each call and its response against the examples of the protocol.
func TestWireFormat(t *testing.T) {
	cases := []struct {
		call     core.CloudCall
		request  string
		status   int
		response string
		want     string // part of the result, as JSON
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
		var request string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			request = r.Method + " " + r.URL.RequestURI() + " " + string(b)
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.response)
		}))
		client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client(), Timeout: 10 * time.Second}
		result := client.Do(context.Background(), c.call)
		srv.Close()
		if request != c.request {
			t.Errorf("%s: got request %s\nwant %s", c.call.Op, request, c.request)
		}
		if b, _ := json.Marshal(result); !strings.Contains(string(b), c.want) {
			t.Errorf("%s: got result %s\nwant it to contain %s", c.call.Op, b, c.want)
		}
	}
}

// TestBrokenResponseMeansUnknownOutcome checks that a rental whose response is truncated is
// not treated as refused, because the machine may have been rented.
func TestBrokenResponseMeansUnknownOutcome(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"hosts":["n-0002`)
	}))
	defer srv.Close()
	client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client(), Timeout: 10 * time.Second}
	if result := client.Do(context.Background(), core.CloudCall{Op: core.CloudRent, Request: "r-1"}); result.Status != 0 {
		t.Errorf("truncated response: got status %d, want 0 (outcome unknown)", result.Status)
	}
}

// TestForeignNamesAreIgnored guards against fields of the cloud's responses that replace known
// ones because their names differ only by case or fold to them.
func TestForeignNamesAreIgnored(t *testing.T) {
	for _, c := range []struct {
		call           core.CloudCall
		response, want string // want is a part of the result, as JSON
	}{
		{core.CloudCall{Op: core.CloudTypes}, `{"flavors":[{"label":"g8","Label":"g9","cpus":96,"CPUs":1,"sites":["a"],"\u017fites":["b"]}],"Flavors":[]}`, `"label":"g8","cpus":96,`},
		{core.CloudCall{Op: core.CloudTypes}, `{"flavors":[{"label":"g8","sites":["a"],"Sites":["b"]}]}`, `"sites":["a"]`},
		{core.CloudCall{Op: core.CloudRent}, `{"hosts":["n-1"],"Hosts":["n-2"],"hoſts":["n-3"]}`, `"Hosts":["n-1"]`},
		{core.CloudCall{Op: core.CloudList}, `{"hosts":[{"id":"n-1","ID":"n-2","phase":"running","Phase":"failed"}],"truncated":true,"Truncated":false}`, `"id":"n-1","endpoint":"","flavor":"","site":"","loaners":false,"phase":"running","ageS":0}],"More":true`},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.response) }))
		client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client(), Timeout: 10 * time.Second}
		result := client.Do(context.Background(), c.call)
		srv.Close()
		if b, _ := json.Marshal(result); !strings.Contains(string(b), c.want) {
			t.Errorf("%s answered %s: got result %s\nwant it to contain %s", c.call.Op, c.response, b, c.want)
		}
	}
}
