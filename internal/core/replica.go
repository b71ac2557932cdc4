package core

import (
	"encoding/json"
	"log/slog"
	"strings"
	"time"
)

// Keys in the state service.
const (
	root              = "mf/"
	keyTerm           = root + "term"
	keyLeader         = root + "leader"
	keyTypes          = root + "types"
	keyClusterVersion = root + "forms"
	dirJobs           = root + "j/"
	dirMachine        = root + "m/" // a machine of the roster, by versions before the pages
	dirPage           = root + "r/"
	dirVersions       = root + "v/"
	// Sorts behind dirJobs: a listing brings a job before its progress.
	dirProgress = root + "p/"
)

// replica is this node's copy of everything under root, kept up by watching.
type replica struct {
	loaded   bool
	loading  bool
	rev      uint64
	stamps   map[string]uint64 // version of each key; of a removed one: its removal
	removed  map[string]bool
	watching bool
	watchAt  time.Duration // not before

	waiters  []func(ok bool) // want the state as of now or later
	syncing  bool
	syncAt   time.Duration
	contact  time.Duration // sending of the last request that was answered
	okSince  time.Duration // contact without a gap since
	readAt   time.Duration // sending of the last read that made this copy complete
	hasTouch bool

	termStamp      uint64
	termNode       string // who won it
	term           uint64
	leaderNode     string
	leaderTerm     uint64
	leaderLease    uint64
	leaderStamp    uint64
	leaderGone     time.Duration // when the key was last seen to go
	typesStamp     uint64
	clusterVersion int // in use by the whole cluster: see version.go
}

func (r *replica) init() {
	r.stamps = map[string]uint64{}
	r.removed = map[string]bool{}
}

// storeGap is the silence after which the state service counts as not
// reached: a watch ends after a second at the latest.
func (s *State) storeGap() time.Duration { return s.ecf.KeyLife }

func (s *State) storeAnswered(sent time.Duration) {
	if !s.hasTouch || sent > s.contact+s.storeGap() {
		s.okSince = sent
	}
	s.hasTouch = true
	s.contact = max(s.contact, sent)
}

func (s *State) storeAge() time.Duration {
	if !s.hasTouch {
		return time.Hour
	}
	return s.now - s.contact
}

func (s *State) storeOK() bool { return s.loaded && s.storeAge() < s.storeGap() }

