package core

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"
)

// Keys in the state service.
const (
	keyRoot           = "mf/"
	keyTerm           = keyRoot + "term"
	keyLeader         = keyRoot + "leader"
	keyTypes          = keyRoot + "types"
	keyClusterVersion = keyRoot + "forms"
	prefixJobs        = keyRoot + "j/"
	prefixMachines    = keyRoot + "m/" // a machine of the roster, by versions before the pages
	prefixPages       = keyRoot + "r/"
	prefixVersions    = keyRoot + "v/"
	// Sorts behind dirJobs: a listing brings a job before its progress.
	prefixProgress = keyRoot + "p/"
)

// replica is this node's copy of everything under root, kept up by watching.
type replica struct {
	loaded       bool
	loading      bool
	revision     uint64
	modRevisions map[string]uint64 // version of each key; of a removed one: its removal
	removed      map[string]bool
	watching     bool
	nextWatchAt  time.Duration // not before

	pendingReads   []func(ok bool) // want the state as of now or later
	readInFlight   bool
	nextReadAt     time.Duration
	lastContactAt  time.Duration // sending of the last request that was answered
	contactSince   time.Duration // contact without a gap since
	completeReadAt time.Duration // sending of the last read that made this copy complete
	hasContact     bool

	termModRevision   uint64
	termWinner        string // who won it
	term              uint64
	leaderNode        string
	leaderTerm        uint64
	leaderLease       uint64
	leaderModRevision uint64
	leaderKeyGoneAt   time.Duration // when the key was last seen to go
	typesModRevision  uint64
	clusterVersion    int // in use by the whole cluster: see version.go
}

func (r *replica) init() {
	r.modRevisions = map[string]uint64{}
	r.removed = map[string]bool{}
}

// storeContactTimeout is the silence after which the state service counts as not
// reached: a watch ends after a second at the latest.
func (s *State) storeContactTimeout() time.Duration { return s.electionConfig.KeyTTL }

func (s *State) recordStoreContact(sent time.Duration) {
	if !s.hasContact || sent > s.lastContactAt+s.storeContactTimeout() {
		s.contactSince = sent
	}
	s.hasContact = true
	s.lastContactAt = max(s.lastContactAt, sent)
}

func (s *State) sinceStoreContact() time.Duration {
	if !s.hasContact {
		return time.Hour
	}
	return s.now - s.lastContactAt
}

func (s *State) isStoreReachable() bool {
	return s.loaded && s.sinceStoreContact() < s.storeContactTimeout()
}

// load reads everything anew, page by page.
func (s *State) load() {
	s.loading = true
	var rev uint64
	first, sent := true, s.now
	seen := map[string]bool{}
	var page func(from string)
	page = func(from string) {
		s.callStore(StoreCall{Op: StoreList, Prefix: keyRoot, StartAfter: from, Limit: 500}, func(d StoreResult) {
			if d.Status != 200 {
				s.loading = false
				s.nextWatchAt = s.now + 300*time.Millisecond
				return
			}
			if first {
				// Changes after the first page's revision come by watch. An
				// empty store is at revision 0, and its first change must not
				// be missed.
				first, rev = false, d.Revision
			}
			for _, it := range d.Items {
				seen[it.Key] = true
				s.apply(it)
			}
			if d.More && len(d.Items) > 0 {
				page(d.Items[len(d.Items)-1].Key)
				return
			}
			// What a gap in the watch has hidden: keys that are gone.
			for _, k := range sortedKeys(s.modRevisions) {
				if !seen[k] && !s.removed[k] && s.modRevisions[k] <= rev {
					s.apply(Item{Key: k, ModRevision: rev, Removed: true})
				}
			}
			s.loading, s.loaded = false, true
			s.revision = max(s.revision, rev)
			s.recordCompleteRead(sent)
			s.voter.LimitPreviousReadLease(s.term)
			s.releasePreviousIncarnation()
			s.log(slog.LevelInfo, "state loaded", "rev", s.revision, "jobs", len(s.jobs), "machines", len(s.machines))
		})
	}
	page("")
}

// maintainWatch keeps one watch open. It blocks for a second at most, so that its
// answers also show that the state service is reached.
func (s *State) maintainWatch() {
	if s.now < s.nextWatchAt || s.loading || s.watching || !s.storeRate.AllowN(s.limiterTime(), 1) {
		return
	}
	if !s.loaded {
		s.load()
		return
	}
	s.dropTombstones()
	s.watching = true
	sent := s.now
	s.callStore(StoreCall{Op: StoreWatch, Prefix: keyRoot, AfterRevision: s.revision, BlockTimeout: time.Second, Timeout: 2 * time.Second}, func(d StoreResult) {
		s.watching = false
		s.nextWatchAt = max(s.now, sent+200*time.Millisecond)
		s.applyWatchResult(d, sent)
	})
}

// dropTombstones forgets removed keys, so that memory doesn't grow with every
// machine and job that ever was. A tombstone keeps older news of its key from
// bringing it back; with no request under way, none can come any more.
func (s *State) dropTombstones() {
	if s.readInFlight || s.txnInFlight || s.loading {
		return
	}
	for k := range s.removed {
		if s.modRevisions[k] <= s.revision {
			delete(s.modRevisions, k)
			delete(s.removed, k)
		}
	}
}

