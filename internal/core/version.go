package core

import (
	"encoding/json"
	"log/slog"
	"time"
)

// Versions of the program run side by side while a cluster is rolled over to a
// new one. What one writes, the other may read and rewrite: so the new one
// writes the former version's messages and values, and takes no work that the
// former doesn't know, until every controller has said that it knows the new
// version. That is noted in the state service, once, and holds from then on,
// whatever restarts or is cut off.

// Versions of messages and stored values.
const (
	versionFirst = iota // as before versions were counted
	versionGangs        // gangs, and bitmaps of finished tasks in parts as small as needed

	// NewestVersion is the newest that this program knows.
	NewestVersion = versionGangs
)

// clusterVersionValue is the version in use, in the state service.
type clusterVersionValue struct {
	Version int `json:"forms"`
}

// versionState is what concerns the version in use.
type versionState struct {
	raisingVersion   bool          // the write of the cluster version is under way
	ownVersionStored bool          // this controller's own version is in the state service
	storedOwnVersion int           // as noted there, perhaps by an earlier life
	storeVersionAt   time.Duration // not before
}

// applyClusterVersion takes the key of the version in use. It never falls.
func (s *State) applyClusterVersion(it Item) {
	var v clusterVersionValue
	if !it.Removed && json.Unmarshal(it.Value, &v) == nil && v.Version > s.clusterVersion {
		s.clusterVersion = v.Version
		s.log(slog.LevelInfo, "cluster version raised", "version", v.Version)
	}
}

// controllerVersionValue is the newest version that a controller knows, as it has
// noted itself in the state service.
type controllerVersionValue struct {
	Version int `json:"forms"`
}

// applyControllerVersion takes a controller's note. What came last counts: the note
// or what the controller says.
func (s *State) applyControllerVersion(node string, it Item) {
	var v controllerVersionValue
	if !it.Removed && json.Unmarshal(it.Value, &v) != nil {
		s.log(slog.LevelError, "unreadable note of a version", "controller", node)
		return
	}
	if node == s.cfg.Self {
		s.storedOwnVersion, s.ownVersionStored = v.Version, s.ownVersionStored && !it.Removed
		return
	}
	if p := s.peers[node]; p != nil {
		p.versionStored = !it.Removed
		if p.versionStored {
			p.version = v.Version
		}
	}
}

// storeOwnVersion writes down, once after a start, which version this controller
// knows. A leader elected later needs no word of it then: without the note, gangs
// were refused for as long as a controller that had been changed over was out of
// the leader's reach.
func (s *State) storeOwnVersion() {
	if s.cfg.Version == versionFirst || s.clusterVersion >= s.cfg.Version || s.ownVersionStored {
		return
	}
	// A cluster that is new altogether raises its version at once.
	if !s.isStoreReachable() || s.now < max(s.storeVersionAt, s.startedAt+s.electionConfig.PromiseDuration/4) {
		return
	}
	key := prefixVersions + s.cfg.Self
	if s.storedOwnVersion == s.cfg.Version && s.modRevision(key) != 0 {
		s.ownVersionStored = true
		return
	}
	s.storeVersionAt = s.now + s.electionConfig.PromiseDuration
	s.queueWrite(&write{
		change: Change{Key: key, Value: mustMarshal(controllerVersionValue{s.cfg.Version})}, deadline: s.storeVersionAt, class: classRegistry,
		done: func(r outcome) { s.ownVersionStored = s.ownVersionStored || r == written },
	})
}

// handlePeerVersion takes the version that a controller says it knows. One that was
// changed back must not be counted on by its note; late words of its earlier life
// cost no more than the note.
func (s *State) handlePeerVersion(node string, version int) {
	p := s.peers[node]
	p.version = version
	if version >= s.cfg.Version || !p.versionStored || !s.IsLeader() {
		return
	}
	p.versionStored = false
	s.log(slog.LevelInfo, "a controller runs a former version again", "controller", node, "version", version)
	s.queueWrite(&write{
		change: Change{Key: prefixVersions + node, Remove: true}, leaderTerm: s.leadership.Term,
		deadline: s.now + time.Hour, class: classRegistry, done: func(outcome) {},
	})
}

// raiseClusterVersion notes that every controller knows the newest version, or
// that there is nothing yet that another may have written.
func (s *State) raiseClusterVersion() {
	if s.clusterVersion >= s.cfg.Version || s.raisingVersion || !s.IsLeader() {
		return
	}
	for _, p := range s.peers {
		if !s.firstTerm && !s.knowsNewestVersion(p) {
			return
		}
	}
	s.raisingVersion = true
	s.queueWrite(&write{
		change: Change{Key: keyClusterVersion, Value: mustMarshal(clusterVersionValue{s.cfg.Version})}, leaderTerm: s.leadership.Term,
		deadline: s.now + 10*time.Second, class: classRegistry,
		done: func(outcome) { s.raisingVersion = false },
	})
}

// knowsNewestVersion says whether a controller surely knows this one's version: it has
// just said so, or its last word or note said so and it could not be reached since
// the election. A controller in reach is heard well within two promises, also one
// that was changed back after its note.
func (s *State) knowsNewestVersion(p *peerState) bool {
	if p.version < s.cfg.Version {
		return false
	}
	return s.now-p.heardAt <= s.electionConfig.PromiseDuration || s.now-s.electedAt > 2*s.electionConfig.PromiseDuration
}
