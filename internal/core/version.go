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

// clusterVersionChanged takes the key of the version in use. It never falls.
func (s *State) clusterVersionChanged(it Item) {
	var v clusterVersionValue
	if !it.Removed && json.Unmarshal(it.Value, &v) == nil && v.Version > s.clusterVersion {
		s.clusterVersion = v.Version
		s.log(slog.LevelInfo, "cluster version raised", "version", v.Version)
	}
}

// raiseClusterVersion notes that every controller knows the newest version, or
// that there is nothing yet that another may have written.
func (s *State) raiseClusterVersion() {
	if s.clusterVersion >= s.cfg.Version || s.raisingVersion || !s.Leading() {
		return
	}
	for _, p := range s.peers {
		if !s.firstTerm && (p.version < s.cfg.Version || s.now-p.heard > s.ecf.Promise) {
			return
		}
	}
	s.raisingVersion = true
	s.put(&write{
		change: Change{Key: keyClusterVersion, Value: raw(clusterVersionValue{s.cfg.Version})}, leader: s.tenure.Term,
		deadline: s.now + 10*time.Second, class: classRoster,
		done: func(outcome) { s.raisingVersion = false },
	})
}
