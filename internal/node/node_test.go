package node

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/statestore"
)

// unreachableNetwork is an HTTP transport on which every request fails.
type unreachableNetwork struct{}

func (unreachableNetwork) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("network unreachable")
}

// TestUrgentEventsGoBeforeReports checks that a controller handles the events that
// leadership depends on before waiting reports. Without this rule, a flood of reports
// delays the renewal of the leadership until the leader loses its term.
func TestUrgentEventsGoBeforeReports(t *testing.T) {
	c := &Controller{store: &statestore.Client{HTTP: &http.Client{Transport: unreachableNetwork{}}}, startedAt: time.Now(),
		pendingRequests: map[uint64]request{}, requests: make(chan request, 64), urgentEvents: make(chan core.Event, 64)}
	c.state = core.New(core.Config{Self: "a", Peers: []string{"b"}, ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	for i := range 32 {
		c.requests <- request{id: uint64(i), event: core.WorkerReport{RequestID: uint64(i)}, deadline: time.Hour, reply: make(chan core.Reply, 1)}
		c.urgentEvents <- core.PeerIn{From: "b", Msg: core.PeerMsg{Kind: core.MsgChange}}
	}
	for range 32 {
		if err := c.handleNext(t.Context(), nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.urgentEvents) != 0 || len(c.requests) != 32 {
		t.Errorf("after 32 events: got %d urgent events and %d reports waiting, want 0 and 32", len(c.urgentEvents), len(c.requests))
	}
}

// TestExpiredRequestsAreDropped checks that a request is dropped if its deadline passes
// before it is handled, and ended if its deadline passes while it waits for its reply. In
// both cases Process returns that there was no reply in time.
func TestExpiredRequestsAreDropped(t *testing.T) {
	c := &Controller{store: &statestore.Client{HTTP: &http.Client{Transport: unreachableNetwork{}}}, startedAt: time.Now(), pendingRequests: map[uint64]request{}, requests: make(chan request, 4)}
	type outcome struct {
		status int
		ok     bool
	}
	report := func(deadline time.Duration) chan outcome {
		done := make(chan outcome, 1)
		go func() {
			r, ok := c.Process(func(req uint64) core.Event { return core.WorkerReport{RequestID: req} }, deadline, func() {})
			done <- outcome{r.Status, ok}
		}()
		return done
	}
	done := report(0)
	c.handleRequest(t.Context(), <-c.requests) // c has no state yet: passing the report to the core would panic
	if got := <-done; got.ok || len(c.pendingRequests) != 0 {
		t.Errorf("report handled after its deadline: got %+v, want ok false and no pending request", got)
	}

	c.state = core.New(core.Config{Self: "a", ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	done = report(time.Hour)
	c.handleRequest(t.Context(), <-c.requests)
	if got := <-done; !got.ok || got.status != 421 || len(c.pendingRequests) != 0 {
		t.Errorf("report to a controller that is not the leader: got %+v, want status 421, ok true and no pending request", got)
	}

	done = report(time.Hour)
	req := <-c.requests
	req.deadline = 0
	c.pendingRequests[req.id] = req
	c.tick(t.Context())
	if got := <-done; got.ok || len(c.pendingRequests) != 0 {
		t.Errorf("request without a reply before its deadline: got %+v, want ok false and no pending request", got)
	}
}
