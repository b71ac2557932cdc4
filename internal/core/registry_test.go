package core

import (
	"testing"
	"time"

	"mulleinfall/internal/sched"
)

// TestUnwrittenUnresponsiveMark: a leader notes that a machine is silent, and its term ends
// before that is written; whoever leads next answers the machine. Leading again, it
// counts the machine's lease from its own election and not from its old note: it once
// took such machines for lost, and what they had ran twice.
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
		t.Fatal("a machine not answered for 5 s isn't noted as silent")
	}
	s.stepDown("the state service is out of reach")

	s.now = 60 * time.Second
	s.wallMs, s.wallReadAt = 1_040_000, s.now
	s.leadership, s.caughtUp, s.electedAt = newLeadership(s), true, s.now
	s.takeOver()
	if m.lastReplyAt != s.electedAt {
		t.Errorf("elected at %v, the machine counts as last answered at %v by a note that was never written", s.electedAt, m.lastReplyAt)
	}

	s.apply(Item{Key: prefixPages + "1", Value: mustMarshal(map[string]machineRecord{"n-1": {Endpoint: "e", Type: "small", Zone: "a", UnresponsiveSinceMs: 1_035_000}}), ModRevision: 8})
	s.stepDown("over")
	s.leadership, s.caughtUp, s.electedAt = newLeadership(s), true, s.now
	s.takeOver()
	if want := s.now - 5*time.Second; m.lastReplyAt < want || m.lastReplyAt > want+2*s.cfg.MaxClockSkew {
		t.Errorf("the machine counts as last answered at %v, want %v as the roster says, and the bound on the time of day", m.lastReplyAt, want)
	}
}

// TestRegistryPageReadScansItsPageOnly: a page of the roster that is read anew strikes those
// off that were on it before, without a look at the rest of the fleet.
func TestRegistryPageReadScansItsPageOnly(t *testing.T) {
	s := newSingleController()
	listed := func(hosts ...string) []byte {
		page := map[string]machineRecord{}
		for _, h := range hosts {
			page[h] = machineRecord{Endpoint: "e", Type: "small", Zone: "a"}
		}
		return mustMarshal(page)
	}
	s.apply(Item{Key: prefixPages + "1", Value: listed("n-1", "n-2"), ModRevision: 5})
	s.apply(Item{Key: prefixPages + "2", Value: listed("n-3"), ModRevision: 6})
	// Nothing but a look at all machines would find this one.
	elsewhere := s.ensureMachine("n-4")
	elsewhere.registered, elsewhere.storedPage = true, 1
	s.apply(Item{Key: prefixPages + "1", Value: listed("n-2"), ModRevision: 7})
	if s.machines["n-1"] != nil || s.machines["n-2"] == nil || s.machines["n-3"] == nil {
		t.Errorf("machines known after n-1 was struck off its page: %v", sortedKeys(s.machines))
	}
	if !elsewhere.registered {
		t.Error("the whole fleet was looked at for one page")
	}
	s.apply(Item{Key: prefixPages + "1", ModRevision: 8, Removed: true})
	if s.machines["n-2"] != nil || s.machines["n-3"] == nil {
		t.Errorf("machines known after the page was removed: %v", sortedKeys(s.machines))
	}
}
