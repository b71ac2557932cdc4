package core

import (
	"log/slog"
	"strings"
	"time"

	"mulleinfall/internal/exactjson"
)

// Keys in the state service.
const (
	keyRoot           = "mf/"
	keyTerm           = keyRoot + "term"
	keyLeader         = keyRoot + "leader"
	keyTypes          = keyRoot + "types"
	keyClusterVersion = keyRoot + "forms"
	prefixJobs        = keyRoot + "j/"
	// prefixMachines begins the keys of single machines, as versions before the registry
	// pages wrote them.
	prefixMachines = keyRoot + "m/"
	prefixPages    = keyRoot + "r/" // pages of the machine registry
	prefixVersions = keyRoot + "v/" // versions that the controllers know
	// prefixProgress begins the keys of the bitmaps of finished tasks. It sorts after
	// prefixJobs, so a listing returns a job before its progress.
	prefixProgress = keyRoot + "p/"
)

// replica is this controller's copy of all keys under keyRoot, updated by a watch.
type replica struct {
	loaded       bool              // all keys were read, and watches can bring the later changes
	loading      bool              // a read of all keys is in progress
	revision     uint64            // the copy includes all changes up to this revision of the state service
	modRevisions map[string]uint64 // modification revision of each key, or revision of its removal
	removed      map[string]bool   // removed keys that are still in modRevisions
	watching     bool              // a watch is in flight
	nextWatchAt  time.Duration     // earliest start of the next watch

	pendingReads   []func(ok bool) // callbacks that wait for a linearizable read
	readInFlight   bool
	nextReadAt     time.Duration // earliest start of the next linearizable read
	lastContactAt  time.Duration // when the last answered request was sent
	contactSince   time.Duration // start of the current or last period of uninterrupted contact
	completeReadAt time.Duration // when the last read that made this copy complete was sent
	hasContact     bool          // the state service has answered at least once

	termModRevision uint64 // modification revision of the term key
	termWinner      string // controller that won the term
	term            uint64 // last term that was won

	// These are the leader key's value and modification revision, or "" and 0 if there
	// is no such key.
	leaderName        string
	leaderTerm        uint64
	leaderLeaseID     uint64 // id of the lease in the state service with which the key ends
	leaderModRevision uint64

	leaderKeyChangedAt time.Duration // when the leader key was last seen to change or be removed

	typesModRevision uint64
	clusterVersion   int // version that the whole cluster uses: see version.go
}

func (r *replica) init() {
	r.modRevisions = map[string]uint64{}
	r.removed = map[string]bool{}
}

// storeContactTimeout is the time without an answer after which the state service
// counts as unreachable. A watch returns after one second at the latest, so answers
// normally come more often.
func (s *State) storeContactTimeout() time.Duration { return s.electionConfig.KeyTTL }

// recordStoreContact records that the state service has answered a request that was
// sent at sentAt.
func (s *State) recordStoreContact(sentAt time.Duration) {
	if !s.hasContact || sentAt > s.lastContactAt+s.storeContactTimeout() {
		s.contactSince = sentAt
	}
	s.hasContact = true
	s.lastContactAt = max(s.lastContactAt, sentAt)
}

// sinceStoreContact returns how long ago the last answered request was sent, or an hour
// if there was none.
func (s *State) sinceStoreContact() time.Duration {
	if !s.hasContact {
		return time.Hour
	}
	return s.now - s.lastContactAt
}

// isStoreReachable reports whether the replica is loaded and the state service has
// answered recently.
func (s *State) isStoreReachable() bool {
	return s.loaded && s.sinceStoreContact() < s.storeContactTimeout()
}