// load reads everything anew, page by page.
func (s *State) load() {
	s.loading = true
	var rev uint64
	first, sent := true, s.now
	seen := map[string]bool{}
	var page func(from string)
	page = func(from string) {
		s.store(StoreCall{Op: StoreList, Prefix: root, From: from, Limit: 500}, func(d StoreDone) {
			if d.Status != 200 {
				s.loading = false
				s.watchAt = s.now + 300*time.Millisecond
				return
			}
			if first {
				// Changes after the first page's revision come by watch. An
				// empty store is at revision 0, and its first change must not
				// be missed.
				first, rev = false, d.Rev
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
			for _, k := range ordered(s.stamps) {
				if !seen[k] && !s.removed[k] && s.stamps[k] <= rev {
					s.apply(Item{Key: k, Stamp: rev, Removed: true})
				}
			}
			s.loading, s.loaded = false, true
			s.rev = max(s.rev, rev)
			s.hasRead(sent)
			s.voter.Since(s.term)
			s.releaseEarlierLife()
			s.log(slog.LevelInfo, "state loaded", "rev", s.rev, "jobs", len(s.jobs), "machines", len(s.machines))
		})
	}
	page("")
}

// pumpWatch keeps one watch open. It blocks for a second at most, so that its
// answers also show that the state service is reached.
func (s *State) pumpWatch() {
	if s.now < s.watchAt || s.loading || s.watching || !s.storeRate.AllowN(s.at(), 1) {
		return
	}
	if !s.loaded {
		s.load()
		return
	}
	s.dropTombstones()
	s.watching = true
	sent := s.now
	s.store(StoreCall{Op: StoreWatch, Prefix: root, After: s.rev, Block: time.Second, Timeout: 2 * time.Second}, func(d StoreDone) {
		s.watching = false
		s.watchAt = max(s.now, sent+200*time.Millisecond)
		s.news(d, sent)
	})
}

// dropTombstones forgets removed keys, so that memory doesn't grow with every
// machine and job that ever was. A tombstone keeps older news of its key from
// bringing it back; with no request under way, none can come any more.
func (s *State) dropTombstones() {
	if s.syncing || s.writing || s.loading {
		return
	}
	for k := range s.removed {
		if s.stamps[k] <= s.rev {
			delete(s.stamps, k)
			delete(s.removed, k)
		}
	}
}

func (s *State) news(d StoreDone, sent time.Duration) bool {
	switch d.Status {
	case 200:
		for _, it := range d.Items {
			s.apply(it)
		}
		s.rev = max(s.rev, d.Rev)
		s.hasRead(sent)
		s.debug("state read", "sent", sent, "received", s.now, "rev", d.Rev, "changes", len(d.Items))
		return true
	case 410:
		// Too far behind: read everything again.
		s.loaded = false
	}
	s.watchAt = max(s.watchAt, s.now+200*time.Millisecond)
	return false
}

// fresh calls f once the replica shows the state as of now or later, or with
// false when the state service doesn't answer. Nothing else may back an
// answer to a user: another node may have said something newer.
func (s *State) fresh(f func(ok bool)) { s.waiters = append(s.waiters, f) }

func (s *State) pumpSync() {
	if len(s.waiters) == 0 || s.syncing || s.now < s.syncAt {
		return
	}
	if !s.loaded || s.storeAge() > s.storeGap() {
		s.endSync(s.takeWaiters(), false)
		return
	}
	if !s.storeRate.AllowN(s.at(), 1) {
		return
	}
	s.syncing = true
	waiters := s.takeWaiters()
	sent := s.now
	s.store(StoreCall{Op: StoreWatch, Prefix: root, After: s.rev, Timeout: time.Second}, func(d StoreDone) {
		s.syncing = false
		// Spaced so that polls alone can't use up the request rate.
		s.syncAt = sent + time.Duration(float64(4*s.ecf.Nodes)/s.cfg.StoreRPS*float64(time.Second))
		s.endSync(waiters, s.news(d, sent))
	})
}

func (s *State) takeWaiters() []func(bool) {
	w := s.waiters
	s.waiters = nil
	return w
}

func (s *State) endSync(waiters []func(bool), ok bool) {
	for _, f := range waiters {
		f(ok)
	}
}

// apply takes a key's new value, unless something newer is known. Watches,
// syncs, nudges and our own writes may bring the same news in any order.
func (s *State) apply(it Item) {
	if it.Stamp <= s.stamps[it.Key] {
		return
	}
	s.stamps[it.Key] = it.Stamp
	if it.Removed {
		s.removed[it.Key] = true
	} else {
		delete(s.removed, it.Key)
	}
	switch {
	case it.Key == keyTerm:
		var v termValue
		if json.Unmarshal(it.Value, &v) == nil {
			s.term, s.termStamp, s.termNode = max(s.term, v.Term), it.Stamp, v.Node
			s.shared(it.Stamp) // whoever won it has read all before
		}
		s.superseded()
	case it.Key == keyLeader:
		s.leaderNode, s.leaderTerm, s.leaderLease, s.leaderStamp = "", 0, 0, 0
		s.leaderGone = s.now
		if !it.Removed {
			var v leaderValue
			if json.Unmarshal(it.Value, &v) == nil {
				s.leaderNode, s.leaderTerm, s.leaderLease, s.leaderStamp = v.Node, v.Term, v.Lease, it.Stamp
			}
		}
	case it.Key == keyClusterVersion:
		s.clusterVersionChanged(it)
	case strings.HasPrefix(it.Key, dirVersions):
		s.nodeVersionChanged(strings.TrimPrefix(it.Key, dirVersions), it)
	case it.Key == keyTypes:
		s.typesStamp = it.Stamp
		s.typesFromStore(it.Value)
	case strings.HasPrefix(it.Key, dirJobs):
		s.jobChanged(strings.TrimPrefix(it.Key, dirJobs), it)
	case strings.HasPrefix(it.Key, dirProgress):
		if !it.Removed {
			s.bitmapChanged(strings.TrimPrefix(it.Key, dirProgress), it)
		}
	case strings.HasPrefix(it.Key, dirPage):
		s.pageChanged(strings.TrimPrefix(it.Key, dirPage), it)
	case strings.HasPrefix(it.Key, dirMachine):
		s.rosterChanged(strings.TrimPrefix(it.Key, dirMachine), it)
	}
}

// stamp is the version to guard a key with: 0 where it does not exist.
func (s *State) stamp(key string) uint64 {
	if s.removed[key] {
		return 0
	}
	return s.stamps[key]
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
