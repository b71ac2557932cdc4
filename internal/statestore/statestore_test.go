package statestore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinfall/internal/core"
)

// TestWireFormat checks each call and its response against the examples of the protocol.
func TestWireFormat(t *testing.T) {
	cases := []struct {
		call         core.StoreCall
		request      string // method, path and body
		status       int
		response     string
		want         core.StoreResult
		wantItemKeys string // each item as key@revision, with "-" before a removed key
	}{
		{core.StoreCall{Op: core.StoreList, Prefix: "c/", StartAfter: "c/7", Limit: 200}, "GET /keys?after=c%2F7&page=200&under=c%2F ", 200,
			`{"items":[{"k":"c/8","value":{"x":1},"stamp":412}],"truncated":true,"ledgerRev":431}`,
			core.StoreResult{Status: 200, Revision: 431, More: true}, "c/8@412"},
		{core.StoreCall{Op: core.StoreWatch, Prefix: "c/", AfterRevision: 431, BlockTimeout: 10 * time.Second}, "GET /watch?after=431&blockMs=10000&under=c%2F ", 200,
			`{"ledgerRev":433,"news":[{"set":"c/9","value":{},"stamp":433},{"remove":"c/d","stamp":432}]}`,
			core.StoreResult{Status: 200, Revision: 433}, "c/9@433 -c/d@432"},
		{core.StoreCall{Op: core.StoreTxn, Preconditions: []core.Precondition{{Key: "a/b"}}, Changes: []core.Change{
			{Key: "a/b", Value: json.RawMessage(`{"v":1}`), Lease: 7}, {Key: "c/d", Remove: true}}},
			`POST /multi {"guards":[{"k":"a/b","stamp":0}],"then":[{"set":"a/b","value":{"v":1},"tether":7},{"remove":"c/d"}]}`, 409,
			`{"failed":["a/b"],"ledgerRev":431}`, core.StoreResult{Status: 409, Revision: 431, FailedKeys: []string{"a/b"}}, ""},
		{core.StoreCall{Op: core.StoreLease, TTL: 5 * time.Second}, `POST /grants {"lifeMs":5000}`, 200, `{"tether":7}`, core.StoreResult{Status: 200, Lease: 7}, ""},
		{core.StoreCall{Op: core.StoreRenew, Lease: 7}, `POST /grants/7/touch `, 404, ``, core.StoreResult{Status: 404}, ""},
		{core.StoreCall{Op: core.StoreRevoke, Lease: 7}, `DELETE /grants/7 `, 503, `{"error":"trouble"}`, core.StoreResult{Status: 503, Err: "trouble"}, ""},
	}
	for _, c := range cases {
		var request string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			request = r.Method + " " + r.URL.RequestURI() + " " + string(b)
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.response)
		}))
		client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client()}
		c.call.Timeout = 10 * time.Second
		result := client.Do(context.Background(), c.call)
		srv.Close()
		if request != c.request {
			t.Errorf("%s: got request %s\nwant %s", c.call.Op, request, c.request)
		}
		var items []string
		for _, item := range result.Items {
			key := item.Key + "@" + json.Number(jsonInt(item.ModRevision)).String()
			if item.Removed {
				key = "-" + key
			}
			items = append(items, key)
		}
		result.Items = nil
		gotJSON, _ := json.Marshal(result)
		wantJSON, _ := json.Marshal(c.want)
		if string(gotJSON) != string(wantJSON) || strings.Join(items, " ") != c.wantItemKeys {
			t.Errorf("%s: got result %s with items %v\nwant %s with items %s", c.call.Op, gotJSON, items, wantJSON, c.wantItemKeys)
		}
	}
}

// jsonInt returns a number as JSON.
func jsonInt(v uint64) string { b, _ := json.Marshal(v); return string(b) }

// TestBrokenResponseMeansUnknownOutcome checks that a response that ends before its
// Content-Length is not treated as a refusal, because the change may have been made.
func TestBrokenResponseMeansUnknownOutcome(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"ledgerRev":`)
	}))
	defer srv.Close()
	client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client()}
	if result := client.Do(context.Background(), core.StoreCall{Op: core.StoreTxn, Timeout: 10 * time.Second}); result.Status != 0 {
		t.Errorf("truncated response: got status %d, want 0 (outcome unknown)", result.Status)
	}
}

// TestForeignNamesAreIgnored guards against fields of the state service's responses that
// replace known ones because their names differ only by case or fold to them.
func TestForeignNamesAreIgnored(t *testing.T) {
	const response = `{"items":[{"k":"c/8","K":"c/9","\u212a":"c/9","value":{"x":1},"Value":{"x":2},"stamp":412,"Stamp":9,"Remove":"c/8","ſet":"c/7"}],
		"truncated":true,"Truncated":false,"ledgerRev":431,"LedgerRev":9,"LEDGERREV":9,"Items":[]}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) }))
	defer srv.Close()
	client := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), HTTP: srv.Client()}
	got := client.Do(context.Background(), core.StoreCall{Op: core.StoreList, Timeout: 10 * time.Second})
	want := core.StoreResult{Status: 200, Revision: 431, More: true, Items: []core.Item{{Key: "c/8", Value: json.RawMessage(`{"x":1}`), ModRevision: 412}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