// load reads all keys, page by page. That is needed after a start and whenever the replica
// may lack changes that no watch can bring.
func (s *State) load() {
	s.loading = true
	var firstRevision uint64
	onFirstPage, sentAt := true, s.now
	seen := map[string]bool{}
	var loadPage func(startAfter string)
	loadPage = func(startAfter string) {
		s.callStore(StoreCall{Op: StoreList, Prefix: keyRoot, StartAfter: startAfter, Limit: 500}, func(result StoreResult) {
			if result.Status != 200 {
				s.loading = false
				s.nextWatchAt = s.now + 300*time.Millisecond
				return
			}
			if onFirstPage {
				// The watch must start at the revision of the first page. With
				// that of a later page it would miss changes made between the
				// pages. firstRevision can't tell whether it is set, because 0
				// is also the revision of an empty store.
				onFirstPage, firstRevision = false, result.Revision
			}
			for _, item := range result.Items {
				seen[item.Key] = true
				s.apply(item)
			}
			if result.More && len(result.Items) > 0 {
				loadPage(result.Items[len(result.Items)-1].Key)
				return
			}
			// Keys that were removed while this controller was not watching are
			// missing from the listing.
			for _, key := range sortedKeys(s.modRevisions) {
				if !seen[key] && !s.removed[key] && s.modRevisions[key] <= firstRevision {
					s.apply(Item{Key: key, ModRevision: firstRevision, Removed: true})
				}
			}
			s.loading, s.loaded = false, true
			s.revision = max(s.revision, firstRevision)
			s.recordCompleteRead(sentAt)
			s.voter.LimitPreviousReadLease(s.term)
			s.releaseEarlierLeadership()
			s.log(slog.LevelInfo, "state loaded", "rev", s.revision, "jobs", len(s.jobs), "machines", len(s.machines))
		})
	}
	loadPage("")
}

// maintainWatch keeps one watch open, or first loads the replica. A watch blocks for one
// second at most, so its answers also show that the state service is reachable.
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
	sentAt := s.now
	s.callStore(StoreCall{Op: StoreWatch, Prefix: keyRoot, AfterRevision: s.revision, BlockTimeout: time.Second, Timeout: 2 * time.Second}, func(result StoreResult) {
		s.watching = false
		s.nextWatchAt = max(s.now, sentAt+200*time.Millisecond)
		s.applyWatchResult(result, sentAt)
	})
}

// dropTombstones forgets removed keys, so that memory does not grow with every key that
// ever existed. The revision of a key's removal, its tombstone, prevents an outdated
// answer from restoring the key. It is no longer needed when no request is in flight
// that could bring such an answer, and the next watch starts after the removal.
func (s *State) dropTombstones() {
	if s.readInFlight || s.txnInFlight || s.loading {
		return
	}
	for key := range s.removed {
		if s.modRevisions[key] <= s.revision {
			delete(s.modRevisions, key)
			delete(s.removed, key)
		}
	}
}

// applyWatchResult applies the answer to a watch or a linearizable read that was
// sent at sentAt. It reports whether the replica now has all changes up to that time.
func (s *State) applyWatchResult(result StoreResult, sentAt time.Duration) bool {
	switch result.Status {
	case 200:
		for _, item := range result.Items {
			s.apply(item)
		}
		s.revision = max(s.revision, result.Revision)
		s.recordCompleteRead(sentAt)
		s.logDebug("state read", "sent", sentAt, "received", s.now, "rev", result.Revision, "changes", len(result.Items))
		return true
	case 410:
		// The state service no longer keeps the changes since the replica's
		// revision, so everything is read again.
		s.loaded = false
	}
	s.nextWatchAt = max(s.nextWatchAt, s.now+200*time.Millisecond)
	return false
}

// linearizableRead calls done(true) once the replica shows the state as of now or
// later, or done(false) if the state service does not answer. A reply to a user that a
// later change could make wrong must be based on such a read: another controller may
// have given a user a newer answer.
func (s *State) linearizableRead(done func(ok bool)) { s.pendingReads = append(s.pendingReads, done) }

