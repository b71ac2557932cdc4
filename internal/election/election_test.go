package election

import (
	"testing"
	"time"
)

var cfg = Config{Self: "a", Controllers: 3, KeyTTL: 3 * time.Second, PromiseDuration: 3 * time.Second, ClockDrift: 0.0005}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestVoterWaitsAfterStart checks that a restarted process gives no promise while a
// forgotten one, which its previous incarnation gave, may be in force.
func TestVoterWaitsAfterStart(t *testing.T) {
	v := NewVoter(cfg, 0)
	if v.Grant(ms(2999), "a", 1) {
		t.Error("got a promise during the startup wait, want none")
	}
	if !v.Grant(ms(3100), "a", 1) {
		t.Error("got no promise after the startup wait, want one")
	}
}

func TestVoterSupportsOneAtATime(t *testing.T) {
	v := NewVoter(cfg, -time.Hour)
	steps := []struct {
		at         int
		controller string
		term       uint64
		want       bool
		why        string
	}{
		{0, "a", 5, true, "no other promise is in force"},
		{100, "b", 6, false, "the promise to a is in force"},
		{2000, "a", 5, true, "a renews its promise"},
		{4900, "b", 6, false, "the renewed promise is in force"},
		{5100, "b", 6, true, "the promise to a has expired"},
		{5200, "a", 5, false, "the term is lower"},
		{9000, "a", 5, false, "the term is lower, though no promise is in force"},
		{9000, "a", 6, true, "the promise to b has expired, and only one controller can win the key of a term"},
		{9100, "b", 7, false, "the term is higher, but the promise to a is in force"},
	}
	for _, step := range steps {
		if got := v.Grant(ms(step.at), step.controller, step.term); got != step.want {
			t.Errorf("at %d ms, controller %s, term %d: got promise %v, want %v: %s", step.at, step.controller, step.term, got, step.want, step.why)
		}
	}
}

func TestReleaseEndsOnlyOwnTerm(t *testing.T) {
	v := NewVoter(cfg, -time.Hour)
	v.Grant(0, "a", 5)
	v.Release("b", 9)
	v.Release("a", 4) // a late message of an earlier term
	if v.Grant(ms(10), "b", 6) {
		t.Fatal("got a promise to b after a late release, want none")
	}
	v.Release("a", 5)
	if !v.Grant(ms(20), "b", 6) {
		t.Error("got no promise to b after a release, want one")
	}
}

func TestElectionNeedsMajorityThenKey(t *testing.T) {
	leadership := NewLeadership(cfg, 0, 7, 0)
	leadership.RecordPromise(0, "a", 0)
	if leadership.ConfirmElection(ms(10), 0) {
		t.Fatal("got an election with the promise of one of three controllers, want none")
	}
	leadership = NewLeadership(cfg, 0, 7, 0)
	leadership.RecordPromise(0, "a", 0)
	leadership.RecordPromise(ms(5), "b", 0)
	if leadership.CanAct(ms(6)) {
		t.Error("got CanAct true without the leader key, want false")
	}
	if leadership.ConfirmElection(ms(3100), 0) {
		t.Error("got an election after the promises had expired, want none")
	}
}

func TestKeyOrMajoritySuffices(t *testing.T) {
	leadership := NewLeadership(cfg, 0, 7, 0)
	leadership.RecordPromise(0, "a", 0)
	leadership.RecordPromise(0, "b", 0)
	if !leadership.ConfirmElection(ms(10), 0) {
		t.Fatal("got no election with two of three promises and the key, want one")
	}
	// During an outage of the state service only promises are renewed.
	for at := 1000; at < 20000; at += 1000 {
		leadership.RecordPromise(ms(at), "a", ms(at))
		leadership.RecordPromise(ms(at), "c", ms(at))
		if !leadership.CanAct(ms(at + 900)) {
			t.Fatalf("promises requested at %d ms: got CanAct false 900 ms later on promises alone, want true", at)
		}
	}
	// After that only the key is renewed.
	leadership.RecordRenewal(ms(20500), ms(20400))
	if !leadership.CanAct(ms(23300)) || leadership.ValidUntil() > ms(23400) {
		t.Errorf("got leadership valid until %v, want a time between 23.3 s and 23.4 s on the key alone", leadership.ValidUntil())
	}
	// An expired leadership does not come back through late renewals.
	if leadership.CanAct(ms(23400)) {
		t.Fatal("got CanAct true after the key and the promises had expired, want false")
	}
	leadership.RecordRenewal(ms(23500), ms(23450))
	leadership.RecordPromise(ms(23500), "a", ms(23450))
	leadership.RecordPromise(ms(23500), "b", ms(23450))
	if leadership.CanAct(ms(23501)) {
		t.Error("got CanAct true after late renewals of an expired leadership, want false")
	}
}

// TestPromiseOfEarlierCampaignDoesNotCount checks that a late answer to an earlier
// campaign's request gives no majority: its voter may have been released since.
func TestPromiseOfEarlierCampaignDoesNotCount(t *testing.T) {
	leadership := NewLeadership(cfg, ms(100), 7, 0)
	leadership.RecordPromise(ms(110), "a", ms(100))
	leadership.RecordPromise(ms(110), "b", ms(90)) // requested before this campaign
	if leadership.HasMajority(ms(120)) {
		t.Error("got a majority with a promise that an earlier campaign requested, want none")
	}
}

