package core

import (
	"testing"
	"time"

	"mulleinfall/internal/sched"
)

// TestUnwrittenUnresponsiveMark checks that a leader that is elected again ignores the
// unresponsive marks that it has never written. Such a mark in the registry tells a successor
// since when a machine has not been answered. A leader marks a machine, and its term ends
// before the mark is written; the next leader answers the machine. Elected again, the first
// leader must count the machine's lease from its own election, not from its unwritten mark.
// Otherwise it takes the machine for lost and starts its tasks a second time, as an earlier
// version did. A mark read from the state service does count.
func TestUnwrittenUnresponsiveMark(t *testing.T) {
	s := newSingleController()
	s.cfg.MaxClockSkew = time.Second
	s.loaded, s.hasContact, s.caughtUp = true, true, true
	s.leadership, s.teamUsage = newLeadership(s), map[string]sched.Resources{}
	s.pages = map[int]*registryPage{}
	s.apply(Item{Key: prefixPages + "1", Value: mustMarshal(map[string]machineRecord{"n-1": {Endpoint: "e", Type: "small", Zone: "a"}}), ModRevision: 5})
	m := s.machines["n-1"]
	s.wallMs, s.wallReadAt, s.now = 1_000_000, 20*time.Second, 20*time.Second
	m.reconciled, m.lastReplyAt = true, 15*time.Second
	s.maintainRegistry()
	if m.unresponsiveSince == 0 || m.storedUnresponsiveSince == 0 {
		t.Fatal("got no unresponsive mark for a machine that was not answered for 5 s")
	}
	s.stepDown("the state service is unreachable")

	s.now = 60 * time.Second
	s.wallMs, s.wallReadAt = 1_040_000, s.now
	s.leadership, s.caughtUp, s.electedAt = newLeadership(s), true, s.now
	s.takeOver()
	if m.lastReplyAt != s.electedAt {
		t.Errorf("with a mark that was never written: got last reply at %v, want %v, the election", m.lastReplyAt, s.electedAt)
	}

	s.apply(Item{Key: prefixPages + "1", Value: mustMarshal(map[string]machineRecord{"n-1": {Endpoint: "e", Type: "small", Zone: "a", UnresponsiveSinceMs: 1_035_000}}), ModRevision: 8})
	s.stepDown("the term has ended")
	s.leadership, s.caughtUp, s.electedAt = newLeadership(s), true, s.now
	s.takeOver()
	if want := s.now - 5*time.Second; m.lastReplyAt < want || m.lastReplyAt > want+2*s.cfg.MaxClockSkew {
		t.Errorf("with a mark in the registry: got last reply at %v, want %v or up to twice the clock skew later", m.lastReplyAt, want)
	}
}

// TestRegistryPageReadScansItsPageOnly checks that a registry page that is read again
// removes the machines that it no longer lists, without a scan of all machines, which would
// make each change of a page cost more the more machines there are.
func TestRegistryPageReadScansItsPageOnly(t *testing.T) {
	s := newSingleController()
	pageOf := func(hosts ...string) []byte {
		page := map[string]machineRecord{}
		for _, h := range hosts {
			page[h] = machineRecord{Endpoint: "e", Type: "small", Zone: "a"}
		}
		return mustMarshal(page)
	}
	s.apply(Item{Key: prefixPages + "1", Value: pageOf("n-1", "n-2"), ModRevision: 5})
	s.apply(Item{Key: prefixPages + "2", Value: pageOf("n-3"), ModRevision: 6})
	// Only a scan of all machines would find this one and unregister it.
	unlisted := s.ensureMachine("n-4")
	unlisted.registered, unlisted.storedPage = true, 1
	s.apply(Item{Key: prefixPages + "1", Value: pageOf("n-2"), ModRevision: 7})
	if s.machines["n-1"] != nil || s.machines["n-2"] == nil || s.machines["n-3"] == nil {
		t.Errorf("after n-1 was removed from its page: got machines %v, want n-2 and n-3 but not n-1", sortedKeys(s.machines))
	}
	if !unlisted.registered {
		t.Error("n-4, which no page lists, was unregistered: all machines were scanned for one page")
	}
	s.apply(Item{Key: prefixPages + "1", ModRevision: 8, Removed: true})
	if s.machines["n-2"] != nil || s.machines["n-3"] == nil {
		t.Errorf("after page 1 was removed: got machines %v, want n-3 but not n-2", sortedKeys(s.machines))
	}
}
