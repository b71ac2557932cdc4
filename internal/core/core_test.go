package core

import (
	"testing"
	"time"
)

// alone makes the state of a controller without peers, for tests that play
// the outside by hand.
func alone() *State {
	return New(Config{
		Self: "n0", Boot: 1, Teams: map[string]Team{"t": {}},
		ReportEvery: 1500 * time.Millisecond, Lease: 10 * time.Second, CancelIn: 30 * time.Second,
		StoreRPS: 150, StoreWrites: 50, ValueBytes: 32 << 10, TxnOps: 12, CloudRPS: 6, ListLag: 5 * time.Second,
		Tuning: DefaultTuning(),
	}, 0)
}

func storeCall(effects []Effect, op StoreOp) (StoreCall, bool) {
	for _, e := range effects {
		if c, ok := e.(StoreCall); ok && c.Op == op {
			return c, true
		}
	}
	return StoreCall{}, false
}

// TestRemovedKeysAreForgotten: the copy of the state must not grow with every
// key that ever was, and an old watch's news must not bring one back.
func TestRemovedKeysAreForgotten(t *testing.T) {
	s := alone()
	c, _ := storeCall(s.Step(0, Tick{}), StoreList)
	s.Step(time.Millisecond, StoreDone{Call: c.Call, Status: 200, Rev: 4, Items: []Item{{Key: dirMachine + "n-1", Value: []byte(`{}`), Stamp: 3}}})
	w, _ := storeCall(s.Step(time.Second, Tick{}), StoreWatch)
	gone := Item{Key: dirMachine + "n-1", Stamp: 5, Removed: true}
	s.Step(time.Second+time.Millisecond, StoreDone{Call: w.Call, Status: 200, Rev: 5, Items: []Item{gone}})
	s.apply(Item{Key: dirMachine + "n-1", Value: []byte(`{}`), Stamp: 3})
	if s.stamp(dirMachine+"n-1") != 0 || s.machines["n-1"] != nil {
		t.Error("old news brought a removed key back")
	}
	s.Step(2*time.Second, Tick{})
	if len(s.stamps) != 0 || len(s.removed) != 0 {
		t.Errorf("still kept: %v %v", s.stamps, s.removed)
	}
}

// TestFirstRevisionIsWatched: an empty store is at revision 0. A controller
// that watched from 1 on missed the term of the first election, and no later
// election could be won.
func TestFirstRevisionIsWatched(t *testing.T) {
	s := alone()
	c, ok := storeCall(s.Step(0, Tick{}), StoreList)
	if !ok {
		t.Fatal("nothing is read at the start")
	}
	s.Step(time.Millisecond, StoreDone{Call: c.Call, Status: 200, Rev: 0})
	w, ok := storeCall(s.Step(time.Second, Tick{}), StoreWatch)
	if !ok || w.After != 0 {
		t.Errorf("watch after %d (asked: %v), want 0", w.After, ok)
	}
}