// sendLinearizableRead sends one request for all pending reads, if none is in flight. The
// request is a watch that does not block, which returns the changes that the replica
// lacks. While the replica is not loaded or the state service does not answer, the pending
// reads fail instead.
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
	reads := s.takePendingReads()
	sentAt := s.now
	s.callStore(StoreCall{Op: StoreWatch, Prefix: keyRoot, AfterRevision: s.revision, Timeout: time.Second}, func(result StoreResult) {
		s.readInFlight = false
		// The reads are spaced so that users' polls alone cannot use up the request
		// rate: all controllers together send a quarter of it at most.
		s.nextReadAt = sentAt + time.Duration(float64(4*s.electionConfig.Controllers)/s.cfg.StoreRPS*float64(time.Second))
		s.finishReads(reads, s.applyWatchResult(result, sentAt))
	})
}

func (s *State) takePendingReads() []func(bool) {
	reads := s.pendingReads
	s.pendingReads = nil
	return reads
}

// finishReads calls the callbacks of linearizable reads with their outcome.
func (s *State) finishReads(reads []func(bool), ok bool) {
	for _, done := range reads {
		done(ok)
	}
}

// apply applies a key's new value to the replica, unless a newer one is known.
// Watches, linearizable reads, change notices from peers and this controller's own
// writes may bring the same changes in any order.
func (s *State) apply(item Item) {
	if item.ModRevision <= s.modRevisions[item.Key] {
		return
	}
	s.modRevisions[item.Key] = item.ModRevision
	if item.Removed {
		s.removed[item.Key] = true
	} else {
		delete(s.removed, item.Key)
	}
	switch {
	case item.Key == keyTerm:
		var value termValue
		if exactjson.Unmarshal(item.Value, &value) == nil {
			s.term, s.termModRevision, s.termWinner = max(s.term, value.Term), item.ModRevision, value.Controller
			// Before it acts, the winner of the term reads all changes up to this
			// revision. So it knows of the cancellations among them, and they need
			// no acknowledgement from it.
			s.acknowledgeUpTo(item.ModRevision)
		}
		s.stepDownIfSuperseded()
	case item.Key == keyLeader:
		s.leaderName, s.leaderTerm, s.leaderLeaseID, s.leaderModRevision = "", 0, 0, 0
		s.leaderKeyChangedAt = s.now
		if !item.Removed {
			var value leaderValue
			if exactjson.Unmarshal(item.Value, &value) == nil {
				s.leaderName, s.leaderTerm, s.leaderLeaseID, s.leaderModRevision = value.Controller, value.Term, value.Lease, item.ModRevision
			}
		}
	case item.Key == keyClusterVersion:
		s.applyClusterVersion(item)
	case strings.HasPrefix(item.Key, prefixVersions):
		s.applyControllerVersion(strings.TrimPrefix(item.Key, prefixVersions), item)
	case item.Key == keyTypes:
		s.typesModRevision = item.ModRevision
		s.loadTypes(item.Value)
	case strings.HasPrefix(item.Key, prefixJobs):
		s.applyJobKey(strings.TrimPrefix(item.Key, prefixJobs), item)
	case strings.HasPrefix(item.Key, prefixProgress):
		if !item.Removed {
			s.applyBitmapKey(strings.TrimPrefix(item.Key, prefixProgress), item)
		}
	case strings.HasPrefix(item.Key, prefixPages):
		s.applyPage(strings.TrimPrefix(item.Key, prefixPages), item)
	case strings.HasPrefix(item.Key, prefixMachines):
		s.applyMachineKey(strings.TrimPrefix(item.Key, prefixMachines), item)
	}
}

// modRevision returns a key's modification revision, for use as a precondition. It is
// 0 for a key that does not exist.
func (s *State) modRevision(key string) uint64 {
	if s.removed[key] {
		return 0
	}
	return s.modRevisions[key]
}

// leaderValue is the value of the leader key. Lease is the id of a lease in the state
// service. When that lease ends, the state service removes the key.
type leaderValue struct {
	Controller string `json:"node"`
	Term       uint64 `json:"term"`
	Lease      uint64 `json:"grant,omitempty"`
}

// termValue is the value of the term key: the last term that was won, and the
// controller that won it.
type termValue struct {
	Term       uint64 `json:"term"`
	Controller string `json:"node,omitempty"`
}
