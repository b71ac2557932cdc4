package node

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/statestore"
)

// unreachableNetwork is a network without anybody on it.
type unreachableNetwork struct{}

func (unreachableNetwork) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("nobody there")
}

// TestUrgentEventsGoBeforeReports: with reports waiting, a leader still hears at once what
// its leadership hangs on. It lost its term to a flood of reports.
func TestUrgentEventsGoBeforeReports(t *testing.T) {
	n := &Controller{store: &statestore.Client{HTTP: &http.Client{Transport: unreachableNetwork{}}}, startedAt: time.Now(),
		pendingRequests: map[uint64]request{}, requests: make(chan request, 64), urgentEvents: make(chan core.Event, 64)}
	n.state = core.New(core.Config{Self: "a", Peers: []string{"b"}, ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	for i := range 32 {
		n.requests <- request{id: uint64(i), event: core.WorkerReport{RequestID: uint64(i)}, deadline: time.Hour, reply: make(chan core.Reply, 1)}
		n.urgentEvents <- core.PeerIn{From: "b", Msg: core.PeerMsg{Kind: core.MsgChange}}
	}
	for range 32 {
		if err := n.handleNext(t.Context(), nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	if len(n.urgentEvents) != 0 || len(n.requests) != 32 {
		t.Errorf("after 32 events %d urgent ones and %d reports wait, want 0 and 32", len(n.urgentEvents), len(n.requests))
	}
}

// TestExpiredRequestsAreDropped: what waited in the queue for longer than its asker is
// dropped unprocessed, what is answered late too; both askers are told.
func TestExpiredRequestsAreDropped(t *testing.T) {
	n := &Controller{store: &statestore.Client{HTTP: &http.Client{Transport: unreachableNetwork{}}}, startedAt: time.Now(), pendingRequests: map[uint64]request{}, requests: make(chan request, 4)}
	type end struct {
		status int
		ok     bool
	}
	ask := func(wait time.Duration) chan end {
		done := make(chan end, 1)
		go func() {
			r, ok := n.Process(func(req uint64) core.Event { return core.WorkerReport{RequestID: req} }, wait, func() {})
			done <- end{r.Status, ok}
		}()
		return done
	}
	done := ask(0)
	n.handleRequest(t.Context(), <-n.requests) // no state: it would fail if it were worked on
	if e := <-done; e.ok || len(n.pendingRequests) != 0 {
		t.Errorf("a report is worked on though its time was over: %+v", e)
	}

	n.state = core.New(core.Config{Self: "a", ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	done = ask(time.Hour)
	n.handleRequest(t.Context(), <-n.requests)
	if e := <-done; !e.ok || e.status != 421 || len(n.pendingRequests) != 0 {
		t.Errorf("a report to a controller that doesn't lead is answered %+v", e)
	}

	done = ask(time.Hour)
	q := <-n.requests
	q.deadline = 0
	n.pendingRequests[q.id] = q
	n.tick(t.Context())
	if e := <-done; e.ok || len(n.pendingRequests) != 0 {
		t.Errorf("a question without an answer in time ends as %+v", e)
	}
}