// TestStartupWaitEndsEarly checks that a voter gives promises as soon as all other
// controllers have released it from those of its previous incarnation.
func TestStartupWaitEndsEarly(t *testing.T) {
	v := NewVoter(cfg, 0)
	v.EndStartupWait()
	if !v.Grant(ms(10), "a", 1) {
		t.Error("got no promise after the startup wait was ended, want one")
	}
}

// TestReadLeases checks for how long, and towards the leaders of which terms, a read
// lease binds its grantor, and for how long read leases let a leader act.
func TestReadLeases(t *testing.T) {
	readLeaseConfig := cfg
	readLeaseConfig.MaxStaleness, readLeaseConfig.ReadLeaseDuration = 10*time.Second, 20*time.Second
	voters := []struct {
		why  string
		do   func(v *Voter)
		at   int
		term uint64
		want bool
	}{
		{"the previous incarnation may have granted one", func(v *Voter) {}, 1000, 4, true},
		{"a lease of the previous incarnation has expired", func(v *Voter) {}, 20100, 4, false},
		{"the previous incarnation's lease was for a term that was over before this incarnation read the state", func(v *Voter) { v.LimitPreviousReadLease(4) }, 1000, 5, false},
		{"the holder of the previous incarnation's lease may still lead", func(v *Voter) { v.LimitPreviousReadLease(4) }, 1000, 4, true},
		{"no controller relies on the previous incarnation", func(v *Voter) { v.EndStartupWait() }, 1000, 4, false},
		{"granted by this incarnation", func(v *Voter) { v.EndStartupWait(); v.GrantReadLease(ms(500), 4) }, 20400, 4, true},
		{"granted by this incarnation, and expired", func(v *Voter) { v.EndStartupWait(); v.GrantReadLease(ms(500), 4) }, 20600, 4, false},
		{"granted by this incarnation to a leader whose term is over", func(v *Voter) { v.EndStartupWait(); v.GrantReadLease(ms(500), 4) }, 1000, 5, false},
		{"the end of the startup wait does not end a lease granted by this incarnation", func(v *Voter) { v.GrantReadLease(ms(500), 4); v.EndStartupWait() }, 1000, 4, true},
	}
	for _, c := range voters {
		v := NewVoter(readLeaseConfig, 0)
		c.do(v)
		if got := v.HasReadLease(ms(c.at), c.term); got != c.want {
			t.Errorf("%s: got read lease in force %v, want %v", c.why, got, c.want)
		}
	}
	// The leader is elected at 0, and its last read is of that time. Its key is
	// renewed all the time.
	leaderships := []struct {
		why  string
		do   func(l *Leadership)
		want int // last whole second at which the leader may act
	}{
		{"the last read limits the leadership", func(l *Leadership) {}, 9},
		{"a later read extends the leadership", func(l *Leadership) { l.RecordRead(ms(4000)) }, 13},
		{"a read lease from one of the two other controllers does not extend the leadership", func(l *Leadership) { l.RecordReadLease("b", ms(3000), 0, true) }, 9},
		{"read leases from both other controllers extend the leadership", func(l *Leadership) {
			l.RecordReadLease("b", ms(3000), 0, true)
			l.RecordReadLease("c", ms(5000), 0, true)
		}, 32},
		{"one grantor started after the last read", func(l *Leadership) {
			l.RecordReadLease("b", ms(3000), ms(2500), false)
			l.RecordReadLease("c", ms(5000), 0, true)
		}, 9},
		{"one grantor started after the last read and has read the state itself", func(l *Leadership) {
			l.RecordReadLease("b", ms(3000), ms(2500), true)
			l.RecordReadLease("c", ms(5000), 0, true)
		}, 32},
		{"one grantor started before its previous read lease expired", func(l *Leadership) {
			l.RecordReadLease("b", ms(3000), 0, true)
			l.RecordReadLease("b", ms(9000), ms(8000), false)
			l.RecordReadLease("c", ms(9000), 0, true)
		}, 38},
		{"a late answer to an earlier read does not shorten the leadership", func(l *Leadership) { l.RecordRead(ms(4000)); l.RecordRead(ms(1000)) }, 13},
	}
	for _, c := range leaderships {
		leadership := NewLeadership(readLeaseConfig, 0, 4, 3)
		leadership.RecordPromise(0, "a", 0)
		leadership.RecordPromise(0, "b", 0)
		if !leadership.ConfirmElection(0, 0) {
			t.Fatal("got no election with two of three promises and the key, want one")
		}
		c.do(leadership)
		for at := 1000; at < 60000; at += 1000 {
			leadership.RecordRenewal(ms(at), ms(at))
			if !leadership.CanAct(ms(at)) {
				if got := at/1000 - 1; got != c.want {
					t.Errorf("%s: got leader that may act until %d s, want %d s", c.why, got, c.want)
				}
				break
			}
		}
	}
}
