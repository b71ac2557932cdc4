package core

import (
	"log/slog"
	"time"
)

// Zones that are out of reach as a whole.

// zoneState is what this leader hears of a zone's machines.
type zoneState struct {
	machines, heard int
	silent          bool
}

// zoneView finds the zones that are out of reach as a whole: most of their
// machines, and at least a few, don't report. Nothing is rented there nor
// counted on, and nothing returned, since what looks lost is only cut off;
// but not for ever.
func (s *State) zoneView() map[string]zoneState {
	zones := map[string]zoneState{}
	for _, m := range s.machinesByName {
		if !m.rostered || m.returning {
			continue
		}
		z := zones[m.zone]
		z.machines++
		if m.up && s.now-m.heard < s.silence() {
			z.heard++
		}
		zones[m.zone] = z
	}
	for _, name := range sortedKeys(zones) {
		z := zones[name]
		if z.machines < 3 || z.heard*2 >= z.machines {
			if _, ok := s.silentAt[name]; ok {
				delete(s.silentAt, name)
				s.zoneBack[name] = s.now // its machines come back one by one
			}
			continue
		}
		if s.silentAt == nil {
			s.silentAt, s.zoneBack = map[string]time.Duration{}, map[string]time.Duration{}
		}
		if _, ok := s.silentAt[name]; !ok {
			s.silentAt[name] = s.now
			s.log(slog.LevelInfo, "zone out of reach", "zone", name, "machines", z.machines, "heard", z.heard, "term", s.leadership.Term)
		}
		z.silent = s.now-s.silentAt[name] < silentLeases*s.cfg.Lease
		zones[name] = z
	}
	return zones
}

// silentLeases is for how many leases a zone may be out of reach before its
// machines are given up.
const silentLeases = 16
