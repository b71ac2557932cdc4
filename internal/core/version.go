package core

import (
	"log/slog"
	"time"

	"mulleinfall/internal/exactjson"
)

// During a rolling upgrade, two versions of the program run side by side, and each may
// read and rewrite what the other writes. The new program therefore writes the messages
// and values of the previous version, and accepts no work that the previous version
// does not know, until every controller has said that it knows the new version. Then
// the cluster version is raised in the state service. It is never lowered, whatever
// restarts or is cut off later.

// Versions of messages and stored values.
const (
	versionFirst = iota // the version before versions were numbered
	versionGangs        // adds gangs, and bitmaps of finished tasks that are stored in parts

	// NewestVersion is the newest version that this program knows.
	NewestVersion = versionGangs
)

// clusterVersionValue is the cluster version as stored in the state service.
type clusterVersionValue struct {
	Version int `json:"forms"`
}

// versionState holds the state of agreeing on the cluster version.
type versionState struct {
	raisingVersion   bool          // the write of the cluster version is queued or in flight
	ownVersionStored bool          // this incarnation's version is in the state service
	storedOwnVersion int           // this controller's version as stored, perhaps by a previous incarnation
	storeVersionAt   time.Duration // earliest time of the next attempt to store it
}

// applyClusterVersion applies the stored cluster version. It never decreases.
func (s *State) applyClusterVersion(item Item) {
	var value clusterVersionValue
	if !item.Removed && exactjson.Unmarshal(item.Value, &value) == nil && value.Version > s.clusterVersion {
		s.clusterVersion = value.Version
		s.log(slog.LevelInfo, "cluster version raised", "version", value.Version)
	}
}

// controllerVersionValue is the newest version that a controller knows, as the
// controller has stored it in the state service.
type controllerVersionValue struct {
	Version int `json:"forms"`
}

// applyControllerVersion applies a controller's stored version, or its removal. What
// arrived last counts, whether it is the stored version or a message from the controller.
func (s *State) applyControllerVersion(controller string, item Item) {
	var value controllerVersionValue
	if !item.Removed && exactjson.Unmarshal(item.Value, &value) != nil {
		s.log(slog.LevelError, "stored version of a controller cannot be decoded", "controller", controller)
		return
	}
	if controller == s.cfg.Self {
		s.storedOwnVersion, s.ownVersionStored = value.Version, s.ownVersionStored && !item.Removed
		return
	}
	if peer := s.peers[controller]; peer != nil {
		peer.versionStored = !item.Removed
		if peer.versionStored {
			peer.version = value.Version
		}
	}
}

// storeOwnVersion stores, once after a start, which version this controller knows, unless
// the cluster version is as high. A leader that is elected later then does not depend on a
// message from this controller. Without the stored version, gangs are refused for as long
// as the leader cannot reach a controller that has already been upgraded.
func (s *State) storeOwnVersion() {
	if s.cfg.Version == versionFirst || s.clusterVersion >= s.cfg.Version || s.ownVersionStored {
		return
	}
	// The short wait avoids these writes in a new cluster, whose first leader raises
	// the cluster version at once.
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
		done: func(result outcome) { s.ownVersionStored = s.ownVersionStored || result == written },
	})
}

// handlePeerVersion applies the version that a controller says it knows. If the
// controller was rolled back, so that its stored version no longer holds, the leader
// removes the stored version. A late message from the controller's previous incarnation
// may wrongly cause the removal, which has no other effect than that later leaders
// must wait for a message.
func (s *State) handlePeerVersion(controller string, version int) {
	peer := s.peers[controller]
	peer.version = version
	if version >= s.cfg.Version || !peer.versionStored || !s.IsLeader() {
		return
	}
	peer.versionStored = false
	s.log(slog.LevelInfo, "a controller was rolled back to a previous version", "controller", controller, "version", version)
	s.queueWrite(&write{
		change: Change{Key: prefixVersions + controller, Remove: true}, leaderTerm: s.leadership.Term,
		deadline: s.now + time.Hour, class: classRegistry, done: func(outcome) {},
	})
}

// raiseClusterVersion raises the cluster version to this controller's version once every
// controller knows that version. In the first term it does so at once, because no other
// controller can have written anything yet.
func (s *State) raiseClusterVersion() {
	if s.clusterVersion >= s.cfg.Version || s.raisingVersion || !s.IsLeader() {
		return
	}
	for _, peer := range s.peers {
		if !s.firstTerm && !s.knowsNewestVersion(peer) {
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

// knowsNewestVersion reports whether a peer certainly knows this controller's version.
// Either the peer has said so recently, or its last message or stored version says so and
// two promise durations have passed since the election. A reachable peer sends a message
// well within that time, so if it was rolled back after it stored its version, that is
// noticed.
func (s *State) knowsNewestVersion(peer *peerState) bool {
	if peer.version < s.cfg.Version {
		return false
	}
	return s.now-peer.heardAt <= s.electionConfig.PromiseDuration || s.now-s.electedAt > 2*s.electionConfig.PromiseDuration
}