func (s *State) applyWatchResult(d StoreResult, sent time.Duration) bool {
	switch d.Status {
	case 200:
		for _, it := range d.Items {
			s.apply(it)
		}
		s.revision = max(s.revision, d.Revision)
		s.recordCompleteRead(sent)
		s.logDebug("state read", "sent", sent, "received", s.now, "rev", d.Revision, "changes", len(d.Items))
		return true
	case 410:
		// Too far behind: read everything again.
		s.loaded = false
	}
	s.nextWatchAt = max(s.nextWatchAt, s.now+200*time.Millisecond)
	return false
}

// linearizableRead calls f once the replica shows the state as of now or later, or with
// false when the state service doesn't answer. Nothing else may back an
// answer to a user: another node may have said something newer.
func (s *State) linearizableRead(f func(ok bool)) { s.pendingReads = append(s.pendingReads, f) }

func (s *State) sendLinearizableRead() {
	if len(s.pendingReads) == 0 || s.readInFlight || s.now < s.nextReadAt {
		return
	}
	if !s.loaded || s.sinceStoreContact() > s.storeContactTimeout() {
		s.finishReads(s.takePendingReads(), false)
		return
	}
	if !s.storeRate.AllowN(s.limiterTime(), 1) {
		return
	}
	s.readInFlight = true
	waiters := s.takePendingReads()
	sent := s.now
	s.callStore(StoreCall{Op: StoreWatch, Prefix: keyRoot, AfterRevision: s.revision, Timeout: time.Second}, func(d StoreResult) {
		s.readInFlight = false
		// Spaced so that polls alone can't use up the request rate.
		s.nextReadAt = sent + time.Duration(float64(4*s.electionConfig.Nodes)/s.cfg.StoreRPS*float64(time.Second))
		s.finishReads(waiters, s.applyWatchResult(d, sent))
	})
}

func (s *State) takePendingReads() []func(bool) {
	w := s.pendingReads
	s.pendingReads = nil
	return w
}

func (s *State) finishReads(waiters []func(bool), ok bool) {
	for _, f := range waiters {
		f(ok)
	}
}

// apply takes a key's new value, unless something newer is known. Watches,
// syncs, nudges and our own writes may bring the same news in any order.
func (s *State) apply(it Item) {
	if it.ModRevision <= s.modRevisions[it.Key] {
		return
	}
	s.modRevisions[it.Key] = it.ModRevision
	if it.Removed {
		s.removed[it.Key] = true
	} else {
		delete(s.removed, it.Key)
	}
	switch {
	case it.Key == keyTerm:
		var v termValue
		if json.Unmarshal(it.Value, &v) == nil {
			s.term, s.termModRevision, s.termWinner = max(s.term, v.Term), it.ModRevision, v.Node
			s.acknowledgeUpTo(it.ModRevision) // whoever won it has read all before
		}
		s.stepDownIfSuperseded()
	case it.Key == keyLeader:
		s.leaderNode, s.leaderTerm, s.leaderLease, s.leaderModRevision = "", 0, 0, 0
		s.leaderKeyGoneAt = s.now
		if !it.Removed {
			var v leaderValue
			if json.Unmarshal(it.Value, &v) == nil {
				s.leaderNode, s.leaderTerm, s.leaderLease, s.leaderModRevision = v.Node, v.Term, v.Lease, it.ModRevision
			}
		}
	case it.Key == keyClusterVersion:
		s.applyClusterVersion(it)
	case strings.HasPrefix(it.Key, prefixVersions):
		s.applyControllerVersion(strings.TrimPrefix(it.Key, prefixVersions), it)
	case it.Key == keyTypes:
		s.typesModRevision = it.ModRevision
		s.loadTypes(it.Value)
	case strings.HasPrefix(it.Key, prefixJobs):
		s.applyJobKey(strings.TrimPrefix(it.Key, prefixJobs), it)
	case strings.HasPrefix(it.Key, prefixProgress):
		if !it.Removed {
			s.applyBitmapKey(strings.TrimPrefix(it.Key, prefixProgress), it)
		}
	case strings.HasPrefix(it.Key, prefixPages):
		s.applyPage(strings.TrimPrefix(it.Key, prefixPages), it)
	case strings.HasPrefix(it.Key, prefixMachines):
		s.applyMachineKey(strings.TrimPrefix(it.Key, prefixMachines), it)
	}
}

// modRevision is the version to guard a key with: 0 where it does not exist.
func (s *State) modRevision(key string) uint64 {
	if s.removed[key] {
		return 0
	}
	return s.modRevisions[key]
}

// leaderValue is the leader's key, kept by the lease Grant.
type leaderValue struct {
	Node  string `json:"node"`
	Term  uint64 `json:"term"`
	Lease uint64 `json:"grant,omitempty"`
}

// termValue is the last term that was won, and by whom.
type termValue struct {
	Term uint64 `json:"term"`
	Node string `json:"node,omitempty"`
}
