package node

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"mulleinfall/internal/core"
	"mulleinfall/internal/statestore"
)

// nobody is a network without anybody on it.
type nobody struct{}

func (nobody) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("nobody there")
}

// TestRenewalsGoFirst: with reports waiting, a leader still hears at once what
// its leadership hangs on. It lost its term to a flood of reports.
func TestRenewalsGoFirst(t *testing.T) {
	n := &Node{store: &statestore.Client{HTTP: &http.Client{Transport: nobody{}}}, start: time.Now(),
		asked: map[uint64]question{}, questions: make(chan question, 64), urgent: make(chan core.Event, 64)}
	n.state = core.New(core.Config{Self: "a", Peers: []string{"b"}, ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	for i := range 32 {
		n.questions <- question{id: uint64(i), event: core.WorkerReport{RequestID: uint64(i)}, until: time.Hour, reply: make(chan core.Reply, 1)}
		n.urgent <- core.PeerIn{From: "b", Msg: core.PeerMsg{Kind: core.MsgChange}}
	}
	for range 32 {
		if err := n.next(t.Context(), nil, nil); err != nil {
			t.Fatal(err)
		}
	}
	if len(n.urgent) != 0 || len(n.questions) != 32 {
		t.Errorf("after 32 events %d urgent ones and %d reports wait, want 0 and 32", len(n.urgent), len(n.questions))
	}
}

// TestAbandonedQuestions: what waited in the queue for longer than its asker is
// dropped unprocessed, what is answered late too; both askers are told.
func TestAbandonedQuestions(t *testing.T) {
	n := &Node{store: &statestore.Client{HTTP: &http.Client{Transport: nobody{}}}, start: time.Now(), asked: map[uint64]question{}, questions: make(chan question, 4)}
	type end struct {
		status int
		ok     bool
	}
	ask := func(wait time.Duration) chan end {
		done := make(chan end, 1)
		go func() {
			r, ok := n.Ask(func(req uint64) core.Event { return core.WorkerReport{RequestID: req} }, wait, func() {})
			done <- end{r.Status, ok}
		}()
		return done
	}
	done := ask(0)
	n.take(t.Context(), <-n.questions) // no state: it would fail if it were worked on
	if e := <-done; e.ok || len(n.asked) != 0 {
		t.Errorf("a report is worked on though its time was over: %+v", e)
	}

	n.state = core.New(core.Config{Self: "a", ReportInterval: time.Second, Lease: 10 * time.Second, StoreRPS: 10, StoreWriteRPS: 10, CloudRPS: 10}, 0)
	done = ask(time.Hour)
	n.take(t.Context(), <-n.questions)
	if e := <-done; !e.ok || e.status != 421 || len(n.asked) != 0 {
		t.Errorf("a report to a controller that doesn't lead is answered %+v", e)
	}

	done = ask(time.Hour)
	q := <-n.questions
	q.until = 0
	n.asked[q.id] = q
	n.tick(t.Context())
	if e := <-done; e.ok || len(n.asked) != 0 {
		t.Errorf("a question without an answer in time ends as %+v", e)
	}
}
